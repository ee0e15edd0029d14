"""The instance's side of the agent: one connection that it dials, reports, and commands carried out once."""

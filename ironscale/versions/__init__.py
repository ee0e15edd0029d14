"""Published configuration: versions in one log, served by any agent, followed by instances. Off unless named."""

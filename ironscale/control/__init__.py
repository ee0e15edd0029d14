"""The control channel on the instance's side: it connects to an agent, sends reports and runs each command once."""

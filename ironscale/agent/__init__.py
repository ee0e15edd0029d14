"""The agent: the record of many instances, and operations on them that may be killed anywhere and go on."""

"""Published configuration: versions in one log, served by every agent and followed by instances.

An instance uses it only if its settings name agents to follow.
"""

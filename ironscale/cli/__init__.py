"""The command line `ironscale`: reads arguments, calls a subsystem, prints."""

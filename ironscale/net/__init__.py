"""The real sidecar: sockets, clock and timers around the decision module."""

"""The data path of the sidecar: sockets, clock and timers around the balancer."""

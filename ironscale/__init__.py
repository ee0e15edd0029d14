"""ironscale: a load-balancing sidecar for calls between services."""

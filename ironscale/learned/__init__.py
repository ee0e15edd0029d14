"""What a sidecar has learned outlives it: a file, and running instances that teach newcomers. Off unless named."""

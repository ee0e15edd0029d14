"""The size that is coming, on one machine: hollow instances beside real ones, and the slopes of what they cost."""

"""Measures on one machine what a larger fleet will cost, with many simulated and some real instances, and fits
trends to the measurements."""

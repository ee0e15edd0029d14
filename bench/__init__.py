"""Measurements: no part of the checks. Each prints ratios of one run."""

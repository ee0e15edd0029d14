"""Keeps what a sidecar has measured across restarts: saved to a file, and sent by running instances to starting ones.

Off unless the operator file has a `[learned]` section.
"""

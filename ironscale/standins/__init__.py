"""Servers for tests, demos and benchmarks: they speak a published protocol and do what a script tells them.

They measure nothing and decide nothing. Every port comes from the kernel, all on 127.0.0.1.
"""

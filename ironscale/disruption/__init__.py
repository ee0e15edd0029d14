"""Limits how much of a fleet may be out of service at once: shared budgets, permits to use them, and how permits end.

The decisions do no I/O (`ledger`): observations of units go in, granted and ended permits come out. The agent records
each decision before it tells anybody, and asks the instances for the evidence.
"""

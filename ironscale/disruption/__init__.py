"""What may be out of service at once in a fleet: budgets that all share, permits to use them, and what ends those.

Its decisions are pure (`ledger`): what is seen of units goes in, grants and ends come out. The agent records them
before anybody is told, and asks the instances for the evidence.
"""

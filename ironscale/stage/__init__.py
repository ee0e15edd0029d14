"""A stage: several agents, sidecars and their record as real processes, with faults between them by a written or drawn
schedule; one history of what happened; checkers that know the history and nothing of the program."""

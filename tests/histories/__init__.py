"""Short histories of a small fleet in virtual time, with faults, played by the real processes.

Entries and agents are the product's own, each with an event loop of its own that is run in turns;
clocks, connections, workers, the store and callers are modelled. So a history of some seconds plays
in a few hundredths, a process can stand still while others go on, and the same seed gives the same
history. ``python -m tests.histories --seeds 1000`` searches for one that breaks a promise.
"""

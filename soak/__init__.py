"""Randomized runs of the serving programs under faults injected from outside.

    python -m soak --seeds 1,2,3 --duration-s 25

Entries and engine programs are real processes; the store and the instances are this
repository's stand-ins. Each process reaches the store, and all processes reach each
instance, through a loopback relay. Guarantees are checked during the run, from what
callers and instances observe, and again after all faults have ended.
"""

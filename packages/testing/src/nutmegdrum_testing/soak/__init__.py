"""Randomized fault soak: real daemons as separate processes, with faults from outside them."""

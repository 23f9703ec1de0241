"""Decisions on resends, queueing, placement and memory, without I/O."""

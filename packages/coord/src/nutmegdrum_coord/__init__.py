"""Coordination components to embed in other programs.

The components are state machines without I/O: they take typed messages and the time in ms, and
return typed messages or effects. Threads, sockets and files belong to the embedding program.
"""

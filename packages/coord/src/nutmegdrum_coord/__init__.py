"""Coordination parts that other programs embed.

The parts are state machines without I/O: they take typed messages and the time in ms,
and return typed messages. Threads, sockets and files live in the program around them.
"""

"""Limits of one process, derived from the memory and descriptors of its VM."""

from typing import NamedTuple

RESIDENT = 56 << 20
"""Memory in bytes of a process without requests: 43 MiB measured on x86-64 with 47 threads, and a
margin for more threads and for other architectures."""

ACCOUNTED_SHARE = 0.4
"""Share of the rest that accounted bytes may use. Buffers are larger than what they hold, a body is
copied once when it is complete, and the interpreter's objects and free lists take the rest; with
a half of what 48 MiB leave, a VM of 80 MiB was exceeded by 8 MiB."""

MIN_BUDGET = 8 << 20
"""Smallest budget in bytes: one request of the default limits and its response."""

REQUEST_BYTES = 256 << 10
"""Memory in bytes of one running request beside its body: its thread, parsed head and buffers."""

WAITING_DIVISOR = 2
READERS_DIVISOR = 4
ROOM_DIVISOR = 8
"""Divisors of a listener's threads that give those which may wait for the rest of a request, for
readers, and for room for a response; an eighth is always left."""


class Plan(NamedTuple):
    """Limits of one process.

    Attributes
    ----------
    budget : int
        Bytes of requests and responses that may be held.
    max_requests : int
        Concurrent requests.
    connections : int
        Connections that all listeners may keep open.
    """

    budget: int
    max_requests: int
    connections: int


def plan(memory: int | None, descriptors: int, max_requests: int, largest_request: int) -> Plan:
    """Return the limits of a process.

    Parameters
    ----------
    memory : int or None
        Memory of the VM in bytes; if None, `max_requests` of the largest requests fit the budget.
    descriptors : int
        Descriptors that the process may open.
    max_requests : int
        Configured limit of concurrent requests.
    largest_request : int
        Bytes of one request and its response within the configured limits.
    """
    connections = max(1, descriptors // 2)
    if memory is None:
        return Plan(max_requests * largest_request, max_requests, connections)
    rest = max(0, memory - RESIDENT)
    budget = max(MIN_BUDGET, int(rest * ACCOUNTED_SHARE))
    fitting = max(1, int(rest * (1 - ACCOUNTED_SHARE)) // REQUEST_BYTES)
    return Plan(budget, min(max_requests, fitting), connections)

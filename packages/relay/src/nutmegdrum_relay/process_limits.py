"""Limits of a daemon's listeners, derived from its VM's memory and descriptors."""

import contextlib
import ctypes
import resource

from nutmegdrum.wsgi import MAX_BODY, MAX_HEADERS, eviction_fields
from nutmegdrum_coord.clock import Clock, Duration
from nutmegdrum_scheduling.memory import Account, ProcessLimits, Reason, plan

from nutmegdrum_relay.decisions import log_decision
from nutmegdrum_relay.settings import RelayRole, RelaySettings
from nutmegdrum_relay.upstream import MAX_BUFFERED

LARGEST_REQUEST = MAX_BODY + MAX_HEADERS + MAX_BUFFERED
"""Bytes of one request and its answer; bounds what they hold if the VM's memory is not known."""

ASSUMED_MEMORY = 256 << 20
"""Memory in bytes of a VM whose settings do not state it; 20 bodies of the default limit may arrive
at once."""

_M_MMAP_THRESHOLD, _M_ARENA_MAX = -3, -8
"""Parameters of glibc's `mallopt`."""

MMAP_THRESHOLD = 128 << 10
ARENAS = 2
"""Size in bytes from which memory is returned as soon as it is freed, and the number of arenas. By
default glibc raises the first up to 32 MiB and has an arena for nearly each thread, so that freed
bodies stay with the process."""


def limit_allocator() -> None:
    """Make the allocator return the memory of bodies; other allocators than glibc's are left."""
    with contextlib.suppress(OSError, AttributeError):
        libc = ctypes.CDLL(None)
        libc.mallopt(_M_MMAP_THRESHOLD, MMAP_THRESHOLD)
        libc.mallopt(_M_ARENA_MAX, ARENAS)


def process_limits(cfg: RelaySettings, clock: Clock) -> ProcessLimits:
    """Return the limits of a daemon, and log them."""
    limit_allocator()
    vm = cfg.entry if cfg.role is RelayRole.ENTRY else cfg.state
    descriptors = vm.descriptors or resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    limits = plan(vm.memory or ASSUMED_MEMORY, descriptors, cfg.entry.max_requests, LARGEST_REQUEST)
    log_decision(
        "limits_planned",
        memory=vm.memory,
        descriptors=descriptors,
        budget=limits.budget,
        max_requests=limits.max_requests,
        connections=limits.connections,
    )
    return ProcessLimits(clock, limits, _log_eviction)


def _log_eviction(account: Account, reason: Reason, lag: Duration) -> None:
    log_decision("evicted", **eviction_fields(account, reason, lag))

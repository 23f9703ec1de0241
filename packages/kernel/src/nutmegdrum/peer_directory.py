"""Entry VMs that take requests from other entry VMs."""

import random
import threading

import msgspec
from nutmegdrum_coord.clock import Clock
from nutmegdrum_coord.ids import VmId

from nutmegdrum.units import Address, Duration

PEERS_SENT = 4
"""Entry VMs that one answer names; each answer draws others."""


class PeerAddress(msgspec.Struct, frozen=True, array_like=True):
    """Entry VM that takes requests from others, and its address for them."""

    vm: VmId
    address: Address


class PeerDirectory:
    """Entry VMs that take requests from others, as they report; thread-safe.

    Parameters
    ----------
    valid : Duration
        Time for which a report counts.
    """

    def __init__(self, clock: Clock, valid: Duration):
        self._clock = clock
        self._valid = valid
        self._lock = threading.Lock()
        self._reported: dict[VmId, tuple[int, PeerAddress]] = {}

    def record(self, vm: VmId, address: Address | None) -> None:
        """Record a VM's report; None if it takes no requests."""
        with self._lock:
            if address is None:
                self._reported.pop(vm, None)
            else:
                self._reported[vm] = (self._clock.elapsed_ms(), PeerAddress(vm, address))

    def others(self, vm: VmId, rng: random.Random) -> tuple[PeerAddress, ...]:
        """Return some VMs but `vm`, drawn at random."""
        oldest_ms = self._clock.elapsed_ms() - self._valid
        with self._lock:
            reported = [peer for ms, peer in self._reported.values() if ms >= oldest_ms]
        known = [peer for peer in reported if peer.vm != vm]
        return tuple(rng.sample(known, min(PEERS_SENT, len(known))))

"""Other entry VMs, to which requests are passed on while this VM cannot reach backend servers.

The other VM handles such a request like a caller's, with its own choice of backend server, retries,
permits and cancellation, but never passes it on again. It marks its refusals, so that they are not
taken for the answer of a backend server, and states whether the request may have run.
"""

import random
import threading
from collections.abc import Collection, Mapping, Sequence
from typing import NamedTuple

from nutmegdrum.peer_directory import PeerAddress
from nutmegdrum.units import parse_count
from nutmegdrum_coord.clock import Clock
from nutmegdrum_coord.ids import BackendId, DataCentre, ServiceName, VersionName
from nutmegdrum_coord.verdict import Refusal, Verdict
from prometheus_client import Counter

from nutmegdrum_relay.backends import Backend, Health
from nutmegdrum_relay.dialect import Headers, ListedBackend
from nutmegdrum_relay.headers import ATTEMPTS_HEADER, DOCUMENT_HEADER, REFUSED_HEADER, SENT_HEADER
from nutmegdrum_relay.links import Links
from nutmegdrum_relay.retry_policy import Loss

MAX_TRIED = 3
"""Entry VMs to which one request is passed on at most."""

PASSED_ON = Counter("nutmegdrum_passed_on", "Requests passed on to another entry VM", ["outcome"])


class EntryPeer(Backend):
    """Another entry VM in the place of a backend server."""

    is_entry_vm = True

    def __init__(self, peer: PeerAddress):
        super().__init__(
            ListedBackend(
                id=BackendId(f"entry:{peer.vm}"),
                service=ServiceName(""),
                address=peer.address,
                data_centre=DataCentre(""),
                version=VersionName(""),
                slots=0,
                leaving=False,
                warming_up=False,
            )
        )


class EntryPeers:
    """Selection of another entry VM for a request; thread-safe.

    Attributes
    ----------
    links : Links
        Records which backend servers this VM can reach.
    """

    def __init__(self, clock: Clock, rng: random.Random, links: Links):
        self.links = links
        self._clock = clock
        self._rng = rng
        self._lock = threading.Lock()
        self._known: dict[PeerAddress, EntryPeer] = {}

    def set_peers(self, peers: Sequence[PeerAddress]) -> None:
        """Replace the VMs that can be used, and keep the state of those that remain."""
        with self._lock:
            self._known = {peer: self._known.get(peer) or EntryPeer(peer) for peer in peers}

    def choose(
        self, service: ServiceName, servers: Sequence[Backend], tried: Collection[BackendId]
    ) -> Backend | None:
        """Return the VM to pass a request on to; None if it should go to a backend server.

        Servers that other VMs found down are down, and not only out of this VM's reach.
        """
        now_ms = self._clock.elapsed_ms()
        if not self.links.is_cut_off(service, servers):
            return None
        if all(now_ms < server.reported_down_until_ms for server in servers):
            return None
        with self._lock:
            known = list(self._known.values())
        untried = [peer for peer in known if peer.id not in tried]
        up = [peer for peer in untried if peer.health(now_ms) is Health.UP]
        if not up or len(known) - len(untried) >= MAX_TRIED:
            return None
        PASSED_ON.labels("sent").inc()
        return self._rng.choice(up)


def refusal_loss(headers: Headers) -> Loss | None:
    """Return the loss if another entry VM refused a request; None if a backend server answered."""
    verdict = next((value for name, value in headers if name.lower() == REFUSED_HEADER), None)
    if verdict is None:
        return None
    PASSED_ON.labels("refused").inc()
    return Loss.NOT_SENT if verdict == Verdict.NOT_RUN.value else Loss.SILENT


def other_vm_sent(headers: Headers) -> bool:
    """Return whether a VM that refused a request had sent it to a backend server before."""
    return any(name.lower() == SENT_HEADER for name, _ in headers)


def refusal_headers(refusal: Refusal, sent: bool) -> Headers:
    """Return the headers that mark the refusal of a request that was passed on.

    Parameters
    ----------
    sent : bool
        Whether it had been sent to a backend server, which may have rejected it.
    """
    marks = [(REFUSED_HEADER, refusal.verdict.value)]
    return [*marks, (SENT_HEADER, "1")] if sent else marks


class PassedOnTerms(NamedTuple):
    """Terms on which a request is passed on.

    Attributes
    ----------
    document : int
        Version of the routing document by which it was accepted.
    attempts : int
        Backend servers to which it may be sent.
    """

    document: int
    attempts: int

    def headers(self) -> Headers:
        """Return the headers that carry these terms."""
        return [(DOCUMENT_HEADER, str(self.document)), (ATTEMPTS_HEADER, str(self.attempts))]


def passed_on_terms(headers: Mapping[str, str]) -> PassedOnTerms:
    """Decode the terms of a request that another entry VM passed on."""
    document = parse_count(headers.get(DOCUMENT_HEADER, "")) or 0
    attempts = parse_count(headers.get(ATTEMPTS_HEADER, "")) or 1
    return PassedOnTerms(document, attempts)

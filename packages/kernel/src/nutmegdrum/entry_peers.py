"""Gossip among entry VMs: newer views, new suspects and records of sent keys."""

import random
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor, wait

import msgspec
from nutmegdrum_coord.claims import ClaimKey
from nutmegdrum_coord.ids import Fingerprint
from nutmegdrum_coord.verdict import Refusal

from nutmegdrum.packing import pack, unpack
from nutmegdrum.rpc import PeerUnreachable, RpcClient
from nutmegdrum.sent_keys import SentKeyRecord
from nutmegdrum.settings import PeerSettings, Settings
from nutmegdrum.view import View

PEER_TIMEOUT_MS = 500
"""Time-out of an exchange with a peer, in ms."""

_EXCHANGE_THREADS = 4
_MS_PER_S = 1_000

MAX_GENERATION = (1 << 63) - 1
"""Highest generation of a view; a digest with it gets no view in return."""


class GossipDigest(msgspec.Struct, frozen=True):
    """Message from one entry VM to another.

    Attributes
    ----------
    generation : int
        Generation of the sender's view, 0 if it has none.
    suspects : list of Fingerprint
        Requests that were running on a backend server when it crashed just now.
    key : ClaimKey or None
        Key of a non-idempotent request; asks whether the other VM has sent that request.
    """

    generation: int
    suspects: list[Fingerprint] = []
    key: ClaimKey | None = None


class GossipAnswer(msgspec.Struct, frozen=True):
    """Answer to a digest: the view, if it is newer, and the record of the requested key."""

    view: View | None = None
    memory: SentKeyRecord | None = None


class EntryPeers:
    """Client of the other entry VMs.

    Parameters
    ----------
    peers : sequence of PeerSettings
        All entry VMs, including this one.
    """

    def __init__(
        self, cfg: Settings, rpc: RpcClient, rng: random.Random, peers: Sequence[PeerSettings]
    ):
        self._rpc = rpc
        self._rng = rng
        self._peers = [peer for peer in peers if peer.vm != cfg.vm.id]
        self._pool = ThreadPoolExecutor(_EXCHANGE_THREADS, thread_name_prefix="tell")

    def fetch_newer_view(self, generation: int) -> View | None:
        """Return a newer view from a random other entry VM, or None if it has none."""
        if not self._peers:
            return None
        answer = self._exchange(self._rng.choice(self._peers), GossipDigest(generation))
        return None if answer is None else answer.view

    def broadcast_suspect(self, fingerprint: Fingerprint) -> None:
        """Send a suspect to all other entry VMs without blocking.

        A resend may arrive at another VM before the next view does; VMs that miss the message get
        the suspect with that view.
        """
        digest = GossipDigest(MAX_GENERATION, [fingerprint])
        for peer in self._peers:
            self._pool.submit(self._exchange, peer, digest)

    def query_sent_key(self, key: ClaimKey) -> list[SentKeyRecord | None]:
        """Return each other entry VM's record of `key`; None for one that does not answer."""
        digest = GossipDigest(MAX_GENERATION, key=key)
        futs = [self._pool.submit(self._exchange, peer, digest) for peer in self._peers]
        wait(futs, PEER_TIMEOUT_MS / _MS_PER_S)
        answers = [fut.result() if fut.done() else None for fut in futs]
        for fut in futs:
            fut.cancel()
        return [None if answer is None else answer.memory for answer in answers]

    def _exchange(self, peer: PeerSettings, digest: GossipDigest) -> GossipAnswer | None:
        try:
            data = self._rpc.call(peer.address, "gossip", pack(digest), timeout_ms=PEER_TIMEOUT_MS)
        except (PeerUnreachable, Refusal):
            return None
        return unpack(data, GossipAnswer)

"""What entry VMs tell each other directly: newer views, and suspects at once."""

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
_TELL_THREADS = 4
_MS_PER_S = 1_000

NEWEST = (1 << 63) - 1
"""Generation of a digest that asks for no view."""


class GossipDigest(msgspec.Struct, frozen=True):
    """What an entry VM tells another.

    Attributes
    ----------
    generation : int
        Generation of its view, 0 if it has none.
    suspects : list of Fingerprint
        Requests that a backend server ran when it died just now.
    key : ClaimKey or None
        Key of a non-idempotent request of which it asks whether the other VM sent it.
    """

    generation: int
    suspects: list[Fingerprint] = []
    key: ClaimKey | None = None


class GossipAnswer(msgspec.Struct, frozen=True):
    """The other VM's view, if it is newer, and what it remembers of the key asked for."""

    view: View | None = None
    memory: SentKeyRecord | None = None


class EntryPeers:
    """The other entry VMs.

    Parameters
    ----------
    peers : sequence of PeerSettings
        All entry VMs, this one included.
    """

    def __init__(
        self, cfg: Settings, rpc: RpcClient, rng: random.Random, peers: Sequence[PeerSettings]
    ):
        self._rpc = rpc
        self._rng = rng
        self._peers = [peer for peer in peers if peer.vm != cfg.vm.id]
        self._pool = ThreadPoolExecutor(_TELL_THREADS, thread_name_prefix="tell")

    def fetch_newer_view(self, generation: int) -> View | None:
        """Return a newer view from one other entry VM, chosen at random."""
        if not self._peers:
            return None
        answer = self._exchange(self._rng.choice(self._peers), GossipDigest(generation))
        return None if answer is None else answer.view

    def broadcast_suspect(self, fingerprint: Fingerprint) -> None:
        """Tell all others of a suspect, without waiting; the next view tells those that missed it.

        A resend at another VM may come sooner than the view.
        """
        digest = GossipDigest(NEWEST, [fingerprint])
        for peer in self._peers:
            self._pool.submit(self._exchange, peer, digest)

    def query_sent_key(self, key: ClaimKey) -> list[SentKeyRecord | None]:
        """Return what each other entry VM remembers of `key`; None for one that does not answer."""
        digest = GossipDigest(NEWEST, key=key)
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

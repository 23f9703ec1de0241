"""Suspected and quarantined requests as one entry VM knows them."""

from collections import OrderedDict
from collections.abc import Sequence

from nutmegdrum_coord.ids import Fingerprint
from nutmegdrum_coord.quarantine import EARLY_TOKENS, is_part
from nutmegdrum_coord.verdict import QUARANTINED, Refusal, Verdict

from nutmegdrum.messages import LossKind
from nutmegdrum.view import QuarantineView

LOCAL_SUSPICION_MS = 600_000
"""Time for which a crash at this VM keeps a request suspected, in ms."""

PEER_SUSPICION_MS = 10_000
"""Time for which a suspect reported by a peer stays suspected, in ms."""

MAX_LOCAL_SUSPECTS = 10_000
"""Maximum number of suspects kept from this VM's own attempts; the oldest are dropped first."""

CLEARED_AFTER_TOKENS = EARLY_TOKENS + 2
"""Tokens after which an isolated attempt clears its request."""

LOCAL_QUARANTINE_MS = 60_000
"""Duration of a quarantine that this VM decides without the state replicas, in ms."""

LOCAL_CRASHES = 3
"""Crashes after which this VM quarantines a request without the state replicas."""

CRASHES = frozenset({LossKind.RESET, LossKind.TRUNCATED})
"""Kinds of loss that a dying process causes; silence and refused connections are not among them."""


class Suspects:
    """Suspects and quarantines from the replicated state, peers and this VM's own attempts.

    Not thread-safe.
    """

    def __init__(self) -> None:
        self._suspects: OrderedDict[Fingerprint, int] = OrderedDict()
        self._crashes: dict[Fingerprint, int] = {}
        self._quarantines: dict[Fingerprint, int] = {}
        self._reported: frozenset[Fingerprint] = frozenset()
        self._peer_suspects: dict[Fingerprint, int] = {}

    def set_view(
        self,
        quarantines: Sequence[QuarantineView],
        suspects: Sequence[Fingerprint],
        received_ms: int,
    ) -> None:
        """Merge the quarantines and suspects of a view.

        Quarantines of parts are replaced, since the leader may lift them.
        """
        self._quarantines = {
            **{
                f: until
                for f, until in self._quarantines.items()
                if until > received_ms and not is_part(f)
            },
            **{q.fingerprint: received_ms + q.remaining_ms for q in quarantines},
        }
        self._reported = frozenset(suspects)

    def refusal(self, fingerprint: Fingerprint, now_ms: int) -> Refusal | None:
        """Return the refusal for a quarantined request, or None if it is not quarantined."""
        until_ms = self._quarantines.get(fingerprint, 0)
        if until_ms <= now_ms:
            return None
        detail = "backend servers crashed each time they ran this request"
        return Refusal(QUARANTINED, Verdict.NOT_RUN, until_ms - now_ms, detail)

    def suspected(self, fingerprint: Fingerprint, now_ms: int) -> bool:
        """Return whether the request's next attempt must be isolated."""
        since_ms = self._suspects.get(fingerprint)
        own = since_ms is not None and now_ms - since_ms < LOCAL_SUSPICION_MS
        from_peer = now_ms < self._peer_suspects.get(fingerprint, 0)
        return own or from_peer or fingerprint in self._reported

    def on_peer_suspect(self, fingerprint: Fingerprint, now_ms: int) -> None:
        """Suspect a request that a peer reported, until a view would contain it."""
        self._peer_suspects = {
            f: until for f, until in self._peer_suspects.items() if until > now_ms
        }
        self._peer_suspects[fingerprint] = now_ms + PEER_SUSPICION_MS

    def on_crash(self, fingerprint: Fingerprint, now_ms: int) -> None:
        """Suspect a request that was running on a backend server when that crashed."""
        self._suspects[fingerprint] = now_ms
        self._suspects.move_to_end(fingerprint)
        self._crashes[fingerprint] = self._crashes.get(fingerprint, 0) + 1
        if len(self._suspects) > MAX_LOCAL_SUSPECTS:
            oldest, _ = self._suspects.popitem(last=False)
            self._crashes.pop(oldest, None)

    def on_report_failed(self, fingerprint: Fingerprint, now_ms: int) -> None:
        """Decide on a quarantine locally while the state replicas are unreachable.

        Attempts are then isolated only from this VM's own suspects. A request is therefore
        quarantined only after one more crash than usual, and only for a short time.
        """
        if self._crashes.get(fingerprint, 0) >= LOCAL_CRASHES:
            self.on_quarantined(fingerprint, LOCAL_QUARANTINE_MS, now_ms)

    def on_quarantined(self, fingerprint: Fingerprint, remaining_ms: int, now_ms: int) -> None:
        """Quarantine a request at once, without waiting for the next view."""
        self._quarantines[fingerprint] = now_ms + remaining_ms
        self.on_cleared(fingerprint)

    def on_cleared(self, fingerprint: Fingerprint) -> None:
        """Remove a request from the suspects."""
        self._suspects.pop(fingerprint, None)
        self._crashes.pop(fingerprint, None)
        self._peer_suspects.pop(fingerprint, None)
        self._reported -= {fingerprint}

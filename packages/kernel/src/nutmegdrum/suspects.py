"""What an entry VM knows of requests that may crash backend servers."""

from collections import OrderedDict
from collections.abc import Sequence

from nutmegdrum_coord.ids import Fingerprint
from nutmegdrum_coord.quarantine import EARLY_TOKENS
from nutmegdrum_coord.verdict import QUARANTINED, Refusal, Verdict

from nutmegdrum.messages import LossKind
from nutmegdrum.view import QuarantineView

LOCAL_SUSPICION_MS = 600_000
HEARD_SUSPICION_MS = 10_000
MAX_LOCAL_SUSPECTS = 10_000
CLEARED_AFTER_TOKENS = EARLY_TOKENS + 2
LOCAL_QUARANTINE_MS = 60_000
LOCAL_CRASHES = 3
CRASHES = frozenset({LossKind.RESET, LossKind.TRUNCATED})
"""Losses that show a process that died; silence and refused connections do not."""


class Suspects:
    """Suspects and quarantines at one entry VM, from the replicated state and its own attempts.

    Calls come from one thread at a time.
    """

    def __init__(self) -> None:
        self._suspects: OrderedDict[Fingerprint, int] = OrderedDict()
        self._crashes: dict[Fingerprint, int] = {}
        self._quarantines: dict[Fingerprint, int] = {}
        self._reported: frozenset[Fingerprint] = frozenset()
        self._heard: dict[Fingerprint, int] = {}

    def set_view(
        self,
        quarantines: Sequence[QuarantineView],
        suspects: Sequence[Fingerprint],
        received_ms: int,
    ) -> None:
        """Take what the state replicas know."""
        self._quarantines = {
            **{f: until for f, until in self._quarantines.items() if until > received_ms},
            **{q.fingerprint: received_ms + q.remaining_ms for q in quarantines},
        }
        self._reported = frozenset(suspects)

    def refusal(self, fingerprint: Fingerprint, now_ms: int) -> Refusal | None:
        """Return the refusal of a request that is in quarantine."""
        until_ms = self._quarantines.get(fingerprint, 0)
        if until_ms <= now_ms:
            return None
        detail = "backend servers crashed each time they ran this request"
        return Refusal(QUARANTINED, Verdict.NOT_RUN, until_ms - now_ms, detail)

    def suspected(self, fingerprint: Fingerprint, now_ms: int) -> bool:
        """Return whether the request's next attempt must be isolated."""
        since_ms = self._suspects.get(fingerprint)
        mine = since_ms is not None and now_ms - since_ms < LOCAL_SUSPICION_MS
        heard = now_ms < self._heard.get(fingerprint, 0)
        return mine or heard or fingerprint in self._reported

    def on_peer_suspect(self, fingerprint: Fingerprint, now_ms: int) -> None:
        """Suspect a request that another entry VM told of, until a view would have told it."""
        self._heard = {f: until for f, until in self._heard.items() if until > now_ms}
        self._heard[fingerprint] = now_ms + HEARD_SUSPICION_MS

    def on_crash(self, fingerprint: Fingerprint, now_ms: int) -> None:
        """Suspect a request that a backend server ran when it died."""
        self._suspects[fingerprint] = now_ms
        self._suspects.move_to_end(fingerprint)
        self._crashes[fingerprint] = self._crashes.get(fingerprint, 0) + 1
        if len(self._suspects) > MAX_LOCAL_SUSPECTS:
            oldest, _ = self._suspects.popitem(last=False)
            self._crashes.pop(oldest, None)

    def on_report_failed(self, fingerprint: Fingerprint, now_ms: int) -> None:
        """Judge alone while the state replicas cannot be reached.

        Isolation then holds among this VM's requests only, so that one more crash is asked for
        before a request is refused, and not for long.
        """
        if self._crashes.get(fingerprint, 0) >= LOCAL_CRASHES:
            self.on_quarantined(fingerprint, LOCAL_QUARANTINE_MS, now_ms)

    def on_quarantined(self, fingerprint: Fingerprint, remaining_ms: int, now_ms: int) -> None:
        """Refuse a request from now on, ahead of the next view."""
        self._quarantines[fingerprint] = now_ms + remaining_ms
        self.on_cleared(fingerprint)

    def on_cleared(self, fingerprint: Fingerprint) -> None:
        """Suspect a request no more."""
        self._suspects.pop(fingerprint, None)
        self._crashes.pop(fingerprint, None)
        self._heard.pop(fingerprint, None)
        self._reported -= {fingerprint}

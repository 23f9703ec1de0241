"""Record of the keys of non-idempotent requests that an entry VM has sent."""

import threading
from collections import Counter, OrderedDict

import msgspec
from nutmegdrum_coord.claims import ClaimKey
from nutmegdrum_coord.clock import Clock, ElapsedMs

MAX_SENT_KEYS = 20_000
"""Maximum number of keys kept; equal to the maximum number of claims of one workspace
(`DEFAULT_MAX_PER_WORKSPACE`).
"""


class SentKeyRecord(msgspec.Struct, frozen=True):
    """One entry VM's record of a key.

    Attributes
    ----------
    sent : bool
        Whether the VM has sent a request under the key, or may still send one.
    covers_ms : int
        Length of the period up to now for which the VM's record of sent keys is complete, in ms.
    """

    sent: bool
    covers_ms: int


class SentKeys:
    """Thread-safe record of the keys under which this VM has sent or may still send a request.

    Parameters
    ----------
    max_keys : int
        Maximum number of sent keys that are kept; the oldest are dropped first.
    """

    def __init__(self, clock: Clock, max_keys: int = MAX_SENT_KEYS):
        self._clock = clock
        self._max_keys = max_keys
        self._complete_since_ms = clock.elapsed_ms()
        self._in_progress: Counter[ClaimKey] = Counter()
        self._sent: OrderedDict[ClaimKey, ElapsedMs] = OrderedDict()
        self._lock = threading.Lock()

    def begin(self, key: ClaimKey) -> None:
        """Record a request that may be sent until `end` is called."""
        with self._lock:
            self._in_progress[key] += 1

    def end(self, key: ClaimKey) -> None:
        """Record that one request under `key` will not be sent any more."""
        with self._lock:
            self._in_progress[key] -= 1
            if not self._in_progress[key]:
                del self._in_progress[key]

    def record_sent(self, key: ClaimKey) -> None:
        """Record that the first byte of a request is about to be sent."""
        with self._lock:
            self._sent[key] = self._clock.elapsed_ms()
            self._sent.move_to_end(key)
            if len(self._sent) > self._max_keys:
                _, forgotten_ms = self._sent.popitem(last=False)
                self._complete_since_ms = forgotten_ms

    def was_sent(self, key: ClaimKey) -> bool:
        """Return whether a sent request under `key` is on record."""
        with self._lock:
            return key in self._sent

    def lookup(self, key: ClaimKey, exclude_own: int = 0) -> SentKeyRecord:
        """Return the record of `key`.

        Parameters
        ----------
        exclude_own : int
            Number of the caller's own requests between `begin` and `end`, which are not counted.
        """
        with self._lock:
            sent = key in self._sent or self._in_progress[key] > exclude_own
            covers_ms = self._clock.elapsed_ms() - self._complete_since_ms
        return SentKeyRecord(sent, covers_ms)

"""What an entry VM remembers of the non-idempotent requests that went through it."""

import threading
from collections import Counter, OrderedDict

import msgspec
from nutmegdrum_coord.claims import ClaimKey
from nutmegdrum_coord.clock import Clock, ElapsedMs

MAX_SENT_KEYS = 20_000
"""Keys kept: as many as one workspace may hold claims (`DEFAULT_MAX_PER_WORKSPACE`)."""


class SentKeyRecord(msgspec.Struct, frozen=True):
    """What one entry VM remembers of a key.

    Attributes
    ----------
    sent : bool
        Whether it has sent a request under the key, or may still send one.
    covers_ms : int
        Time until now over which it remembers all keys, in ms.
    """

    sent: bool
    covers_ms: int


class SentKeys:
    """Keys under which this VM has sent a request or may still send one; thread-safe.

    Parameters
    ----------
    most : int
        Sent keys that are kept; the oldest are forgotten first.
    """

    def __init__(self, clock: Clock, most: int = MAX_SENT_KEYS):
        self._clock = clock
        self._most = most
        self._complete_since_ms = clock.elapsed_ms()
        self._handled: Counter[ClaimKey] = Counter()
        self._sent: OrderedDict[ClaimKey, ElapsedMs] = OrderedDict()
        self._lock = threading.Lock()

    def begin(self, key: ClaimKey) -> None:
        """Note a request that may be sent until `end`."""
        with self._lock:
            self._handled[key] += 1

    def end(self, key: ClaimKey) -> None:
        """Note that one request under `key` is not sent any more."""
        with self._lock:
            self._handled[key] -= 1
            if not self._handled[key]:
                del self._handled[key]

    def note_sent(self, key: ClaimKey) -> None:
        """Note that a request's first byte is about to be sent."""
        with self._lock:
            self._sent[key] = self._clock.elapsed_ms()
            self._sent.move_to_end(key)
            if len(self._sent) > self._most:
                _, forgotten_ms = self._sent.popitem(last=False)
                self._complete_since_ms = forgotten_ms

    def was_sent(self, key: ClaimKey) -> bool:
        """Return whether a request under `key` was sent, as far as this VM remembers."""
        with self._lock:
            return key in self._sent

    def lookup(self, key: ClaimKey, own: int = 0) -> SentKeyRecord:
        """Return what is remembered of `key`.

        Parameters
        ----------
        own : int
            Requests between `begin` and `end` that the asker knows of and that are not meant.
        """
        with self._lock:
            sent = key in self._sent or self._handled[key] > own
            covers_ms = self._clock.elapsed_ms() - self._complete_since_ms
        return SentKeyRecord(sent, covers_ms)

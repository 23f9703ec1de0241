"""Event loop that reads the tokens of all streams of a daemon on one thread.

Engines with batching send the next tokens of all their streams at the same time. Reading them on
one thread costs far less CPU time than waking one thread per stream.
"""

import contextlib
import select
import threading
import time
from typing import Generic, Protocol, TypeVar

from nutmegdrum_coord.clock import Clock, ElapsedMs

from nutmegdrum.logs import log_change

POLL_S = 0.025
"""Poll time-out and interval between checks for silent sources, in s."""

BATCH_DELAY_S = 0.002
"""Delay after each poll, in s, so that the next one finds several sources ready."""

PAUSE_MS = 500
"""Time between two checks above which the process counts as paused, in ms."""


K = TypeVar("K")


class Handler(Protocol[K]):
    """Handler of a token loop's events."""

    def on_ready(self, key: K) -> None:
        """Read the items that have arrived."""
        ...

    def on_idle(self, key: K, now_ms: ElapsedMs) -> None:
        """Check whether a source has been silent beyond its time-out."""
        ...

    def on_pause(self, key: K, now_ms: ElapsedMs) -> None:
        """Restart the silence timer, since this process itself was paused."""
        ...


class TokenLoop(Generic[K]):
    """Event loop over the file descriptors of token sources.

    Parameters
    ----------
    name : str
        Name of the thread.
    """

    def __init__(self, name: str, clock: Clock, handler: Handler[K]):
        self._clock = clock
        self._handler = handler
        self._epoll = select.epoll()
        self._keys: dict[int, K] = {}
        self._lock = threading.Lock()
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name=name, daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Signal the thread to end."""
        self._stopped.set()

    def add(self, descriptor: int, key: K) -> None:
        """Watch a descriptor; if its number was reused, `key` replaces the old key."""
        with self._lock:
            self._keys[descriptor] = key
            try:
                self._epoll.register(descriptor, select.EPOLLIN)
            except FileExistsError:
                self._epoll.modify(descriptor, select.EPOLLIN)

    def remove(self, descriptor: int, key: K) -> None:
        """Stop watching a descriptor, unless its number was reused for another key."""
        with self._lock:
            if self._keys.get(descriptor) is not key:
                return
            del self._keys[descriptor]
            with contextlib.suppress(OSError):
                self._epoll.unregister(descriptor)

    def _run(self) -> None:
        checked_ms = self._clock.elapsed_ms()
        while not self._stopped.is_set():
            events = self._epoll.poll(POLL_S)
            now_ms = self._clock.elapsed_ms()
            if now_ms - checked_ms > PAUSE_MS:
                self._report_pause(now_ms)
            for descriptor, _ in events:
                key = self._keys.get(descriptor)
                if key is not None:
                    self._handle_ready(key)
            if now_ms - checked_ms >= POLL_S * 1_000:
                self._check_idle(now_ms)
                checked_ms = now_ms
            time.sleep(BATCH_DELAY_S)

    def _handle_ready(self, key: K) -> None:
        try:
            self._handler.on_ready(key)
        except Exception as exc:
            log_change("stream-failed", error=repr(exc))

    def _report_pause(self, now_ms: ElapsedMs) -> None:
        for key in list(self._keys.values()):
            self._handler.on_pause(key, now_ms)

    def _check_idle(self, now_ms: ElapsedMs) -> None:
        for key in list(self._keys.values()):
            self._handler.on_idle(key, now_ms)

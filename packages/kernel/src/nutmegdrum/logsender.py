"""Sender thread for the log's messages to one peer."""

import logging
import threading
from collections import deque
from collections.abc import Callable
from typing import Protocol

from nutmegdrum_coord.ids import VmId
from prometheus_client import Counter

log = logging.getLogger(__name__)

MAX_QUEUED_MESSAGES = 64
MAX_BATCH_BYTES = 4 << 20

SEND_ERRORS = Counter("nutmegdrum_log_send_errors", "Failed calls to a peer", ["peer"])
DROPPED = Counter("nutmegdrum_log_dropped_messages", "Messages dropped for a slow peer", ["peer"])


class LogTransport(Protocol):
    """Transport of messages to the peers."""

    def send(self, to: VmId, messages: list[bytes]) -> list[bytes]:
        """Send messages and return the peer's replies.

        Raises
        ------
        OSError
            If the peer cannot be reached within the transport's short timeout.
        """
        ...


class PeerSender:
    """Queue and sender thread for one peer.

    If the peer does not answer, the oldest messages are dropped; the log resends what is missing.

    Parameters
    ----------
    on_replies : callable
        Called with the peer and its replies.
    """

    def __init__(
        self, to: VmId, transport: LogTransport, on_replies: Callable[[VmId, list[bytes]], None]
    ):
        self._to = to
        self._transport = transport
        self._on_replies = on_replies
        self._queue: deque[bytes] = deque()
        self._ready = threading.Condition()
        self._stopped = False
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def put(self, message: bytes) -> None:
        """Queue a message."""
        with self._ready:
            if len(self._queue) >= MAX_QUEUED_MESSAGES:
                self._queue.popleft()
                DROPPED.labels(self._to).inc()
            self._queue.append(message)
            self._ready.notify()

    def stop(self) -> None:
        """End the thread after the call in progress."""
        with self._ready:
            self._stopped = True
            self._ready.notify()

    def _run(self) -> None:
        while (batch := self._next_batch()) is not None:
            try:
                replies = self._transport.send(self._to, batch)
            except Exception as exc:
                SEND_ERRORS.labels(self._to).inc()
                if not isinstance(exc, OSError):
                    log.warning("cannot send messages of the log to %s: %r", self._to, exc)
                continue
            self._on_replies(self._to, replies)

    def _next_batch(self) -> list[bytes] | None:
        with self._ready:
            self._ready.wait_for(lambda: self._queue or self._stopped)
            if self._stopped:
                return None
            batch = [self._queue.popleft()]
            size = len(batch[0])
            while self._queue and size + len(self._queue[0]) <= MAX_BATCH_BYTES:
                size += len(self._queue[0])
                batch.append(self._queue.popleft())
            return batch

"""State of a fake model engine: prefix cache, loaded versions and orders."""

from collections import OrderedDict

import msgspec
import xxhash
from nutmegdrum.messages import (
    CacheChange,
    CacheEvent,
    LoadedVersion,
    Order,
    OrderKind,
    OrderStatus,
)

CACHE_BLOCK_CHARS = 64


def prefix_digests(prompt: str) -> list[str]:
    """Return the digests of the prompt's first 64·k characters for all k from 1."""
    ends = range(CACHE_BLOCK_CHARS, len(prompt) + 1, CACHE_BLOCK_CHARS)
    return [xxhash.xxh64_hexdigest(prompt[:end].encode()) for end in ends]


class PrefixCache:
    """LRU cache of prompt prefixes that publishes its events with a delay.

    Parameters
    ----------
    max_blocks : int
        Capacity in blocks of 64 characters.
    lag_ms : int
        Delay in ms before an event is published.
    lose_every : int
        Drop every n-th event; 0 to drop none.
    """

    def __init__(self, max_blocks: int, lag_ms: int, lose_every: int):
        self._max_blocks = max_blocks
        self._lag_ms = lag_ms
        self._lose_every = lose_every
        self._blocks: OrderedDict[str, None] = OrderedDict()
        self._events: list[tuple[int, CacheEvent]] = []
        self._sequence = 0

    def use(self, prompt: str, now_ms: int) -> int:
        """Cache a prompt and return the number of its characters that were already cached."""
        known = 0
        for digest in prefix_digests(prompt):
            if digest in self._blocks:
                known += CACHE_BLOCK_CHARS
                self._blocks.move_to_end(digest)
                continue
            self._blocks[digest] = None
            self._publish(CacheChange.STORED, digest, now_ms)
        while len(self._blocks) > self._max_blocks:
            digest, _ = self._blocks.popitem(last=False)
            self._publish(CacheChange.EVICTED, digest, now_ms)
        return known

    def events(self, after: int, now_ms: int) -> list[CacheEvent]:
        """Return the published events with a sequence number above `after`."""
        return [
            event
            for at_ms, event in self._events
            if event.sequence > after and at_ms + self._lag_ms <= now_ms
        ]

    def _publish(self, change: CacheChange, digest: str, now_ms: int) -> None:
        self._sequence += 1
        if self._lose_every and self._sequence % self._lose_every == 0:
            return
        event = CacheEvent(sequence=self._sequence, change=change, prefix=digest)
        self._events.append((now_ms, event))


class OrderRecord(msgspec.Struct):
    """One order as first received by the engine.

    Attributes
    ----------
    received : int
        Number of times the order was received.
    """

    order: Order
    status: OrderStatus
    ready_at_ms: int = 0
    received: int = 1


class OrderBook:
    """Orders received by a fake engine, and the versions it has loaded.

    Parameters
    ----------
    loaded : list of LoadedVersion
        Versions in memory at the start.
    checks_fencing : bool
        Whether an order with a fencing number below the highest seen is refused.
    """

    def __init__(self, loaded: list[LoadedVersion], checks_fencing: bool):
        self.loaded = list(loaded)
        self.role = "serve"
        self.records: dict[str, OrderRecord] = {}
        self._checks_fencing = checks_fencing
        self._highest = 0

    def record_order(self, order: Order, now_ms: int, load_ms: int, fails: bool) -> OrderStatus:
        """Record an order and return its status; a load takes `load_ms`."""
        self.advance(now_ms)
        known = self.records.get(order.id)
        if known is not None:
            known.received += 1
            return known.status
        if self._checks_fencing and order.fencing < self._highest:
            return OrderStatus.STALE
        self._highest = max(self._highest, order.fencing)
        record = OrderRecord(order, OrderStatus.ACCEPTED, now_ms + load_ms)
        self.records[order.id] = record
        if fails:
            record.status = OrderStatus.FAILED
        elif order.deadline_ms <= 0:
            record.status = OrderStatus.EXPIRED
        elif order.kind is not OrderKind.LOAD:
            self._execute(record)
        return record.status

    def advance(self, now_ms: int) -> None:
        """Finish the loads that are due at `now_ms`."""
        for record in self.records.values():
            if record.status is OrderStatus.ACCEPTED and record.ready_at_ms <= now_ms:
                self._execute(record)

    def _execute(self, record: OrderRecord) -> None:
        record.status = OrderStatus.DONE
        version = record.order.version
        if record.order.kind is OrderKind.ROLE:
            self.role = record.order.role
        elif version is None:
            record.status = OrderStatus.FAILED
        elif record.order.kind is OrderKind.LOAD and version not in self.loaded:
            self.loaded.append(version)
        elif record.order.kind is OrderKind.UNLOAD and version in self.loaded:
            self.loaded.remove(version)

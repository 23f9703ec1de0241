"""Byte budget of one process, and the choice of the request that is evicted when it is exceeded."""

import threading
from collections.abc import Callable

from nutmegdrum_coord.clock import Clock, Duration

from nutmegdrum_scheduling.memory.accounts import Account, Evicted, Kind, Reason
from nutmegdrum_scheduling.memory.pace import Pace

SMALL = 64 << 10
"""Bytes up to which a request is not evicted, and its response does not wait for room. Ordinary
requests are this small, and what they hold together is limited by their threads."""

AHEAD_DIVISOR = 2
"""Divisor of the limit that gives what streams may buffer for slow readers. Incomplete requests are
evicted before readers, so one reader that never reads would otherwise keep all requests out."""

AHEAD_GRACE = Duration(500)
"""Lag up to which a reader is not disconnected to make room for what another one has not taken. A
stream that waits that long is not cut off by its server, which takes some seconds."""

LEAVING_TIMEOUT = Duration(1_000)
"""Longest wait for evicted requests, whose threads only have to be scheduled to end."""

OnEviction = Callable[[Account, Reason, Duration], None]


class MemoryBudget:
    """Bytes held for requests and responses; thread-safe.

    The account is charged before the bytes are stored. When the limit is exceeded, incomplete
    requests are evicted, the one that has lagged behind the pace for longest first. If none is
    left, the reader that is furthest behind is disconnected. Complete requests, responses whose
    readers keep up, and accounts that hold no more than `SMALL` are never evicted.

    Parameters
    ----------
    limit : int
        Bytes that may be held.
    on_eviction : callable
        Called without the lock for each account that is evicted, with the reason and its lag.
    leaving_timeout : Duration
        Longest wait of a request for evicted ones to return what they hold.
    max_waiting : int
        Responses that may wait for room at once, each of which holds a thread.
    """

    def __init__(
        self,
        clock: Clock,
        limit: int,
        on_eviction: OnEviction,
        leaving_timeout: Duration = LEAVING_TIMEOUT,
        max_waiting: int = 1,
    ):
        self.limit = limit
        self._max_waiting = max_waiting
        self._waiting = 0
        self._clock = clock
        self._on_eviction = on_eviction
        self._leaving_timeout = leaving_timeout
        self._lock = threading.Lock()
        self._changed = threading.Condition(self._lock)
        self._held = dict.fromkeys(Kind, 0)
        self._total = 0
        self._leaving = 0
        self._ahead = 0
        self._incomplete: set[Account] = set()
        self._readers: set[Account] = set()

    def open(self, interrupt: Callable[[], None]) -> Account:
        """Return the account of a request that is not complete yet."""
        return Account(interrupt, self._clock.elapsed_ms())

    def charge(self, account: Account, kind: Kind, arrived: int, left: int = 0) -> None:
        """Charge bytes of an incomplete request that have arrived, less those that have left.

        Raises
        ------
        Evicted
            If the request has been chosen, now or before.
        """
        victims: list[Account] = []
        with self._lock:
            if account.evicted is not None:
                raise Evicted(account.evicted)
            self._incomplete.add(account)
            # Lines between chunks are no progress; chunks of one byte are five sixths lines.
            account.pace.on_bytes(max(0, arrived - left), self._clock.elapsed_ms())
            self._add(account, kind, arrived - left)
            if self._total - self._leaving > self.limit:
                victims = self._take_victims()
        if victims:
            self._evict(victims)
        if account.evicted is not None:
            raise Evicted(account.evicted)
        if self._total > self.limit:
            self._wait_for_leaving(account)

    def _wait_for_leaving(self, account: Account) -> None:
        """Wait until evicted requests have returned what they hold, so that the sum stays bounded.

        Evicted requests do not wait, so that all who wait go on.

        Raises
        ------
        Evicted
            If the request has been chosen meanwhile, or there is still no room after the time-out.
        """
        with self._lock:
            in_time = self._changed.wait_for(
                lambda: self._total <= self.limit or account.evicted or not self._leaving,
                self._leaving_timeout / 1_000,
            )
            late = not in_time and account.evicted is None and account.total > SMALL
            if late:
                self._mark(account, Reason.MEMORY)
        if late:
            self._evict([account])
        if account.evicted is not None:
            raise Evicted(account.evicted)

    def complete(self, account: Account) -> None:
        """Exempt a request that has been read to its end from eviction.

        Raises
        ------
        Evicted
            If the request has been chosen before.
        """
        with self._lock:
            if account.evicted is not None:
                raise Evicted(account.evicted)
            self._incomplete.discard(account)

    def reserve(self, account: Account, count: int, timeout: Duration) -> bool:
        """Charge bytes of a response that is about to be stored; wait for room.

        Returns
        -------
        bool
            Whether there was room within `timeout`; nothing is charged otherwise.
        """
        with self._lock:
            if account.held.get(Kind.RESPONSE, 0) + count <= SMALL:
                return self._add(account, Kind.RESPONSE, count)
            if not self._has_room(account, count):
                if self._waiting >= self._max_waiting:
                    return False
                self._waiting += 1
                try:
                    if not self._wait_for_room(account, count, timeout):
                        return False
                finally:
                    self._waiting -= 1
            return self._add(account, Kind.RESPONSE, count)

    def _has_room(self, account: Account, count: int) -> bool:
        # Nothing else could make room for a response that is too large by itself.
        return self._total + count <= self.limit or self._total == account.total

    def _wait_for_room(self, account: Account, count: int, timeout: Duration) -> bool:
        """Evict others and wait until they have returned what they hold; the lock is held."""
        until_ms = self._clock.elapsed_ms() + timeout
        while not self._has_room(account, count):
            victims = self._take_victims(count)
            if victims:
                self._lock.release()
                try:
                    self._evict(victims)
                finally:
                    self._lock.acquire()
                continue
            left_ms = until_ms - self._clock.elapsed_ms()
            if left_ms <= 0:
                return False
            self._changed.wait(left_ms / 1_000)
        return True

    def reserve_ahead(self, account: Account, count: int) -> bool:
        """Charge bytes of a stream that are about to be buffered for a reader that is behind.

        Readers that are further behind than this one, and by more than `AHEAD_GRACE`, are
        disconnected to make room. Incomplete requests are not evicted, as the stream can wait for
        its reader instead.

        Returns
        -------
        bool
            Whether there was room; nothing is charged otherwise.
        """
        victims: list[Account] = []
        now_ms = self._clock.elapsed_ms()
        with self._lock:
            if account.evicted is not None:
                return False
            least = max(AHEAD_GRACE, account.pace.lag(now_ms))
            while self._is_over_ahead(count):
                behind = {each for each in self._readers if each.pace.lag(now_ms) > least}
                slowest = _slowest(behind, now_ms)
                if slowest is None:
                    break
                self._mark(slowest, Reason.MEMORY)
                victims.append(slowest)
            # Disconnected readers hold their bytes until their threads have ended.
            fits = not self._is_over_ahead(count) and self._total + count <= self.limit
            if fits:
                account.ahead += count
                self._ahead += count
                self._add(account, Kind.RESPONSE, count)
        self._evict(victims)
        return fits

    def release_ahead(self, account: Account, count: int) -> None:
        """Return buffered bytes of a stream that its reader has taken, or that were dropped."""
        with self._lock:
            account.ahead -= count
            if account.evicted is None:
                self._ahead -= count
            self._add(account, Kind.RESPONSE, -count)
            self._changed.notify_all()

    def _is_over_ahead(self, count: int) -> bool:
        over_share = self._ahead + count > self.limit // AHEAD_DIVISOR
        return over_share or self._total - self._leaving + count > self.limit

    def release(self, account: Account, kind: Kind, count: int) -> None:
        """Return bytes of one kind."""
        with self._lock:
            self._add(account, kind, -count)
            self._changed.notify_all()

    def close(self, account: Account) -> None:
        """Return everything that the account holds."""
        with self._lock:
            self._incomplete.discard(account)
            self._readers.discard(account)
            if account.evicted is not None:
                self._leaving -= account.total
            else:
                self._ahead -= account.ahead
            account.ahead = 0
            for kind, count in account.held.items():
                self._held[kind] -= count
            self._total -= account.total
            account.held.clear()
            account.total = 0
            self._changed.notify_all()

    def evict(self, account: Account, reason: Reason) -> None:
        """Evict an account for another reason than memory, unless it has been evicted."""
        with self._lock:
            if account.evicted is not None:
                return
            self._mark(account, reason)
        self._evict([account])

    def on_blocked(self, account: Account) -> None:
        """Record that the reader of a response does not keep up."""
        with self._lock:
            account.pace = Pace(self._clock.elapsed_ms())
            if account.evicted is None:
                self._readers.add(account)

    def on_progress(self, account: Account, count: int) -> None:
        """Record that a reader that did not keep up has taken bytes."""
        with self._lock:
            account.pace.on_bytes(count, self._clock.elapsed_ms())

    def on_read(self, account: Account) -> None:
        """Record that the reader keeps up again."""
        with self._lock:
            self._readers.discard(account)

    @property
    def leaving(self) -> int:
        """Return the bytes of evicted accounts that are not closed yet."""
        return self._leaving

    @property
    def ahead(self) -> int:
        """Return the bytes buffered for slow readers that have not been evicted."""
        return self._ahead

    def held(self, kind: Kind) -> int:
        """Return the bytes of one kind."""
        return self._held[kind]

    def _add(self, account: Account, kind: Kind, count: int) -> bool:
        account.held[kind] = account.held.get(kind, 0) + count
        account.total += count
        self._held[kind] += count
        self._total += count
        if account.evicted is not None:
            self._leaving += count
        return True

    def _take_victims(self, wanted: int = 0) -> list[Account]:
        """Mark and return the accounts to evict until the rest and `wanted` bytes fit."""
        victims: list[Account] = []
        now_ms = self._clock.elapsed_ms()
        while self._total - self._leaving + wanted > self.limit:
            victim = _slowest(self._incomplete, now_ms) or _slowest(self._readers, now_ms)
            if victim is None:
                break
            self._mark(victim, Reason.MEMORY)
            victims.append(victim)
        return victims

    def _mark(self, account: Account, reason: Reason) -> None:
        account.evicted = reason
        self._incomplete.discard(account)
        self._readers.discard(account)
        self._leaving += account.total
        self._ahead -= account.ahead

    def _evict(self, victims: list[Account]) -> None:
        now_ms = self._clock.elapsed_ms()
        with self._lock:
            # A victim may wait for others that leave.
            self._changed.notify_all()
        for victim in victims:
            assert victim.evicted is not None
            self._on_eviction(victim, victim.evicted, victim.pace.lag(now_ms))
            victim.interrupt()


def _slowest(accounts: set[Account], now_ms: int) -> Account | None:
    """Return the account that has lagged for longest of those that hold more than `SMALL`."""
    large = (each for each in accounts if each.total > SMALL)
    return max(large, key=lambda each: (each.pace.lag(now_ms), each.total), default=None)

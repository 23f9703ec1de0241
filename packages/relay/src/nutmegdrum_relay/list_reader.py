"""Reads the platform's list of backend servers.

Calls to the platform are rated and priced over all VMs, so the state leader reads for all and
sends changes on. An entry VM reads by itself only while it hears of no leader that has read.
"""

import random
from collections.abc import Callable
from typing import NamedTuple

from nutmegdrum.units import Address, Duration
from nutmegdrum_coord.clock import Clock
from nutmegdrum_coord.ids import BackendId

from nutmegdrum_relay.decisions import log_decision
from nutmegdrum_relay.dialect import Dialect, ListedBackend
from nutmegdrum_relay.loop import Loop
from nutmegdrum_relay.upstream import ConnectFailed, ConnectionLost, UpstreamPool

READ_TIMEOUT = Duration(800)
"""Time for one page; the list is read again after it, within the bound on leaving servers."""

RATE_LIMIT_BACKOFF = Duration(3_000)
"""Shortest pause of an entry VM that the platform turned away: many read at once, and each page
that they get keeps the state leader from its own reading, which serves them all. Three elections
and readings."""

HOLD_OFF_SPREAD = 1.0
"""Part of the pause by which it may be longer, at random."""

TURNED_AWAY_PAUSE = Duration(250)
"""Pause of the state leader that the platform turned away, a part of the second for which calls are
rated; it goes on with the page that it did not get."""

PARTIAL_VALID = Duration(3_000)
"""Time for which pages that were read before count with those after; backend servers that leave
must be known within as long (the users' bound on draining)."""

_TURNED_AWAY = 429
MAX_PAGES = 100
JITTER = 0.2
_OK = 200


class _Begun(NamedTuple):
    """Pages that were read, since when, and the token of the next one."""

    at_ms: int
    listed: list[ListedBackend]
    token: str


class ListReader:
    """Thread that reads the list again and again.

    Parameters
    ----------
    period : Duration
        Time between two readings.
    wanted : callable
        Returns whether this VM is to read now.
    take : callable
        Takes each list that was read.
    backs_off : bool
        Whether this VM holds off when the platform turns it away, as others read for it.
    """

    def __init__(
        self,
        address: Address,
        clock: Clock,
        rng: random.Random,
        dialect: Dialect,
        period: Duration,
        wanted: Callable[[], bool],
        take: Callable[[list[ListedBackend]], None],
        backs_off: bool = False,
    ):
        self._address = address
        self._rng = rng
        self._dialect = dialect
        self._period = period
        self._wanted = wanted
        self._take = take
        self._backs_off = backs_off
        self._rate_limited = False
        self._clock = clock
        self._begun: _Begun | None = None
        self._upstream = UpstreamPool(clock)
        self._readable = True
        self._loop = Loop("list", self._step)
        self.start = self._loop.start
        self.stop = self._loop.stop

    def set_address(self, address: Address) -> None:
        """Read the list at another address from the next page on."""
        self._address = address

    def _step(self) -> Duration:
        self._rate_limited = False
        if self._wanted():
            self.read()
        if self._rate_limited and self._backs_off:
            return Duration(int(RATE_LIMIT_BACKOFF * (1 + HOLD_OFF_SPREAD * self._rng.random())))
        if self._rate_limited:
            return TURNED_AWAY_PAUSE
        return Duration(int(self._period * (1 + JITTER * (self._rng.random() - 0.5))))

    def read(self) -> None:
        """Read the whole list; what is known stays if that fails.

        A reading that the platform turned away goes on where it stopped, as a list of more pages
        than calls are allowed in a second is never read in one go.
        """
        begun = self._resumed()
        listed, token = begun.listed, begun.token
        try:
            for _ in range(MAX_PAGES):
                page = self._dialect.decode_listing(self._page(token))
                listed.extend(page.listed)
                token = page.next_token
                if not token:
                    break
        except (ConnectFailed, ConnectionLost, TimeoutError, ValueError) as exc:
            if self._rate_limited:
                self._begun = _Begun(begun.at_ms, listed, token)
            self._note(False, str(exc))
            return
        self._note(True, "")
        self._take(listed)

    def _resumed(self) -> "_Begun":
        """Return the reading that was turned away, if it is young enough, or a new one."""
        begun, self._begun = self._begun, None
        now_ms = self._clock.elapsed_ms()
        if begun is not None and now_ms - begun.at_ms <= PARTIAL_VALID:
            return begun
        return _Begun(now_ms, [], "")

    def _page(self, token: str) -> bytes:
        address = self._address
        source = BackendId(address)
        exchange = self._upstream.open(source, address, fresh=False, timeout=READ_TIMEOUT)
        keep = False
        try:
            target = self._dialect.listing_target(token)
            exchange.send("GET", target, [("Host", address)], b"")
            answer = exchange.receive(READ_TIMEOUT)
            body = b"".join(exchange.chunks(READ_TIMEOUT))
            keep = True
        finally:
            if keep:
                self._upstream.keep(source, exchange)
            else:
                exchange.close()
        self._rate_limited = answer.status == _TURNED_AWAY
        if answer.status != _OK:
            raise ValueError(f"status {answer.status}")
        return body

    def _note(self, readable: bool, error: str) -> None:
        if readable != self._readable:
            self._readable = readable
            kind = "backend_list_regained" if readable else "backend_list_lost"
            log_decision(kind, error=error)

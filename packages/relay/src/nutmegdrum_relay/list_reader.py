"""Poll of the platform's list of backend servers.

Calls to the platform are rate limited and charged over all VMs, so the state leader reads the list
for all VMs and publishes changes. An entry VM reads it only while it has no valid list of a leader.
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
"""Time-out of one page; short enough for another read within the bound on draining servers."""

RATE_LIMIT_BACKOFF = Duration(3_000)
"""Shortest backoff of a rate-limited entry VM. When many VMs read at once, each page that they get
delays the state leader, whose read serves them all. Long enough for three elections and reads."""

RATE_LIMIT_JITTER = 1.0
"""Jitter of the backoff: largest random extension, as a fraction of it."""

RATE_LIMIT_PAUSE = Duration(250)
"""Pause of a rate-limited state leader, a fraction of the one-second rate window; it then continues
with the page that was refused."""

PARTIAL_VALID = Duration(3_000)
"""Longest age of the first page of an interrupted read that is continued; draining backend servers
must be known within this time (the users' bound on draining)."""

_TOO_MANY_REQUESTS = 429
MAX_PAGES = 100
JITTER = 0.2
_OK = 200


class _Begun(NamedTuple):
    """Interrupted read: its start, the pages so far, and the token of the next page."""

    at_ms: int
    listed: list[ListedBackend]
    token: str
    ignored: int = 0


class ListReader:
    """Thread that polls the list.

    Parameters
    ----------
    period : Duration
        Poll interval.
    may_read : callable
        Returns whether this VM should read the list now.
    on_list : callable
        Called with each list that was read, and the elapsed time in ms at which the read began.
    backs_off : bool
        Whether this VM backs off when it is rate limited, because another VM reads for it.
    """

    def __init__(
        self,
        address: Address,
        clock: Clock,
        rng: random.Random,
        dialect: Dialect,
        period: Duration,
        may_read: Callable[[], bool],
        on_list: Callable[[list[ListedBackend], int], None],
        backs_off: bool = False,
    ):
        self._address = address
        self._rng = rng
        self._dialect = dialect
        self._period = period
        self._may_read = may_read
        self._on_list = on_list
        self._backs_off = backs_off
        self._rate_limited = False
        self._clock = clock
        self._interrupted: _Begun | None = None
        self._upstream = UpstreamPool(clock)
        self._readable = True
        self._ignored = 0
        self._loop = Loop("list", self._step)
        self.start = self._loop.start
        self.stop = self._loop.stop

    def set_address(self, address: Address) -> None:
        """Change the address, from the next page on."""
        self._address = address

    def _step(self) -> Duration:
        self._rate_limited = False
        if self._may_read():
            self.read()
        if self._rate_limited and self._backs_off:
            return Duration(int(RATE_LIMIT_BACKOFF * (1 + RATE_LIMIT_JITTER * self._rng.random())))
        if self._rate_limited:
            return RATE_LIMIT_PAUSE
        return Duration(int(self._period * (1 + JITTER * (self._rng.random() - 0.5))))

    def read(self) -> None:
        """Read the whole list; after a failure the known list stays valid.

        A rate-limited read continues at the page where it stopped, since a list with more pages
        than the calls allowed in a second cannot be read in one run.
        """
        progress = self._resume_or_start()
        listed, token, ignored = progress.listed, progress.token, progress.ignored
        try:
            for _ in range(MAX_PAGES):
                page = self._dialect.decode_listing(self._page(token))
                listed.extend(page.listed)
                ignored += page.ignored
                token = page.next_token
                if not token:
                    break
        except (ConnectFailed, ConnectionLost, TimeoutError, ValueError) as exc:
            if self._rate_limited:
                self._interrupted = _Begun(progress.at_ms, listed, token, ignored)
            self._log_readable(False, str(exc))
            return
        self._log_readable(True, "")
        self._log_ignored(ignored)
        self._on_list(listed, progress.at_ms)

    def _resume_or_start(self) -> "_Begun":
        """Return the interrupted read if it is recent enough, otherwise a new one."""
        progress, self._interrupted = self._interrupted, None
        now_ms = self._clock.elapsed_ms()
        if progress is not None and now_ms - progress.at_ms <= PARTIAL_VALID:
            return progress
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
        self._rate_limited = answer.status == _TOO_MANY_REQUESTS
        if answer.status != _OK:
            raise ValueError(f"the platform answered with status {answer.status}")
        return body

    def _log_readable(self, readable: bool, error: str) -> None:
        if readable != self._readable:
            self._readable = readable
            kind = "backend_list_regained" if readable else "backend_list_lost"
            log_decision(kind, error=error)

    def _log_ignored(self, ignored: int) -> None:
        if ignored != self._ignored:
            self._ignored = ignored
            log_decision("list_entries_ignored", entries=ignored)

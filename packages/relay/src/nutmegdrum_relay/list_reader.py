"""Reads the platform's list of backend servers."""

import random
import threading

from nutmegdrum.units import Address, Duration
from nutmegdrum_coord.clock import Clock
from nutmegdrum_coord.ids import BackendId

from nutmegdrum_relay.backends import Backends
from nutmegdrum_relay.decisions import log_decision
from nutmegdrum_relay.dialect import Dialect, Listed
from nutmegdrum_relay.upstream import Broken, NotSent, Upstream

READ_TIMEOUT = Duration(800)
"""Time for one page; the list is read again after it, within the bound on leaving servers."""

MAX_PAGES = 100
JITTER = 0.2
_OK = 200
_LIST = BackendId("list")
_MS_PER_S = 1_000


class ListReader:
    """Thread that reads the list again and again.

    Parameters
    ----------
    period : Duration
        Time between two readings.
    """

    def __init__(
        self,
        address: Address,
        clock: Clock,
        rng: random.Random,
        dialect: Dialect,
        backends: Backends,
        period: Duration,
    ):
        self._address = address
        self._rng = rng
        self._dialect = dialect
        self._backends = backends
        self._period = period
        self._upstream = Upstream(clock)
        self._readable = True
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name="list", daemon=True)

    def start(self) -> None:
        """Start reading."""
        self._thread.start()

    def stop(self) -> None:
        """Stop reading."""
        self._stopped.set()

    def _run(self) -> None:
        while not self._stopped.is_set():
            self.read()
            factor = 1 + JITTER * (self._rng.random() - 0.5)
            self._stopped.wait(self._period * factor / _MS_PER_S)

    def read(self) -> None:
        """Read the whole list; what is known stays if that fails."""
        listed: list[Listed] = []
        token = ""
        try:
            for _ in range(MAX_PAGES):
                page = self._dialect.decode_listing(self._page(token))
                listed.extend(page.listed)
                token = page.next_token
                if not token:
                    break
        except (NotSent, Broken, TimeoutError, ValueError) as exc:
            self._note(False, str(exc))
            return
        self._note(True, "")
        self._backends.set_listing(listed)

    def _page(self, token: str) -> bytes:
        exchange = self._upstream.open(_LIST, self._address, fresh=False, timeout=READ_TIMEOUT)
        keep = False
        try:
            target = self._dialect.listing_target(token)
            exchange.send("GET", target, [("Host", self._address)], b"")
            answer = exchange.receive(READ_TIMEOUT)
            body = b"".join(exchange.chunks(READ_TIMEOUT))
            keep = True
        finally:
            if keep:
                self._upstream.keep(_LIST, exchange)
            else:
                exchange.close()
        if answer.status != _OK:
            raise ValueError(f"status {answer.status}")
        return body

    def _note(self, readable: bool, error: str) -> None:
        if readable != self._readable:
            self._readable = readable
            kind = "backend_list_regained" if readable else "backend_list_lost"
            log_decision(kind, error=error)

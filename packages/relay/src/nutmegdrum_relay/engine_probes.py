"""Probes of engines: a request for the engine's report on a new connection."""

from collections.abc import Callable
from concurrent.futures import FIRST_COMPLETED, Future, ThreadPoolExecutor, wait

from nutmegdrum.units import Duration
from nutmegdrum_coord.clock import Clock
from nutmegdrum_coord.ids import BackendId

from nutmegdrum_relay.backends import Backend
from nutmegdrum_relay.dialect import Dialect
from nutmegdrum_relay.silence_policy import Contact
from nutmegdrum_relay.upstream import ConnectFailed, ConnectionLost, UpstreamPool

REPORT_TRIES = 3
"""Most connections used for one probe, as packets may be lost on some."""

TRY_PERIOD = Duration(40)
"""Time before the next connection is tried; many round trips between data centres."""

REPORT_WAIT = Duration(150)
"""Time limit of a probe with all its tries. Together with `SILENCE` and the time to resume at the
copy's engine it stays below 700 ms, the pause that callers count as late (the users' sheets)."""

PROBES_AT_ONCE = 8
"""Silent engines that are probed at once."""

_PEERS_PER_PROBE = 3
_MS_PER_S = 1_000


class EngineProbes:
    """Probes engines; thread-safe.

    Parameters
    ----------
    dialect : Dialect
        Form of an engine's report.
    may_send : callable
        Returns whether a request may be sent to an engine now; engines have rate limits.
    """

    def __init__(
        self,
        clock: Clock,
        upstream: UpstreamPool,
        dialect: Dialect,
        may_send: Callable[[BackendId], bool],
    ):
        self._clock = clock
        self._upstream = upstream
        self._dialect = dialect
        self.may_send = may_send
        self._tries = ThreadPoolExecutor(PROBES_AT_ONCE * REPORT_TRIES, thread_name_prefix="report")
        # Apart, so that many engines with copies do not delay the verdicts on silent ones.
        self._others = ThreadPoolExecutor(
            PROBES_AT_ONCE * _PEERS_PER_PROBE, thread_name_prefix="other-report"
        )

    def start(self, backend: Backend) -> Future:
        """Start one try at another engine than the silent one; its result is a `Contact`."""
        until_ms = self._clock.elapsed_ms() + int(REPORT_WAIT)
        return self._others.submit(self._try, backend, until_ms)

    def contact(self, backend: Backend) -> Contact:
        """Probe a silent engine; a new try starts while earlier ones still wait."""
        until_ms = self._clock.elapsed_ms() + int(REPORT_WAIT)
        tries: set[Future] = set()
        for number in range(REPORT_TRIES):
            tries.add(self._tries.submit(self._try, backend, until_ms))
            last = number + 1 == REPORT_TRIES
            answer = self._first_answer(
                tries, until_ms, self._left(until_ms) if last else TRY_PERIOD
            )
            if answer is not None:
                return answer
        results = {probe.result() for probe in tries}
        for known in (Contact.MUTE, Contact.UNREACHABLE):
            if known in results:
                return known
        return Contact.UNKNOWN

    def _first_answer(self, tries: set[Future], until_ms: int, timeout: Duration) -> Contact | None:
        waited_until_ms = min(until_ms, self._clock.elapsed_ms() + int(timeout))
        waiting = tries
        while waiting:
            left_ms = waited_until_ms - self._clock.elapsed_ms()
            if left_ms <= 0:
                return None
            done, waiting = wait(waiting, left_ms / _MS_PER_S, FIRST_COMPLETED)
            for probe in done:
                if probe.result() in (Contact.ANSWERS, Contact.REPLACED):
                    return probe.result()
        return None

    def _left(self, until_ms: int) -> Duration:
        return Duration(max(1, until_ms - self._clock.elapsed_ms()))

    def _try(self, backend: Backend, until_ms: int) -> Contact:
        if self._clock.elapsed_ms() >= until_ms:
            return Contact.UNKNOWN
        try:
            # Use a new connection: silence on a reused one may be a fault of the connection.
            exchange = self._upstream.connect(backend.address, self._left(until_ms))
        except ConnectFailed:
            return Contact.UNREACHABLE
        headers = [("Host", backend.address), *self._dialect.probe_headers(backend.id)]
        try:
            exchange.send("GET", self._dialect.report_path, headers, b"")
            answer = exchange.receive(self._left(until_ms))
        except (TimeoutError, ConnectionLost):
            return Contact.MUTE
        finally:
            exchange.close()
        terms = self._dialect.answer_terms(answer.status, dict(answer.headers))
        return Contact.REPLACED if terms.other_backend else Contact.ANSWERS

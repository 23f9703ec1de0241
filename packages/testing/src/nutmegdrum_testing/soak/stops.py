"""Planned stops of entry daemons, callers that keep sending around them, and checks of both."""

import http.client
import itertools
import math
import os
import random
import select
import socket
import threading
import time
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, NamedTuple

from nutmegdrum.units import Address

from nutmegdrum_testing.relay_world import HOST, KEY
from nutmegdrum_testing.soak.engines import SLOW_PREFIX, Engines, Work, token

if TYPE_CHECKING:
    from nutmegdrum_testing.soak.world import Daemon, SoakWorld

CALLERS = 32
DEADLINE_S = 20.0
ROUTE_TIMEOUT = "20s"
"""Time for a request, which no stream needs."""

SENT_FRACTION = 3 / 8
AT_WORK_FRACTION = 5 / 6
"""Users' rule, in fractions of the grace time: a request that was sent no later than the first may
be cut after the second while its server is at work."""

END_SLACK_S = 0.2
"""Tolerance in s by which an answer may end before its deadline, or after its daemon's time."""

BODY = b"swarm at the old oak " * 10
PAUSES_S = (0.0, 0.0, 0.3, 1.0, 1.5, 2.0)
"""Times in s by which the last bytes of a body are late."""

EVENTS = 40
MIN_STREAM_S, USUAL_STREAM_S, MAX_STREAM_S = 0.3, 1.0, 5.0
LONG_AFTER_S = 4.0
"""Bounds on streams in s, and the time after a SIGTERM in which they are longer than usual."""

SLOW_CALLER_SHARE = 0.25
SLOW_READ_S, SLOW_READ_BYTES = 0.2, 100_000
SLOW_BUFFER_BYTES = 8_000
"""Share of the callers that read slowly, their pauses in s, the bytes after which they pause, and
their receive buffer; so bytes wait in the daemon, too."""

EVENT_BYTES, LARGE_EVENT_BYTES = 2_000, 20_000
LARGE_SUFFIX = "-large"
"""Size of an event, and of those for slow callers, by the suffix of the request's id."""

SECOND_STOP_SHARE = 0.4
EARLY_SHARE = 0.25
AMID_SHARE = 0.5
"""Shares of the stops with a second daemon, right after a start, and with signals amid them."""

END_S = 20.0
"""Time-out in s of a daemon's end, after which it counts as hanging."""


class Form(Enum):
    """Form of a body."""

    LENGTH = "length"
    CHUNKS = "chunks"
    LATE_END = "chunks whose last CRLF comes late"


@dataclass
class Life:
    """One process of an entry daemon, with monotonic times in s.

    Attributes
    ----------
    is_other : bool
        Whether it is of the other build, which is not checked.
    """

    entry: int
    began_s: float
    is_other: bool = False
    stopped_s: float = math.inf
    ended_s: float = math.inf


class Request(NamedTuple):
    """Request that has ended for its caller, with monotonic times in s.

    Attributes
    ----------
    sent_s : float or None
        When its last byte was sent; None if that failed.
    status : int
        Status of the answer; 0 if none came.
    error : str
        What was wrong with the answer; empty if it was complete.
    """

    request_id: str
    entry: int
    form: str
    began_s: float
    sent_s: float | None
    ended_s: float
    status: int
    size: int
    error: str


class Result(Enum):
    """What became of a request."""

    WHOLE = "whole"
    REFUSED = "refused"
    UNSENT = "unsent"
    NOT_RUN = "no engine got it"
    EXEMPT = "cut, exempt"
    OTHER_BUILD = "cut by the other build"
    LOST = "lost"


def result(
    request: Request, life: Life | None, works: Sequence[Work], stop_within_s: float
) -> Result:
    """Return what became of a request by the users' rule.

    Parameters
    ----------
    life : Life or None
        Process that ran when the request was sent.
    works : sequence of Work
        Times at which engines were at work on it.
    """
    if request.sent_s is None:
        return Result.UNSENT
    if not request.error and request.status == 200:
        return Result.WHOLE
    if not works:
        return Result.NOT_RUN if request.error or request.status != 503 else Result.REFUSED
    if life is not None and life.is_other:
        return Result.OTHER_BUILD
    if request.ended_s - request.began_s >= DEADLINE_S - END_SLACK_S:
        return Result.EXEMPT
    if life is not None and _may_be_cut(request, life, works, stop_within_s):
        return Result.EXEMPT
    return Result.LOST


def _may_be_cut(request: Request, life: Life, works: Sequence[Work], stop_within_s: float) -> bool:
    last_s = life.stopped_s + AT_WORK_FRACTION * stop_within_s
    until_s = life.stopped_s + stop_within_s + END_SLACK_S
    return (
        request.sent_s <= life.stopped_s + SENT_FRACTION * stop_within_s
        and last_s <= request.ended_s <= until_s
        and any(work.ended_s >= last_s for work in works)
    )


class Stops:
    """Stops entry daemons in overlapping series, and checks what callers see of it.

    Parameters
    ----------
    rng : random.Random
        Draws daemons, times and what happens beside a stop.
    stop_within_s : float
        Time in s within which a daemon ends after SIGTERM.
    """

    def __init__(self, world: "SoakWorld", rng: random.Random, stop_within_s: float):
        self._world = world
        self._rng = rng
        self._within_s = stop_within_s
        self._lock = threading.Lock()
        self._stopped_s = -math.inf
        self._over = threading.Event()
        self._ids = itertools.count(1)
        self.requests: list[Request] = []
        self.lives: list[Life] = []
        self.stop_problems: list[str] = []
        self.longest_stop_s = 0.0

    def run(self, seconds: float) -> None:
        """Stop daemons for `seconds` beside changes, then let all requests end."""
        now_s = time.monotonic()
        for number, entry in enumerate(self._world.entries):
            self.lives.append(Life(number, now_s, entry.builds.is_other))
        callers = [
            threading.Thread(target=self._guard, args=(self._call, number), daemon=True)
            for number in range(CALLERS)
        ]
        until_s = now_s + seconds
        works = [
            threading.Thread(
                target=self._guard, args=(each, until_s, random.Random(self._rng.random()))
            )
            for each in (self._stop_entries, self._restart_replicas, self._put_documents)
        ]
        for thread in (*callers, *works):
            thread.start()
        for thread in works:
            thread.join()
        self._over.set()
        for thread in callers:
            thread.join(DEADLINE_S + END_S)

    def stream_s(self) -> float:
        """Return how long the next stream takes in s; longer right after a stop."""
        with self._lock:
            if time.monotonic() - self._stopped_s < LONG_AFTER_S:
                return self._rng.uniform(USUAL_STREAM_S, MAX_STREAM_S)
            return self._rng.uniform(MIN_STREAM_S, USUAL_STREAM_S)

    def _stop_entries(self, until_s: float, rng: random.Random) -> None:
        entries = self._world.entries
        while time.monotonic() < until_s:
            chosen = rng.sample(range(len(entries)), 1 + (rng.random() < SECOND_STOP_SHARE))
            threads = []
            for number in chosen:
                args = (self._stop_series, number, random.Random(rng.random()))
                threads.append(threading.Thread(target=self._guard, args=args))
                threads[-1].start()
                time.sleep(rng.choice([0.0, rng.uniform(0.0, 1.0)]))
            for thread in threads:
                thread.join()
            time.sleep(rng.uniform(0.5, 2.5))

    def _stop_series(self, number: int, rng: random.Random) -> None:
        """Stop a daemon and start it again, and perhaps once more within its first second."""
        self._stop(number, rng)
        if rng.random() < EARLY_SHARE:
            time.sleep(rng.uniform(0.0, 1.0))
            self._stop(number, rng)

    def _guard(self, target: Callable[..., None], *args: object) -> None:
        """Run a thread's work; an exception is a problem of the play."""
        try:
            target(*args)
        except Exception as exc:
            self.stop_problems.append(f"{target.__name__} was aborted: {exc!r}")

    def _stop(self, number: int, rng: random.Random) -> None:
        entry = self._world.entries[number]
        with self._lock:
            life = [each for each in self.lives if each.entry == number][-1]
            life.stopped_s = self._stopped_s = time.monotonic()
        is_disturbed = rng.random() < AMID_SHARE
        stopped_at = time.time()
        took_s = self._terminate(entry, rng if is_disturbed else None) - life.stopped_s
        life.ended_s = min(life.stopped_s + took_s, time.monotonic())
        self.longest_stop_s = max(self.longest_stop_s, took_s)
        self._check_end(entry, took_s, life.is_other, stopped_at)
        time.sleep(rng.choice([0.0, rng.uniform(0.0, 0.5)]))
        entry.start_again()
        with self._lock:
            self.lives.append(Life(number, time.monotonic(), entry.builds.is_other))

    def _disturb_stop(
        self, entry: "Daemon", rng: random.Random, ends_within: Callable[[float], bool]
    ) -> None:
        """Send SIGTERM again, SIGHUP, and change the settings, while a stop runs."""
        actions: list[Callable[[], None]] = [
            entry.process.terminate,
            lambda: entry.rewrite_settings(False),
            lambda: entry.rewrite_settings(True),
        ]
        for action in rng.sample(actions, rng.randint(1, len(actions))):
            if ends_within(rng.uniform(0.0, 1.0)):
                return
            action()

    def _terminate(self, daemon: "Daemon", rng: random.Random | None = None) -> float:
        """Send SIGTERM, wait for the end and return its monotonic time in s.

        Parameters
        ----------
        rng : random.Random or None
            Draws what disturbs the stop; None for nothing.
        """
        # Popen's wait with a time-out polls, and would tell the end late. A young process ends at
        # once, and must not be looked for later.
        ended = os.pidfd_open(daemon.process.pid)
        # `select` takes no descriptors above 1,023.
        poll = select.poll()
        poll.register(ended, select.POLLIN)

        def ends_within(seconds: float) -> bool:
            return bool(poll.poll(seconds * 1_000))

        try:
            daemon.process.terminate()
            if rng is not None:
                self._disturb_stop(daemon, rng, ends_within)
            if ends_within(END_S):
                return time.monotonic()
        finally:
            os.close(ended)
        daemon.process.show_stacks()
        time.sleep(1.0)
        daemon.process.kill()
        return math.inf

    def _check_end(
        self, daemon: "Daemon", took_s: float, is_other: bool, stopped_at: float = 0.0
    ) -> None:
        """Check that a daemon ended in time.

        Parameters
        ----------
        stopped_at : float
            Unix time in s of SIGTERM, by which the stop is found in the daemon's log.
        """
        if took_s > self._within_s and not is_other:
            self.stop_problems.append(
                f"{daemon.name} ended {took_s:.2f} s after SIGTERM at {stopped_at:.3f}"
            )

    def _restart_replicas(self, until_s: float, rng: random.Random) -> None:
        while time.monotonic() < until_s:
            time.sleep(rng.uniform(2.0, 5.0))
            replica = rng.choice(self._world.replicas)
            stopped_s = time.monotonic()
            stopped_at = time.time()
            took_s = self._terminate(replica) - stopped_s
            self._check_end(replica, took_s, replica.builds.is_other, stopped_at)
            replica.start_again()

    def _put_documents(self, until_s: float, rng: random.Random) -> None:
        while time.monotonic() < until_s:
            self._world.operator.put_next()
            time.sleep(rng.uniform(0.3, 2.0))

    def _call(self, number: int) -> None:
        rng = random.Random(f"{self._rng.random()} {number}")
        is_slow = number < SLOW_CALLER_SHARE * CALLERS
        sock, entry = None, 0
        while not self._over.is_set():
            if sock is None:
                entry = rng.randrange(len(self._world.entries))
                sock = _connect(self._world.entry_addresses[entry], is_slow)
            if sock is None:
                time.sleep(0.05)
                continue
            request = self._send(sock, entry, rng, is_slow)
            with self._lock:
                self.requests.append(request)
            if request.error or request.sent_s is None:
                sock.close()
                sock = None
        if sock is not None:
            sock.close()

    def _send(self, sock: socket.socket, entry: int, rng: random.Random, is_slow: bool) -> Request:
        request_id = f"{SLOW_PREFIX}{next(self._ids)}{LARGE_SUFFIX if is_slow else ''}"
        form, pause_s = rng.choice(list(Form)), rng.choice(PAUSES_S)
        data, late = message(request_id, form, rng.randrange(1, len(BODY)))
        began_s, sent_s = time.monotonic(), None
        status, body, error = 0, b"", ""
        try:
            sock.sendall(data)
            time.sleep(pause_s)
            sock.sendall(late)
            sent_s = time.monotonic()
            status, body = _read(sock, is_slow)
            if status == 200 and body != expected(request_id):
                error = f"ends with {body[-30:]!r}"
        except http.client.IncompleteRead as exc:
            status, body, error = 200, exc.partial, "incomplete"
        except (OSError, http.client.HTTPException) as exc:
            error = repr(exc)
        what = f"{form.value}, {pause_s} s late"
        ended_s = time.monotonic()
        return Request(request_id, entry, what, began_s, sent_s, ended_s, status, len(body), error)

    def life_of(self, request: Request) -> Life | None:
        """Return the process that ran when a request was sent."""
        return next(
            (
                life
                for life in self.lives
                if life.entry == request.entry and life.ended_s >= (request.sent_s or 0.0)
            ),
            None,
        )

    def results(self, engines: Engines) -> list[tuple[Request, Result]]:
        """Return what became of each request."""
        return [
            (each, result(each, self.life_of(each), engines.works(each.request_id), self._within_s))
            for each in self.requests
        ]

    def problems(self, engines: Engines) -> list[str]:
        """Return the requests that were lost, and the daemons that did not end in time."""
        lost = [
            self._story(request, engines.works(request.request_id))
            for request, outcome in self.results(engines)
            if outcome is Result.LOST
        ]
        return [*lost, *self.stop_problems]

    def _story(self, request: Request, works: Sequence[Work]) -> str:
        life = self.life_of(request)
        at_s = life.stopped_s if life and life.stopped_s < math.inf else request.began_s
        since = "the SIGTERM" if at_s != request.began_s else "its begin (no SIGTERM)"
        work = ", ".join(f"{w.began_s - at_s:+.2f} to {w.ended_s - at_s:+.2f} s" for w in works)
        return (
            f"{request.request_id} at entry {request.entry} was sent "
            f"{(request.sent_s or 0.0) - at_s:+.3f} s and cut {request.ended_s - at_s:+.3f} s "
            f"from {since}; status {request.status}, {request.size} bytes, {request.error}; "
            f"body: {request.form}; engines at work {work}"
        )

    def summary(self, engines: Engines) -> str:
        """Return the numbers of stops and of requests by what became of them."""
        stops = sum(life.ended_s < math.inf for life in self.lives)
        counts = Counter(outcome.value for _, outcome in self.results(engines))
        return f"{stops} stops up to {self.longest_stop_s:.2f} s; {dict(sorted(counts.items()))}"


def message(request_id: str, form: Form, split: int) -> tuple[bytes, bytes]:
    """Return a request's bytes in two parts; the second one comes late.

    Parameters
    ----------
    split : int
        Bytes of the body in the first part, for bodies with a length and in chunks.
    """
    headers = {
        "Host": HOST,
        "X-Id": request_id,
        "X-Key": KEY,
        "X-Deadline": str(int(DEADLINE_S * 1_000)),
        "X-Prompt": "400",
        "X-Output": "100",
        "X-Parts": f"system,{request_id}",
    }
    if form is Form.LENGTH:
        headers["Content-Length"] = str(len(BODY))
        first, late = BODY[:split], BODY[split:]
    else:
        headers["Transfer-Encoding"] = "chunked"
        whole = b"%x\r\n%b\r\n0\r\n\r\n" % (len(BODY), BODY)
        first, late = (
            (whole[:split], whole[split:]) if form is Form.CHUNKS else (whole[:-2], whole[-2:])
        )
    lines = ["POST /stream/x HTTP/1.1", *(f"{name}: {value}" for name, value in headers.items())]
    return "\r\n".join([*lines, "", ""]).encode() + first, late


def expected(request_id: str) -> bytes:
    """Return the whole stream of a request."""
    return b"".join(event(request_id, number) for number in range(1, EVENTS + 1))


def event(request_id: str, number: int) -> bytes:
    """Return an event of the stream of a request."""
    size = LARGE_EVENT_BYTES if request_id.endswith(LARGE_SUFFIX) else EVENT_BYTES
    data = token(request_id, number).ljust(size, ".")
    return b"id: %d\ndata: %b\n\n" % (number, data.encode())


def _connect(address: Address, is_slow: bool) -> socket.socket | None:
    sock = socket.socket()
    if is_slow:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_BUFFER_BYTES)
    sock.settimeout(2.0)
    try:
        sock.connect((address.host, address.port))
    except OSError:
        sock.close()
        return None
    sock.settimeout(DEADLINE_S + 1.0)
    return sock


def _read(sock: socket.socket, is_slow: bool) -> tuple[int, bytes]:
    """Return status and body of an answer; IncompleteRead has what came if it was cut."""
    resp = http.client.HTTPResponse(sock, method="POST")
    resp.begin()
    pieces, unpaused = [], 0
    try:
        while piece := resp.read1(1 << 20):
            pieces.append(piece)
            unpaused += len(piece)
            if is_slow and unpaused >= SLOW_READ_BYTES:
                time.sleep(SLOW_READ_S)
                unpaused = 0
    except (OSError, http.client.HTTPException) as exc:
        raise http.client.IncompleteRead(b"".join(pieces)) from exc
    if resp.length:
        raise http.client.IncompleteRead(b"".join(pieces), resp.length)
    return resp.status, b"".join(pieces)

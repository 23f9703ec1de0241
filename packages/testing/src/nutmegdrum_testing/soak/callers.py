"""Callers of the soak, which check every answer they receive."""

import http.client
import itertools
import random
import threading
import time
from collections import Counter
from enum import Enum
from typing import NamedTuple

from nutmegdrum.units import Address

from nutmegdrum_testing.relay_world import HOST, KEY
from nutmegdrum_testing.soak.disturbances import entry_target
from nutmegdrum_testing.soak.engines import EVENTS, Engines, token

DEADLINE_MS = 1_500
ANSWER_SLACK_S = 1.0
"""Tolerance in s beyond the deadline for a final answer. The users' bound is half a second at VMs
that are connected; the soak allows more because its callers share a busy machine."""


class Kind(Enum):
    """Routes of the soak."""

    LOOKUP = "idempotent"
    BOOKING = "non-idempotent"
    STREAM = "stream"


class BodyForm(Enum):
    """Form in which a request's body is sent."""

    LENGTH = "length"
    CHUNKS = "chunks"
    TRAILERS = "chunks and trailer fields"
    LATE_END = "chunks whose last bytes come late"


LATE_END_S = 0.05


class Sent(NamedTuple):
    """Request that has ended, with monotonic times in s.

    Attributes
    ----------
    entry : str
        Entry VM, as the target of disturbances.
    outcome : str
        Status, or name of the exception.
    """

    request_id: str
    entry: str
    began_s: float
    ended_s: float
    deadline_s: float
    outcome: str

    @property
    def took_s(self) -> float:
        """Return the duration in s."""
        return self.ended_s - self.began_s


class Callers:
    """Threads that each send requests one after the other until they are stopped.

    Each keeps its connections until the entry VM closes them.

    Parameters
    ----------
    entries : list of Address
        Entry VMs, each behind a link.
    stream_deadline_ms : int
        Time for a stream in ms.

    Attributes
    ----------
    sent_streams : list of Sent
        Streams that have ended.
    """

    def __init__(
        self,
        entries: list[Address],
        engines: Engines,
        seed: int,
        count: int,
        stream_deadline_ms: int = DEADLINE_MS,
    ):
        self._deadlines_ms = dict.fromkeys(Kind, DEADLINE_MS) | {Kind.STREAM: stream_deadline_ms}
        self.sent_streams: list[Sent] = []
        self._entries = entries
        self._engines = engines
        self._ids = itertools.count(1)
        self._seed = seed
        self._stopped = threading.Event()
        self.problems: list[str] = []
        self.outcomes: Counter[str] = Counter()
        self.refused_ids: list[str] = []
        self.faults_ended = False
        self._threads = [
            threading.Thread(target=self._run, args=(number,), daemon=True)
            for number in range(count)
        ]

    def start(self) -> None:
        """Start sending."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stop once the requests in flight have ended."""
        self._stopped.set()
        for thread in self._threads:
            thread.join(30)

    def check_runs(self) -> None:
        """Check that no booking ran twice and that none refused as not run did run."""
        for request_id, runs in self._engines.run_counts.items():
            if request_id.startswith(Kind.BOOKING.value) and runs > 1:
                self.problems.append(f"{request_id} ran {runs} times")
        for request_id in self.refused_ids:
            if self._engines.run_counts[request_id]:
                self.problems.append(f"{request_id} was refused as not run but ran")

    def _run(self, number: int) -> None:
        rng = random.Random(self._seed * 1_000 + number)
        kept = {
            address: http.client.HTTPConnection(address.host, address.port, timeout=10)
            for address in self._entries
        }
        while not self._stopped.is_set():
            kind = rng.choice(list(Kind))
            request_id = f"{kind.value}-{next(self._ids)}"
            began_s = time.monotonic()
            address = rng.choice(self._entries)
            form = rng.choice(list(BodyForm))
            outcome = self.call(kind, request_id, address, form=form, conn=kept[address])
            sent = Sent(
                request_id,
                entry_target(self._entries.index(address)),
                began_s,
                time.monotonic(),
                self._deadlines_ms[kind] / 1_000,
                outcome,
            )
            self.outcomes[f"{kind.value} {outcome}"] += 1
            if kind is Kind.STREAM:
                self.sent_streams.append(sent)
            if sent.took_s > sent.deadline_s + ANSWER_SLACK_S and self.faults_ended:
                self.problems.append(f"{request_id} took {sent.took_s:.1f} s: {outcome}")
        for conn in kept.values():
            conn.close()

    def call(
        self,
        kind: Kind,
        request_id: str,
        entry: Address,
        request_body: bytes = b"body",
        parts: str = "system,own",
        form: BodyForm = BodyForm.LENGTH,
        conn: http.client.HTTPConnection | None = None,
    ) -> str:
        """Send one request, check its answer, and return its status or the exception's name.

        Parameters
        ----------
        conn : HTTPConnection or None
            Connection to use and to keep; None for a new one.
        """
        kept = conn is not None
        conn = conn or http.client.HTTPConnection(entry.host, entry.port, timeout=10)
        headers = {
            "Host": HOST,
            "X-Id": request_id,
            "X-Key": KEY,
            "X-Deadline": str(self._deadlines_ms[kind]),
            "X-Prompt": "400",
            "X-Output": "100",
            "X-Parts": parts,
        }
        try:
            _send(conn, f"/{kind.value}/x", request_body, headers, form)
            resp = conn.getresponse()
            body = resp.read()
        except (OSError, http.client.HTTPException) as exc:
            conn.close()
            return type(exc).__name__
        if not kept:
            conn.close()
        self._check(kind, request_id, resp.status, body)
        return str(resp.status)

    def _check(self, kind: Kind, request_id: str, status: int, body: bytes) -> None:
        if status == 503 and kind is not Kind.STREAM:
            self.refused_ids.append(request_id)
        if status != 200:
            return
        if kind is Kind.STREAM:
            expected = "".join(
                f"id: {n}\ndata: {token(request_id, n)}\n\n" for n in range(1, EVENTS + 1)
            )
            if body.decode() != expected:
                self.problems.append(f"{request_id} got a stream with missing or repeated events")
        elif body.decode() != request_id:
            self.problems.append(f"{request_id} got the wrong answer {body[:60]!r}")


def _send(
    conn: http.client.HTTPConnection,
    path: str,
    body: bytes,
    headers: dict[str, str],
    form: BodyForm,
) -> None:
    if form is BodyForm.LENGTH:
        conn.request("POST", path, body, headers)
        return
    conn.putrequest("POST", path, skip_host=True, skip_accept_encoding=True)
    for name, value in {**headers, "Transfer-Encoding": "chunked"}.items():
        conn.putheader(name, value)
    trailers = b"X-Trailer: t\r\n" if form is BodyForm.TRAILERS else b""
    conn.endheaders()
    conn.send(b"%x\r\n%b\r\n0\r\n%b" % (len(body), body, trailers))
    if form is BodyForm.LATE_END:
        time.sleep(LATE_END_S)
    conn.send(b"\r\n")

"""Test callers of a deployment, for streamed generations and for bookings."""

import itertools
import threading
import time
from collections.abc import Iterator, Sequence
from typing import Any

import msgspec
import urllib3

from nutmegdrum_testing.tokens import check_chain

_MS_PER_S = 1000
_READ_TIMEOUT_S = 60.0
_RECONNECT_S = 0.1
_DONE = "[DONE]"


def new_pool(connections: int = 400) -> urllib3.PoolManager:
    """Return a connection pool without retries."""
    return urllib3.PoolManager(maxsize=connections, retries=False, num_pools=64)


class Problem(msgspec.Struct, kw_only=True):
    """Problem document (RFC 9457) in a response."""

    status: int = 0
    title: str = ""
    detail: str = ""
    reason: str = ""
    verdict: str = ""


class StreamResult(msgspec.Struct, kw_only=True):
    """Events and timings of one generation as its caller received them.

    Attributes
    ----------
    status : int
        HTTP status; 0 if there was no response.
    ended : str
        `done`, `error` (an error event), `refused`, or `cut` if the connection was lost.
    arrivals_ms : list of float
        Arrival time of each token in ms since the first request was sent.
    began_s : float
        Monotonic time in s at which the first request was sent.
    """

    prompt: str
    status: int = 0
    ended: str = "cut"
    generation: str = ""
    indices: list[int] = []
    tokens: list[str] = []
    arrivals_ms: list[float] = []
    finish_reason: str | None = None
    problem: Problem | None = None
    headers: dict[str, str] = {}
    began_s: float = 0.0
    total_ms: float = 0.0

    @property
    def last_event_id(self) -> str:
        """Return the id of the last event received."""
        return f"{self.generation}:{self.indices[-1]}" if self.indices else ""

    @property
    def first_token_ms(self) -> float:
        """Return the time to the first token in ms."""
        return self.arrivals_ms[0]

    def gaps_ms(self) -> list[float]:
        """Return the inter-token latencies in ms."""
        return [later - earlier for earlier, later in itertools.pairwise(self.arrivals_ms)]

    def check(self, count: int | None = None) -> int:
        """Check that the answer is complete and consistent, and return its number of attempts."""
        if self.ended != "done":
            raise AssertionError(
                f"stream ended as {self.ended!r}: status {self.status}, {self.problem}"
            )
        if self.indices != list(range(len(self.tokens))):
            raise AssertionError(f"token indices are not consecutive: {self.indices}")
        return check_chain(self.prompt, self.tokens, count)


class _Event(msgspec.Struct):
    name: str
    id: str
    data: str


def read_events(response: urllib3.BaseHTTPResponse) -> Iterator[_Event]:
    """Yield the server-sent events of a response."""
    name, event_id, data = "", "", []
    for line in _lines(response):
        field, _, value = line.partition(":")
        value = value.removeprefix(" ")
        if field == "event":
            name = value
        elif field == "id":
            event_id = value
        elif field == "data":
            data.append(value)
        elif not line and data:
            yield _Event(name, event_id, "\n".join(data))
            name, event_id, data = "", "", []


def _lines(response: urllib3.BaseHTTPResponse) -> Iterator[str]:
    rest = b""
    for chunk in response.stream(1 << 16):
        *lines, rest = (rest + chunk).split(b"\n")
        for line in lines:
            yield line.rstrip(b"\r").decode()


class Caller:
    """Caller with one workspace's key.

    Parameters
    ----------
    addresses : list of str
        Caller addresses of the entry daemons; a call uses the first one by default.
    key : str
        The workspace's key.
    """

    def __init__(self, addresses: list[str], key: str, pool: urllib3.PoolManager | None = None):
        self.addresses = addresses
        self._key = key
        self._pool = pool or new_pool()

    def generate(
        self,
        model: str,
        prompt: str,
        max_tokens: int,
        *,
        entry: int = 0,
        seed: int | None = None,
        temperature: float = 1.0,
        headers: dict[str, str] | None = None,
        into: StreamResult | None = None,
        **fields: Any,
    ) -> StreamResult:
        """Stream one generation to its end.

        Events are recorded in `into` if given, so that other threads can watch the stream.
        """
        result = into if into is not None else StreamResult(prompt=prompt)
        body = {"model": model, "prompt": prompt, "max_tokens": max_tokens, "stream": True}
        body |= {"temperature": temperature, **fields}
        if seed is not None:
            body["seed"] = seed
        self._stream(result, entry, body, headers or {})
        return result

    def reconnect(
        self, result: StreamResult, model: str, max_tokens: int, *, entry: int, **fields: Any
    ) -> StreamResult:
        """Resume a cut stream after its last event, at the entry daemon `entry`."""
        headers = {"Last-Event-ID": result.last_event_id}
        result.ended = "cut"
        return self.generate(
            model, result.prompt, max_tokens, entry=entry, headers=headers, into=result, **fields
        )

    def generate_to_end(
        self,
        model: str,
        prompt: str,
        max_tokens: int,
        *,
        entries: Sequence[int],
        reconnect_timeout_s: float = 15.0,
        into: StreamResult | None = None,
        **fields: Any,
    ) -> StreamResult:
        """Stream one generation, and reconnect to the next of `entries` if it is cut or refused."""
        result = into if into is not None else StreamResult(prompt=prompt)
        self.generate(model, prompt, max_tokens, entry=entries[0], into=result, **fields)
        deadline = time.monotonic() + reconnect_timeout_s
        for entry in itertools.cycle(entries[1:] or entries):
            if result.ended not in ("cut", "refused") or time.monotonic() > deadline:
                break
            if not result.generation:
                break
            time.sleep(_RECONNECT_S)
            self.reconnect(result, model, max_tokens, entry=entry, **fields)
        return result

    def cancel(self, generation: str, entry: int = 0) -> int:
        """Cancel a generation and return the HTTP status."""
        url = f"http://{self.addresses[entry]}/v1/generations/{generation}"
        return self._pool.request("DELETE", url, headers=self._headers({})).status

    def _headers(self, more: dict[str, str]) -> dict[str, str]:
        return {"Authorization": f"Bearer {self._key}", "Content-Type": "application/json"} | more

    def _stream(
        self, result: StreamResult, entry: int, body: dict[str, Any], more: dict[str, str]
    ) -> None:
        url = f"http://{self.addresses[entry]}/v1/completions"
        began = result.began_s = result.began_s or time.monotonic()
        try:
            response = self._pool.request(
                "POST",
                url,
                body=msgspec.json.encode(body),
                headers=self._headers(more),
                preload_content=False,
                timeout=urllib3.Timeout(connect=5.0, read=_READ_TIMEOUT_S),
            )
            self._read(result, response, began)
        except (urllib3.exceptions.HTTPError, OSError):
            result.ended = "cut"
        result.total_ms = (time.monotonic() - began) * _MS_PER_S

    def _read(self, result: StreamResult, response: urllib3.BaseHTTPResponse, began: float) -> None:
        result.status = response.status
        result.headers = dict(response.headers)
        if response.status != 200:
            result.ended = "refused"
            result.problem = _problem(response.data)
            return
        for event in read_events(response):
            now_ms = (time.monotonic() - began) * _MS_PER_S
            _record_event(result, event, now_ms)
        response.release_conn()


def _record_event(result: StreamResult, event: _Event, now_ms: float) -> None:
    if event.name == "error":
        result.ended = "error"
        result.problem = _problem(event.data.encode())
        return
    if event.data == _DONE:
        result.ended = "done"
        return
    choice = msgspec.json.decode(event.data)["choices"][0]
    result.finish_reason = choice["finish_reason"] or result.finish_reason
    if not choice["text"]:
        return
    result.generation, _, index = event.id.rpartition(":")
    result.indices.append(int(index))
    result.tokens.append(choice["text"])
    result.arrivals_ms.append(now_ms)


def _problem(data: bytes) -> Problem:
    try:
        return msgspec.json.decode(data, type=Problem)
    except msgspec.MsgspecError:
        return Problem(detail=data.decode(errors="replace"))


class RunningStream:
    """Generation that streams in its own thread, so that a test can watch its progress."""

    def __init__(self, caller: Caller, model: str, prompt: str, max_tokens: int, **options: Any):
        self.result = StreamResult(prompt=prompt)
        generate = caller.generate_to_end if "entries" in options else caller.generate
        self._thread = threading.Thread(
            target=generate,
            args=(model, prompt, max_tokens),
            kwargs={"into": self.result, **options},
            daemon=True,
        )
        self._thread.start()

    @property
    def count(self) -> int:
        """Return the number of tokens that have arrived."""
        return len(self.result.tokens)

    def join(self, timeout_s: float = 60.0) -> StreamResult:
        """Wait for the end of the stream.

        Raises
        ------
        TimeoutError
            If it still runs after `timeout_s` seconds.
        """
        self._thread.join(timeout_s)
        if self._thread.is_alive():
            raise TimeoutError(f"stream still runs after {timeout_s} s with {self.count} tokens")
        return self.result


class CallResult(msgspec.Struct, kw_only=True):
    """Response to a plain call; its status is 0 if there was none."""

    status: int = 0
    body: Any = None
    problem: Problem | None = None
    headers: dict[str, str] = {}
    total_ms: float = 0.0


class BookingCaller:
    """Caller of a plain service behind a deployment, and of generations without streaming."""

    def __init__(
        self,
        addresses: list[str],
        key: str,
        prefix: str = "/bookings",
        pool: urllib3.PoolManager | None = None,
    ):
        self.addresses = addresses
        self._key = key
        self._prefix = prefix
        self._pool = pool or new_pool()

    def book(
        self, what: str, idempotency_key: str | None, entry: int = 0, timeout_s: float = 30.0
    ) -> CallResult:
        """Make one booking."""
        headers = {} if idempotency_key is None else {"Idempotency-Key": idempotency_key}
        body = msgspec.json.encode({"what": what})
        return self._call("POST", self._prefix, entry, headers, body, timeout_s)

    def look_up(self, booking: str, entry: int = 0, timeout_s: float = 30.0) -> CallResult:
        """Read one booking, which is an idempotent call."""
        return self._call("GET", f"{self._prefix}/{booking}", entry, {}, None, timeout_s)

    def complete(
        self, model: str, prompt: str, max_tokens: int, entry: int = 0, timeout_s: float = 30.0
    ) -> CallResult:
        """Make one generation without streaming."""
        body = msgspec.json.encode({"model": model, "prompt": prompt, "max_tokens": max_tokens})
        return self._call("POST", "/v1/completions", entry, {}, body, timeout_s)

    def _call(
        self,
        method: str,
        path: str,
        entry: int,
        headers: dict[str, str],
        body: bytes | None,
        timeout_s: float,
    ) -> CallResult:
        headers = headers | {"Authorization": f"Bearer {self._key}"}
        began = time.monotonic()
        result = CallResult()
        try:
            response = self._pool.request(
                method,
                f"http://{self.addresses[entry]}{path}",
                body=body,
                headers=headers,
                timeout=timeout_s,
            )
            _record_response(result, response)
        except (urllib3.exceptions.HTTPError, OSError):
            pass
        result.total_ms = (time.monotonic() - began) * _MS_PER_S
        return result


def _record_response(result: CallResult, response: urllib3.BaseHTTPResponse) -> None:
    result.status = response.status
    result.headers = dict(response.headers)
    if "problem" in response.headers.get("Content-Type", ""):
        result.problem = _problem(response.data)
    elif response.data:
        result.body = msgspec.json.decode(response.data)

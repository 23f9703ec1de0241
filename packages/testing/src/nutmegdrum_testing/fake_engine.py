"""Fake model engine with continuous batching, a prefix cache, resumption and injected faults.

All running streams advance in the same step, as in a batching engine.
`GET /control` shows the engine's counters; `POST /control` with `{"faults": [...]}` sets faults.
"""

import argparse
import asyncio
import random
from http import HTTPStatus
from pathlib import Path
from typing import Any, NamedTuple

import msgspec
from nutmegdrum.messages import EngineCall, LoadedVersion, LoadReport, Order
from nutmegdrum_coord.clock import SystemClock

from nutmegdrum_testing.asyncio_http import Exchange, Request, Response, Server, die
from nutmegdrum_testing.engine_state import OrderBook, PrefixCache
from nutmegdrum_testing.faults import Fault, FaultKind, FaultTable, Situation
from nutmegdrum_testing.tokens import next_token, seeded_nonce

MAX_UNSENT_BYTES = 64 * 1024
_STOP_MARK = "stop-after="
_ENDINGS = (FaultKind.DIE, FaultKind.HANG, FaultKind.CLOSE, FaultKind.TRUNCATE)
_json = msgspec.json.Encoder()


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Body of `POST /control`.

    Attributes
    ----------
    headers : dict
        Headers of all responses.
    """

    faults: list[Fault] = []
    headers: dict[str, str] = {}


class Counters(msgspec.Struct):
    """Counters since the engine's start.

    Attributes
    ----------
    by_version : dict
        Requests by version, including refused ones.
    """

    requests: int = 0
    by_version: dict[str, int] = {}
    generated_tokens: int = 0
    prefill_chars: int = 0
    cached_chars: int = 0
    cancelled: int = 0
    abandoned: int = 0
    finished: int = 0


class Stream:
    """One running attempt."""

    def __init__(self, call: EngineCall, exchange: Exchange, start_at_ms: float, draw: float):
        self.call = call
        self.exchange = exchange
        self.next_at_ms = start_at_ms
        self.draw = draw
        self.written = 0
        self.index = len(call.prefix)
        self.previous = call.prefix[-1] if call.prefix else call.prompt
        if call.temperature == 0:
            self.nonce = seeded_nonce(call.prompt, call.seed)
        else:
            self.nonce = f"{random.getrandbits(24):06x}"
        self.limit = min(call.max_tokens, _stop_after(call.prompt, call.max_tokens))
        self.hanging = False
        self.done = asyncio.get_running_loop().create_future()

    def write_token(self, wrong: bool) -> None:
        """Write the next token, or a wrong text instead."""
        text = " wrong" if wrong else next_token(self.previous, self.nonce, self.index)
        self.exchange.write(b'{"index":%d,"text":"%b"}\n' % (self.index, text.encode()))
        self.previous = text
        self.index += 1
        self.written += 1

    def write_finish(self) -> None:
        """Write the finish line and end the response."""
        reason = "length" if self.limit == self.call.max_tokens else "stop"
        self.exchange.write(_json.encode({"finish": reason, "count": self.index}) + b"\n")
        self.exchange.end()


class StreamClosed(NamedTuple):
    """End of a stream, and whether its connection can be reused."""

    reusable: bool


def _stop_after(prompt: str, default: int) -> int:
    _, found, rest = prompt.partition(_STOP_MARK)
    return int(rest.split()[0]) if found else default


class Engine:
    """Request handlers and step loop of a fake engine."""

    def __init__(self, args: argparse.Namespace):
        self._args = args
        self._clock = SystemClock()
        self._rng = random.Random(args.rng_seed)
        self._streams: dict[tuple[str, int], Stream] = {}
        self._waiting_for_work = asyncio.Event()
        loaded = [
            LoadedVersion(model=args.model, version=args.version, adapter=adapter)
            for adapter in ["", *args.adapter]
        ]
        self._orders = OrderBook(loaded, not args.ignore_fencing)
        self._cache = PrefixCache(args.cache_blocks, args.cache_lag_ms, args.cache_lose_every)
        self._faults = FaultTable()
        self._counters = Counters()
        self._report = LoadReport(sequence=0, running=0, queued=0, slots=args.slots)
        self._reported_at_ms = -args.load_lag_ms
        self._rate = (0, 0)
        self.server = Server(self.handle, args.address)

    def now_ms(self) -> int:
        """Return the elapsed time in ms."""
        return self._clock.elapsed_ms()

    def set_faults(self, faults: list[Fault]) -> None:
        """Replace all faults."""
        self._faults.replace(faults, self.now_ms())

    async def handle(self, req: Request, exchange: Exchange) -> Response | None:
        """Answer one request."""
        if req.path == "/v1/generate" and req.method == "POST":
            return await self._generate(req, exchange)
        if req.path.startswith("/v1/generate/") and req.method == "DELETE":
            return self._cancel(req)
        if req.path == "/v1/load":
            return Response(HTTPStatus.OK, self._load_report())
        if req.path == "/v1/cache-events":
            events = self._cache.events(int(req.query.get("after", 0)), self.now_ms())
            return Response(HTTPStatus.OK, {"events": events})
        if req.path == "/v1/orders" and req.method == "POST":
            return await self._order(req)
        if req.path == "/control":
            return await self._control(req)
        return Response(HTTPStatus.NOT_FOUND)

    async def _generate(self, req: Request, exchange: Exchange) -> Response | None:
        call = msgspec.json.decode(req.body, type=EngineCall)
        self._counters.requests += 1
        by_version = self._counters.by_version
        by_version[call.version] = by_version.get(call.version, 0) + 1
        draw = self._rng.random()
        refused = await self._refuse(call, exchange, draw)
        if refused is not None:
            return refused
        stream = Stream(call, exchange, self.now_ms() + self._prefill_ms(call), draw)
        exchange.start("application/x-ndjson")
        self._streams[(call.generation, call.attempt)] = stream
        self._waiting_for_work.set()
        closed = await stream.done
        if not closed.reusable:
            exchange.reset()
        return None

    async def _refuse(self, call: EngineCall, exchange: Exchange, draw: float) -> Response | None:
        wanted = LoadedVersion(model=call.model, version=call.version, adapter=call.adapter)
        self._orders.advance(self.now_ms())
        if wanted not in self._orders.loaded:
            return Response(HTTPStatus.NOT_FOUND, {"error": "version not loaded"})
        situation = self._situation(call, -1, draw)
        fault = self._faults.find(situation, FaultKind.ERROR, FaultKind.NO_SLOT, *_ENDINGS)
        if fault is not None and fault.kind is FaultKind.ERROR:
            return Response(HTTPStatus.INTERNAL_SERVER_ERROR, {"error": "fault"})
        if fault is not None and fault.kind is not FaultKind.NO_SLOT:
            await self._end_before_head(fault.kind, exchange)
        if fault is not None or len(self._streams) >= self._args.slots:
            return Response(HTTPStatus.TOO_MANY_REQUESTS, {"error": "slots"}, {"Retry-After": "1"})
        return None

    async def _end_before_head(self, kind: FaultKind, exchange: Exchange) -> None:
        if kind is FaultKind.DIE:
            die()
        while kind is FaultKind.HANG and not exchange.gone:
            await asyncio.sleep(0.1)
        exchange.reset()
        raise ConnectionResetError

    def _situation(self, call: EngineCall, tokens: int, draw: float) -> Situation:
        return Situation(
            now_ms=self.now_ms(),
            prompt=call.prompt,
            version=call.version,
            adapter=call.adapter,
            path="/v1/generate",
            requests=self._counters.requests,
            running=len(self._streams),
            tokens=tokens,
            draw=draw,
        )

    def _prefill_ms(self, call: EngineCall) -> float:
        text = call.prompt + "".join(call.prefix)
        cached = self._cache.use(text, self.now_ms())
        fresh = len(text) - cached
        self._counters.prefill_chars += fresh
        self._counters.cached_chars += cached
        return self._args.first_token_ms + fresh * self._args.prefill_us_per_char / 1000

    async def run_steps(self) -> None:
        """Advance all running streams step by step, forever."""
        step_s = max(self._args.token_ms, 1) / 1000
        while True:
            if not self._streams:
                self._waiting_for_work.clear()
                await self._waiting_for_work.wait()
            began = self.now_ms()
            for key, stream in list(self._streams.items()):
                closed = self._step(stream, began)
                if closed is not None:
                    del self._streams[key]
                    stream.done.set_result(closed)
            await asyncio.sleep(max(0.0, step_s - (self.now_ms() - began) / 1000))

    def _step(self, stream: Stream, now_ms: int) -> StreamClosed | None:
        if stream.exchange.gone:
            self._counters.abandoned += 1
            return StreamClosed(reusable=False)
        early = now_ms < stream.next_at_ms
        if early or stream.hanging or stream.exchange.unsent_bytes() > MAX_UNSENT_BYTES:
            return None
        fault = self._stream_fault(stream)
        if fault is not None and fault.kind in _ENDINGS:
            return self._apply_ending(stream, fault.kind)
        if stream.index >= stream.limit:
            stream.write_finish()
            self._counters.finished += 1
            return StreamClosed(reusable=True)
        if fault is not None and fault.kind is FaultKind.SLOW:
            stream.next_at_ms = now_ms + self._args.token_ms * fault.factor
        stream.write_token(wrong=fault is not None and fault.kind is FaultKind.WRONG)
        self._counters.generated_tokens += 1
        return None

    def _stream_fault(self, stream: Stream) -> Fault | None:
        if not self._faults.faults:
            return None
        situation = self._situation(stream.call, stream.written, stream.draw)
        return self._faults.find(situation, *_ENDINGS, FaultKind.WRONG, FaultKind.SLOW)

    def _apply_ending(self, stream: Stream, kind: FaultKind) -> StreamClosed | None:
        if kind is FaultKind.DIE:
            die()
        if kind is FaultKind.HANG:
            stream.hanging = True
            return None
        if kind is FaultKind.TRUNCATE:
            stream.exchange.end()
        return StreamClosed(reusable=kind is FaultKind.TRUNCATE)

    def _cancel(self, req: Request) -> Response:
        generation, _, attempt = req.path.removeprefix("/v1/generate/").rpartition("/")
        stream = self._streams.pop((generation, int(attempt)), None)
        if stream is not None:
            self._counters.cancelled += 1
            stream.done.set_result(StreamClosed(reusable=False))
        return Response(HTTPStatus.NO_CONTENT)

    def _load_report(self) -> LoadReport:
        now = self.now_ms()
        age_ms = now - self._reported_at_ms
        if age_ms >= self._args.load_lag_ms:
            self._orders.advance(now)
            generated = self._counters.generated_tokens
            self._report = LoadReport(
                sequence=self._report.sequence + 1,
                running=len(self._streams),
                queued=0,
                slots=self._args.slots,
                loaded=self._orders.loaded,
                tokens_per_s=1000 * (generated - self._rate[1]) / max(now - self._rate[0], 1),
                role=self._orders.role,
            )
            self._reported_at_ms = now
            self._rate = (now, generated)
        return self._report

    async def _order(self, req: Request) -> Response:
        order = msgspec.json.decode(req.body, type=Order)
        if self._faults.has(FaultKind.HANG_ORDERS):
            await asyncio.Event().wait()
        fails = self._faults.has(FaultKind.FAIL_ORDERS)
        status = self._orders.record_order(order, self.now_ms(), self._args.load_ms, fails)
        return Response(HTTPStatus.OK, {"status": status})

    async def _control(self, req: Request) -> Response:
        if req.method == "POST":
            body = msgspec.json.decode(req.body, type=Faults)
            self.set_faults(body.faults)
            self.server.headers = body.headers
            await self.server.listen(not self._faults.has(FaultKind.REFUSE_CONNECTIONS))
        state: dict[str, Any] = {
            "id": self._args.id,
            "running": len(self._streams),
            "counters": self._counters,
            "loaded": self._orders.loaded,
            "orders": list(self._orders.records.values()),
        }
        return Response(HTTPStatus.OK, state)


def _parse_args() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--address", default="127.0.0.1:0")
    parser.add_argument("--id", default="engine")
    parser.add_argument("--model", default="m")
    parser.add_argument("--version", default="1")
    parser.add_argument("--adapter", action="append", default=[])
    parser.add_argument("--token-ms", type=int, default=20)
    parser.add_argument("--first-token-ms", type=int, default=50)
    parser.add_argument("--prefill-us-per-char", type=int, default=0)
    parser.add_argument("--slots", type=int, default=64)
    parser.add_argument("--load-ms", type=int, default=300)
    parser.add_argument("--load-lag-ms", type=int, default=200)
    parser.add_argument("--cache-blocks", type=int, default=4096)
    parser.add_argument("--cache-lag-ms", type=int, default=200)
    parser.add_argument("--cache-lose-every", type=int, default=0)
    parser.add_argument("--ignore-fencing", action="store_true")
    parser.add_argument("--fault", type=Path, help="JSON file with the initial faults")
    parser.add_argument("--rng-seed", type=int, default=1)
    return parser.parse_args()


async def _run(args: argparse.Namespace) -> None:
    engine = Engine(args)
    if args.fault:
        engine.set_faults(msgspec.json.decode(args.fault.read_bytes(), type=Faults).faults)
    await engine.server.start()
    await engine.run_steps()


def main() -> None:
    """Run a fake engine until the process is killed."""
    asyncio.run(_run(_parse_args()))


if __name__ == "__main__":
    main()

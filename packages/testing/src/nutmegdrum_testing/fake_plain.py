"""Fake booking service that records every execution in a ledger.

`POST /bookings` makes a booking and is not idempotent; `GET /bookings/ID` reads a booking;
`GET /ledger` returns all executions. `POST /control` with `{"faults": [...]}` sets faults; `die`,
`hang`, `close`, `error` and `slow` are supported. Its `headers` are added to all responses.
"""

import argparse
import asyncio
import random
from http import HTTPStatus

import msgspec
from nutmegdrum_coord.clock import SystemClock

from nutmegdrum_testing.asyncio_http import Exchange, Request, Response, Server, die
from nutmegdrum_testing.faults import Fault, FaultKind, FaultTable, Situation

_MS_PER_S = 1000


class Execution(msgspec.Struct):
    """One executed booking call."""

    booking: str
    key: str
    attempt: str
    body: str


class _ControlBody(msgspec.Struct, forbid_unknown_fields=True):
    faults: list[Fault] = []
    headers: dict[str, str] = {}


class BookingService:
    """Request handlers of the booking service."""

    def __init__(self, args: argparse.Namespace):
        self.server = Server(self.handle, args.address)
        self._args = args
        self._clock = SystemClock()
        self._rng = random.Random(args.rng_seed)
        self._faults = FaultTable()
        self._ledger: list[Execution] = []
        self._requests = 0
        self._calls = 0

    async def handle(self, req: Request, exchange: Exchange) -> Response | None:
        """Answer one request."""
        if req.path == "/control":
            return self._control(req)
        if req.path == "/ledger":
            return Response(HTTPStatus.OK, self._ledger)
        if req.path == "/v1/load":
            return Response(HTTPStatus.OK, self._load_report())
        self._requests += 1
        self._calls += not req.path.startswith("/v1/")
        fault = self._fault(req)
        if fault is not None and not fault.after_execution:
            failed = await self._fail(fault, exchange)
            if failed is not None:
                return failed
        await asyncio.sleep(self._args.call_ms / _MS_PER_S)
        response = self._execute(req)
        if fault is not None and fault.after_execution:
            return await self._fail(fault, exchange) or response
        return response

    def _fault(self, req: Request) -> Fault | None:
        situation = Situation(
            now_ms=self._clock.elapsed_ms(),
            prompt=req.body.decode(errors="replace"),
            path=req.path,
            requests=self._requests,
            tokens=0,
            draw=self._rng.random(),
        )
        return self._faults.find(situation, *FaultKind)

    async def _fail(self, fault: Fault, exchange: Exchange) -> Response | None:
        if fault.kind is FaultKind.ERROR:
            return Response(HTTPStatus.INTERNAL_SERVER_ERROR, {"error": "fault"})
        if fault.kind is FaultKind.SLOW:
            await asyncio.sleep(self._args.call_ms * fault.factor / _MS_PER_S)
            return None
        if fault.kind is FaultKind.DIE:
            die()
        while fault.kind is FaultKind.HANG and not exchange.gone:
            await asyncio.sleep(0.05)
        exchange.reset()
        raise ConnectionResetError

    def _execute(self, req: Request) -> Response:
        if req.method == "GET":
            return self._look_up(req.path.rpartition("/")[2])
        execution = Execution(
            booking=f"{self._args.id}-{len(self._ledger) + 1}",
            key=req.headers.get("idempotency-key", ""),
            attempt=req.headers.get("nutmegdrum-attempt", ""),
            body=req.body.decode(errors="replace"),
        )
        self._ledger.append(execution)
        return Response(HTTPStatus.CREATED, {"booking": execution.booking})

    def _look_up(self, booking: str) -> Response:
        for execution in self._ledger:
            if execution.booking == booking:
                return Response(HTTPStatus.OK, execution)
        return Response(HTTPStatus.NOT_FOUND, {"error": "no such booking"})

    def _control(self, req: Request) -> Response:
        if req.method == "POST":
            body = msgspec.json.decode(req.body, type=_ControlBody)
            self._faults.replace(body.faults, self._clock.elapsed_ms())
            self.server.headers = body.headers
        state = {
            "id": self._args.id,
            "requests": self._requests,
            "calls": self._calls,
            "executed": len(self._ledger),
        }
        return Response(HTTPStatus.OK, state)

    def _load_report(self) -> dict[str, object]:
        return {"sequence": self._requests, "running": 0, "queued": 0, "slots": self._args.slots}


def _parse_args() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--address", default="127.0.0.1:0")
    parser.add_argument("--id", default="plain")
    parser.add_argument("--call-ms", type=int, default=5)
    parser.add_argument("--slots", type=int, default=64)
    parser.add_argument("--rng-seed", type=int, default=1)
    return parser.parse_args()


async def _run(args: argparse.Namespace) -> None:
    await BookingService(args).server.start()
    await asyncio.Event().wait()


def main() -> None:
    """Run a booking service until the process is killed."""
    asyncio.run(_run(_parse_args()))


if __name__ == "__main__":
    main()

"""Fake platform: a live list of VMs, published with a delay, and a weight store.

`POST /control` with `{"vms": [...], "weights": {"MODEL/VERSION": BYTES}}` replaces either;
after `{"down": true}` all requests except `/control` are answered with 503.
"""

import argparse
import asyncio
from http import HTTPStatus
from typing import Any

import msgspec
from nutmegdrum_coord.clock import SystemClock

from nutmegdrum_testing.asyncio_http import Exchange, Request, Response, Server

DEFAULT_WEIGHT_BYTES = 16 << 30


class ListedVm(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """One entry of the live list."""

    id: str
    address: str
    kind: str
    service: str = ""
    data_centre: str = ""
    state: str = "live"


class _Control(msgspec.Struct, forbid_unknown_fields=True):
    vms: list[ListedVm] | None = None
    weights: dict[str, int] | None = None
    down: bool | None = None


class Platform:
    """Request handlers of the platform."""

    def __init__(self, lag_ms: int, rate_bytes_per_s: int):
        self._lag_ms = lag_ms
        self._rate = rate_bytes_per_s
        self._clock = SystemClock()
        self._lists: list[tuple[int, list[ListedVm]]] = [(0, [])]
        self._weights: dict[str, int] = {}
        self._down = False

    async def handle(self, req: Request, exchange: Exchange) -> Response | None:
        """Answer one request."""
        if req.path == "/control":
            return self._control(req)
        if self._down:
            return Response(HTTPStatus.SERVICE_UNAVAILABLE, {"error": "down"})
        if req.path == "/v1/vms":
            return Response(HTTPStatus.OK, self._published())
        if req.path.startswith("/v1/weights/"):
            name = req.path.removeprefix("/v1/weights/")
            size = self._weights.get(name, DEFAULT_WEIGHT_BYTES)
            return Response(HTTPStatus.OK, {"bytes": size, "rate_bytes_per_s": self._rate})
        return Response(HTTPStatus.NOT_FOUND)

    def _published(self) -> dict[str, Any]:
        newest = self._clock.elapsed_ms() - self._lag_ms
        old_enough = [i for i, (at_ms, _) in enumerate(self._lists) if at_ms <= newest or i == 0]
        index = old_enough[-1]
        return {"sequence": index, "vms": self._lists[index][1]}

    def _control(self, req: Request) -> Response:
        if req.method == "POST":
            control = msgspec.json.decode(req.body, type=_Control)
            if control.vms is not None:
                self._lists.append((self._clock.elapsed_ms(), control.vms))
            if control.weights is not None:
                self._weights = control.weights
            if control.down is not None:
                self._down = control.down
        return Response(HTTPStatus.OK, {"lists": len(self._lists), "down": self._down})


def _parse_args() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--address", default="127.0.0.1:0")
    parser.add_argument("--lag-ms", type=int, default=500)
    parser.add_argument("--rate-bytes-per-s", type=int, default=1 << 30)
    return parser.parse_args()


async def _run(args: argparse.Namespace) -> None:
    platform = Platform(args.lag_ms, args.rate_bytes_per_s)
    await Server(platform.handle, args.address).start()
    await asyncio.Event().wait()


def main() -> None:
    """Run a platform until the process is killed."""
    asyncio.run(_run(_parse_args()))


if __name__ == "__main__":
    main()

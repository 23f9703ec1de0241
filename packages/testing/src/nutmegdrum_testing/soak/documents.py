"""Operator of the soak: puts documents, starts rollouts and reads which are in force."""

import http.client
import time
from typing import Any

import msgspec
from nutmegdrum.packing import pack, unpack
from nutmegdrum.rpc import PeerUnreachable, RpcClient
from nutmegdrum.units import Address, Duration
from nutmegdrum_coord import verdict as v
from nutmegdrum_coord.parts import decode_answer, encode_command
from nutmegdrum_relay.documents import RouteKind
from nutmegdrum_relay.revisions import PutAnswer, PutDocument
from nutmegdrum_relay.rollouts import Rollout, RolloutAccepted, StartAnswer, rollout_order
from nutmegdrum_relay.views import RolloutQuery
from nutmegdrum_wire.gen.messages.ttypes import Sender

from nutmegdrum_testing.relay_world import HOST, KEY, SERVICE

DEPLOYMENT = "soak"
CALL_TIMEOUT_MS = 1_500
ROUTE_TIMEOUT = "5s"
IN_FORCE_S = 2.0
"""Time in s until an acknowledged document is in force on all entry VMs (the users' bound)."""


def _source(version: int, timeout: str, plain_priority: int) -> bytes:
    """Return a document with the callers' routes and a route named after its version."""
    routes = [_route(kind.value, kind, timeout, plain_priority) for kind in RouteKind]
    routes.append(_route(f"v{version}", RouteKind.IDEMPOTENT, timeout, plain_priority))
    engine = {"slots": 8, "cache_tokens": 50_000, "copies_runs": True}
    return msgspec.json.encode(
        {
            "version": version,
            "routes": routes,
            "services": [{"name": SERVICE, "engine": engine}],
            "workspaces": [{"id": "team", "keys": [KEY]}],
        }
    )


def _route(name: str, kind: RouteKind, timeout: str, plain_priority: int) -> dict[str, Any]:
    return {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "kind": kind.value,
        "targets": [{"service": SERVICE}],
        "timeout": timeout,
        "latency_objective": "200ms",
        "priority": 0 if kind is RouteKind.STREAM else plain_priority,
        "max_attempts": 3,
        "resumable": kind is RouteKind.STREAM,
    }


class Operator:
    """Puts document versions in ascending order, at whichever replica answers.

    Parameters
    ----------
    route_timeout : str
        Time-out of the callers' routes.
    plain_priority : int
        Priority of routes that are not streams, which have 0. Requests pass admission control only
        where priorities differ.
    """

    def __init__(
        self,
        replicas: list[Address],
        route_timeout: str = ROUTE_TIMEOUT,
        plain_priority: int = 1,
    ):
        self._route_timeout = route_timeout
        self._plain_priority = plain_priority
        self._replicas = replicas
        self._rpc = RpcClient(Sender(DEPLOYMENT, "operator", "1"))
        self._version = 0
        self.acknowledged = 0
        self.acknowledged_at = time.monotonic()

    def put_next(self) -> bool:
        """Put the next version; return whether a leader acknowledged it."""
        self._version += 1
        command = PutDocument(
            version=self._version,
            source=_source(self._version, self._route_timeout, self._plain_priority),
        )
        answer = self._call_any_replica("propose", encode_command(command, who="operator"))
        if answer is None:
            return False
        decode_answer(answer, PutAnswer)
        self.acknowledged = self._version
        self.acknowledged_at = time.monotonic()
        return True

    def start_rollout(self, target: str, duration_ms: int) -> bool:
        """Order a rollout; return whether a leader acknowledged it."""
        order = rollout_order(SERVICE, target, Duration(duration_ms))
        answer = self._call_any_replica("propose", encode_command(order, who="operator"))
        return answer is not None and isinstance(
            decode_answer(answer, StartAnswer), RolloutAccepted
        )

    def rollout(self) -> Rollout | None:
        """Return the newest rollout by a lease read; None if no leader answers."""
        answer = self._call_any_replica("read", pack(RolloutQuery(service=SERVICE)), True)
        return None if answer is None else unpack(answer, Rollout)

    def newest(self) -> int | None:
        """Return the newest version by a lease read; None if no leader answers."""
        answer = self._call_any_replica("read", b"", True)
        return None if answer is None else msgspec.json.decode(answer)["version"]

    def version_at(self, entry: Address) -> int | None:
        """Return the highest version whose route an entry VM serves; None if unknown."""
        for version in range(self._version, 0, -1):
            status = _probe(entry, version)
            if status is None:
                return None
            if status != 404:
                return version
        return 0

    def _call_any_replica(self, method: str, *args: object) -> bytes | None:
        for address in self._replicas:
            try:
                return self._rpc.call(address, method, *args, timeout_ms=CALL_TIMEOUT_MS)
            except (PeerUnreachable, v.Refusal):
                continue
        return None


def _probe(entry: Address, version: int) -> int | None:
    conn = http.client.HTTPConnection(entry.host, entry.port, timeout=2)
    try:
        conn.request("GET", f"/v{version}/x", headers={"Host": HOST, "X-Id": "probe"})
        status = conn.getresponse().status
    except (OSError, http.client.HTTPException):
        return None
    finally:
        conn.close()
    # Without a key the route answers 401 where it exists, and 503 before any document.
    return None if status == 503 else status

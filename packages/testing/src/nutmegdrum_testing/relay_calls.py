"""Calls to a relay in this process, and scripts of plain answers for its backend servers."""

import http.client
from collections.abc import Sequence

from nutmegdrum.units import Address

from nutmegdrum_testing.relay_world import HOST, KEY, SERVICE, RelayWorld
from nutmegdrum_testing.scripted_backend import Script
from nutmegdrum_testing.waiting import wait_for

CALL_TIMEOUT_S = 10


def connect(world: RelayWorld) -> http.client.HTTPConnection:
    """Return a connection to the relay."""
    return http.client.HTTPConnection(
        world.address.host, world.address.port, timeout=CALL_TIMEOUT_S
    )


def headers(**extra: str) -> dict[str, str]:
    """Return a caller's headers; underscores in the names become dashes."""
    named = {name.replace("_", "-"): value for name, value in extra.items()}
    return {"Host": HOST, "X-Id": "q1", "X-Key": KEY, **named}


def get(
    world: RelayWorld, path: str, method: str = "GET", body: bytes | None = None, **extra: str
) -> tuple[int, dict[str, str], bytes]:
    """Make one call on a new connection, and return status, headers and body of the answer."""
    conn = connect(world)
    conn.request(method, path, body, headers(**extra))
    resp = conn.getresponse()
    answer = resp.status, dict(resp.getheaders()), resp.read()
    conn.close()
    return answer


def answers(status: int, body: bytes = b"", **named: str) -> Script:
    """Return a script that gives every request the same answer, with the request's id."""
    return lambda received: received.answer(status, body, X_Id=received.headers["x-id"], **named)


def numbers(body: bytes) -> list[int]:
    """Return the event ids of a stream's body."""
    return [int(line[4:]) for line in body.split(b"\n") if line.startswith(b"id: ")]


def cut_off(world: RelayWorld, addresses: Sequence[Address]) -> None:
    """Cut an entry VM off from its backend servers, and wait until it knows.

    Parameters
    ----------
    addresses : sequence of Address
        Addresses at which no server answers, which are listed in place of the servers'.
    """
    world.lose_paths(addresses)
    get(world, "/idempotent/first")
    servers = world.backends.of_service(SERVICE)
    wait_for(lambda: world.links.is_cut_off(SERVICE, servers))

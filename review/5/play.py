"""Case 5: replicas work on for clients that have left, if the body was sent in chunks."""

import select
import socket
import sys
import threading
import time
from pathlib import Path
from typing import NamedTuple

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness as h  # noqa: E402

NET = "127.0.60"
SERVICE = "llm"
REQUESTS = 60
LEAVING_SHARE = 0.3
CHUNKED_SHARE = 0.5
LEAVES_AFTER_S = 1.5
"""The site's days have `give_up` with share 0.3 and x 1500."""

PREFILL_S = 3.0
"""Time until the first event; 5,000 tokens take 1 s, and two other prompts may be read before."""

STILL_S = 0.5
ALLOWED_SHARE = 0.25
CONTACT_S = 3.0
START_EVERY_S = 0.2
BODY = b"x" * 5_000


class Left(NamedTuple):
    """A request whose client has left."""

    request_id: str
    chunked: bool
    at: float


class Engine(h.Replica):
    """A model replica that drops a request as soon as its connection is closed.

    Attributes
    ----------
    begun, ended : dict
        Time at which it began to work on each request, and at which it ended.
    """

    def __init__(self, *args: object, **named: object):
        self.begun: dict[str, float] = {}
        self.ended: dict[str, float] = {}
        super().__init__(*args, **named)
        self.answer = self._generate

    def _generate(self, handler, headers: dict[str, str], body: bytes) -> None:
        request_id = headers["request-id"]
        self.begun[request_id] = time.monotonic()
        handler.close_connection = True
        try:
            if not _peer_closes(handler.connection, PREFILL_S):
                handler.reply(200, self.sealed(headers), b"id: 7\ndata: advice\n\n")
        finally:
            self.ended[request_id] = time.monotonic()


def _peer_closes(sock: socket.socket, within_s: float) -> bool:
    return bool(select.select([sock], [], [], within_s)[0])


def play(record: h.Record) -> bool:
    """Play the case; return whether the engines stopped in time for clients that had left."""
    deployment = h.Deployment(NET, [1, 2, 3], [1, 2, 3], entries=[101])
    engines = [Engine(NET, 50 + n, f"i-{n}", SERVICE, slots=64) for n in range(3)]
    left: list[Left] = []
    try:
        deployment.platform.listed = [engine.listed for engine in engines]
        for daemon in (*deployment.replicas, *deployment.entries):
            daemon.start()
        stream = h.route(
            h.STREAM,
            SERVICE,
            timeout_ms=25_000,
            target_latency_ms=4_500,
            gap_target_ms=700,
            stream_resume=True,
            max_attempts=5,
        )
        h.replace_config(deployment, h.configuration(1, [stream], [SERVICE]), record)
        h.wait_for(
            lambda: h.request(deployment.entries[0], deployment.front, "/none")[0] == 404,
            15.0,
            "the configuration at the entry VM",
        )
        time.sleep(CONTACT_S)
        threads = [
            threading.Thread(target=_client, args=(record, deployment, left, number))
            for number in range(REQUESTS)
        ]
        for thread in threads:
            thread.start()
            time.sleep(START_EVERY_S)
        for thread in threads:
            thread.join()
        time.sleep(PREFILL_S)
    finally:
        deployment.close()
    return _judge(record, engines, left)


def _client(record: h.Record, deployment: h.Deployment, left: list[Left], number: int) -> None:
    """Send one request; leave early if it is one of those that do."""
    chunked = number % 2 < 2 * CHUNKED_SHARE - 0.5
    leaves = h.TROUBLE and (number // 2) % 10 < 10 * LEAVING_SHARE
    headers = h.client_headers(
        Deadline_Ms="25000", Model="m", Token_Usage="5000,140", Prompt_Prefix=f"{number + 1:x}:5000"
    )
    if chunked:
        headers["Transfer-Encoding"] = "chunked"
        body = b"%x\r\n%s\r\n0\r\n\r\n" % (len(BODY), BODY)
    else:
        headers["Content-Length"] = str(len(BODY))
        body = BODY
    head = ["POST /streaming/advice HTTP/1.1", *(f"{k}: {v}" for k, v in headers.items()), "", ""]
    with socket.create_connection((deployment.entries[0].host, deployment.front), 20) as sock:
        sock.sendall("\r\n".join(head).encode() + body)
        if leaves:
            time.sleep(LEAVES_AFTER_S)
        else:
            _read_answer(sock)
    if leaves:
        left.append(Left(headers["Request-Id"], chunked, time.monotonic()))
        record.write(f"client of {headers['Request-Id']} left, body in chunks: {chunked}")


def _read_answer(sock: socket.socket) -> None:
    received = b""
    while not received.endswith(b"0\r\n\r\n"):
        data = sock.recv(65_536)
        if not data:
            return
        received += data


def _judge(record: h.Record, engines: list[Engine], left: list[Left]) -> bool:
    counted = working = 0
    for request in left:
        engine = next((e for e in engines if request.request_id in e.begun), None)
        if engine is None:
            continue
        begun, ended = engine.begun[request.request_id], engine.ended[request.request_id]
        if begun + PREFILL_S < request.at + STILL_S:
            continue
        counted += 1
        working += ended > request.at + STILL_S
        record.write(
            f"{request.request_id}, body in chunks {request.chunked}: {engine.name} worked until "
            f"{ended - request.at:.3f} s after the client had left"
        )
    record.write(f"{working} of {counted} still ran {STILL_S} s after their clients had left")
    if h.TROUBLE and not counted:
        raise h.CannotRun("no request was running when its client left")
    return working <= ALLOWED_SHARE * counted


if __name__ == "__main__":
    h.run_case(FOLDER, play)

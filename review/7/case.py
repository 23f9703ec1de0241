"""A replica that fails with 503 after it ran a booking: the entry VM tells the client "not run"."""

import http.client
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "stand_ins_3"))

from plain_server import PlainServer  # noqa: E402
from rig import (  # noqa: E402
    HOST,
    KEY,
    Deployment,
    Record,
    config,
    route,
    run_case,
    wait_for,
)

REPLICAS = 7
GREY_REPLICAS = 1
"""A share of 0.14 of the service's replicas, as in the site files."""

FAILED_OF_FIVE = 2
"""The grey replica fails 0.4 of its requests."""

WORK_S = 0.03
BOOKINGS = 160
AT_ONCE = 8
"""Bookings that arrive together, so that no replica is idle for long."""

PAUSE_S = 0.3
DEADLINE_MS = 2_500
PROMISES = {408, 421, 429, 503}
"""Answers after which a client sends a request that is not idempotent once more."""

RETRIES = 1


class GreyServer(PlainServer):
    """Replica that runs each request, but answers some of them with its own 503.

    The answer has no `Not-Executed`, so it does not state that the request has not run.
    """

    grey = False

    def number(self, request_id: str) -> int:
        """Return how many requests the replica had run before this one."""
        return [run["headers"]["request-id"] for run in self.ran].index(request_id)

    def answer(self, method: str, target: str, headers: dict, body: bytes) -> bytes:
        """Return the whole answer to a request."""
        sound = super().answer(method, target, headers, body)
        if not sound.startswith(b"HTTP/1.1 200") or not self.grey:
            return sound
        if self.number(headers["request-id"]) % 5 >= FAILED_OF_FIVE:
            return sound
        request_id = headers["request-id"]
        head = f"HTTP/1.1 503 Service Unavailable\r\nRequest-Id: {request_id}\r\n"
        return head.encode() + b"Response-Seal: failed\r\nContent-Length: 6\r\n\r\nfailed"


def send(address: tuple[str, int], request_id: str, body: bytes) -> tuple[int, float]:
    """Send one attempt of a booking; return its status (0 for none) and `Retry-After` in s."""
    conn = http.client.HTTPConnection(*address, timeout=DEADLINE_MS / 1_000)
    headers = {
        "Host": HOST,
        "Request-Id": request_id,
        "Deadline-Ms": str(DEADLINE_MS),
        "Authorization": f"Bearer {KEY}",
    }
    try:
        conn.request("POST", "/book/one", body=body, headers=headers)
        answer = conn.getresponse()
        answer.read()
        return answer.status, float(answer.getheader("Retry-After", "0"))
    except (OSError, http.client.HTTPException):
        return 0, 0.0
    finally:
        conn.close()


def book(address: tuple[str, int], number: int, answers: dict[str, int], record: Record) -> None:
    """Book once, and once more if the answer promises that the request has not run."""
    for attempt in range(1 + RETRIES):
        request_id = f"{number:04x}a{attempt}"
        status, retry_after_s = send(address, request_id, b"booking-%d" % number)
        answers[request_id] = status
        record.write(f"client: booking {number}, id={request_id}, answered {status}")
        if status not in PROMISES:
            return
        time.sleep(min(retry_after_s, DEADLINE_MS / 3_000))


def main(record: Record, trouble: bool) -> bool:
    """Return whether a booking was answered as not run although it had run."""
    with Deployment(record) as deployment:
        servers = [GreyServer(f"i-{n}", "booking", record, WORK_S) for n in range(REPLICAS)]
        deployment.list.entries.extend(server.entry() for server in servers)
        routes = [route("book", "/book/", "unsafe", "booking", timeout_ms=1_200)]
        deployment.configure(config(1, routes, ["booking"]))
        wait_for(deployment.is_ready)
        for server in servers[:GREY_REPLICAS]:
            server.grey = trouble
        answers: dict[str, int] = {}
        for number in range(BOOKINGS):
            threading.Thread(
                target=book, args=(deployment.front(), number, answers, record)
            ).start()
            if (number + 1) % AT_ONCE == 0:
                time.sleep(PAUSE_S)
        time.sleep(DEADLINE_MS / 1_000)
        ran = [run for server in servers for run in server.ran]
    ids = {run["headers"]["request-id"] for run in ran}
    bodies = [run["body"] for run in ran]
    refused = sorted(each for each in ids if answers.get(each) in PROMISES)
    twice = sorted({body.decode() for body in bodies if bodies.count(body) > 1})
    record.write(f"requests that ran and were answered as not run: {len(refused)} {refused}")
    record.write(f"bookings that ran twice, as their clients relied on that: {twice}")
    if len(answers) < BOOKINGS or not ids:
        record.write("too few requests were answered")
    return bool(refused)


if __name__ == "__main__":
    run_case(main)

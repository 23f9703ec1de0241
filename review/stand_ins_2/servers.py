"""Stand-ins of backend servers: replicas of a plain service, and model replicas that stream."""

import json
import random
import socket
import struct
import threading
import time

RESET = struct.pack("ii", 1, 0)
EVENT_PAUSE_S = 0.025
BACK_AFTER_S = 2.0
"""Time after which a crashed replica is back."""


class Replica:
    """Backend server on a loopback address; each start is a new incarnation.

    Parameters
    ----------
    behave : callable or None
        Called with this replica and a request before it runs; may return an answer
        `(status, headers, body)` instead of running it, or a number of events of the run after
        which the replica crashes; or None.
    events : int
        Events of a stream; 0 for a plain service.
    """

    def __init__(self, record, service, zone, host, work_s=0.03, events=0, slots=64, behave=None):
        self.record = record
        self.service, self.zone, self.slots = service, zone, slots
        self.work_s, self.events, self.behave = work_s, events, behave
        self.runs: list[tuple[float, str]] = []
        self.arrivals: list[tuple[float, str, dict, bytes]] = []
        self.crashes: list[float] = []
        self.running = 0
        self._lock = threading.Lock()
        self._open: set[socket.socket] = set()
        self._listener: socket.socket | None = None
        self._host, self._port = host, 0
        self.state = "ready"
        self.leaving = False
        self.start()

    @property
    def address(self) -> str:
        """Return the address."""
        return f"{self._host}:{self._port}"

    @property
    def is_up(self) -> bool:
        """Return whether it takes connections."""
        return self._listener is not None

    def start(self) -> None:
        """Start a new incarnation at the address."""
        self.id = f"i-{random.getrandbits(32):08x}"
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((self._host, self._port))
        listener.listen(128)
        self._port = listener.getsockname()[1]
        self._listener = listener
        threading.Thread(target=self._accept, args=(listener,), daemon=True).start()

    def stop(self) -> None:
        """End at once: the listener and all connections are reset."""
        with self._lock:
            listener, self._listener = self._listener, None
            conns, self._open = list(self._open), set()
        if listener is not None:
            with_shutdown(listener)
        for conn in conns:
            try:
                conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                conn.shutdown(socket.SHUT_RD)
            except OSError:
                pass
            conn.close()

    def crash(self, back_after_s: float, why: str) -> None:
        """Crash, and start again after some time."""
        with self._lock:
            if self._listener is None:
                return
            self.crashes.append(self.record.now_s())
        self.record.line(f"{self.id} crashes: {why}")
        self.stop()

        def restart() -> None:
            self.start()
            self.record.line(f"{self.address} is back as {self.id}")

        threading.Timer(back_after_s, restart).start()

    def entry(self) -> dict:
        """Return its entry in the platform's list."""
        return {
            "id": self.id,
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_remaining_ms": 0,
        }

    def _accept(self, listener: socket.socket) -> None:
        while True:
            try:
                conn, _ = listener.accept()
            except OSError:
                return
            with self._lock:
                if self._listener is not listener:
                    conn.close()
                    return
                self._open.add(conn)
            threading.Thread(target=self._serve, args=(conn, self.id), daemon=True).start()

    def _serve(self, conn: socket.socket, incarnation: str) -> None:
        conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        data = b""
        try:
            while True:
                while b"\r\n\r\n" not in data:
                    more = conn.recv(1 << 16)
                    if not more:
                        return
                    data += more
                head, _, data = data.partition(b"\r\n\r\n")
                first, *lines = head.decode("latin-1").split("\r\n")
                method, path, _ = first.split(" ", 2)
                headers = {
                    name.strip().lower(): value.strip()
                    for name, _, value in (line.partition(":") for line in lines)
                }
                length = int(headers.get("content-length", 0))
                while len(data) < length:
                    more = conn.recv(1 << 16)
                    if not more:
                        return
                    data += more
                body, data = data[:length], data[length:]
                self._answer(conn, incarnation, method, path, headers, body)
        except OSError:
            return
        finally:
            with self._lock:
                self._open.discard(conn)
            conn.close()

    def _answer(self, conn, incarnation, method, path, headers, body) -> None:
        request = headers.get("request-id", "")
        if headers.get("expect-instance", incarnation) != incarnation:
            send(conn, 421, [("Request-Id", request), ("Not-Executed", "1")], b"")
            return
        if path == "/report":
            with self._lock:
                running = self.running
            report = {"running": running, "queued": 0, "kv_used": 0, "kv_total": 55_000}
            send(conn, 200, [], json.dumps(report).encode())
            return
        if path == "/health":
            send(conn, 200, [("Instance-Id", incarnation)], b"")
            return
        now_s = self.record.now_s()
        self.arrivals.append((now_s, request, headers, body))
        crash_after = None
        if self.behave is not None:
            answer = self.behave(self, path, headers, body)
            if isinstance(answer, int):
                crash_after = answer
            elif answer is not None:
                status, more, text = answer
                send(conn, status, [("Request-Id", request), *more], text)
                return
        self.runs.append((now_s, request))
        with self._lock:
            self.running += 1
        try:
            if self.events:
                self._stream(conn, headers, crash_after)
            else:
                time.sleep(self.work_s)
                seal = [("Request-Id", request), ("Response-Seal", f"seal.{request}")]
                if self.leaving:
                    seal.append(("Server-Leaving", "1"))
                send(conn, 200, seal, f"ran {request} at {incarnation}".encode())
        finally:
            with self._lock:
                self.running -= 1

    def _stream(self, conn, headers, crash_after) -> None:
        request = headers.get("request-id", "")
        first = int(headers.get("last-event-id", 0) or 0) + 1
        head = (
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
            f"Request-Id: {request}\r\nResponse-Seal: seal.{request}\r\nWeight-Versions: 1\r\n\r\n"
        )
        time.sleep(0.1)
        conn.sendall(head.encode())
        for number in range(first, self.events + 1):
            event = f"id: {number}\ndata: token {number}\n\n".encode()
            conn.sendall(b"%x\r\n%s\r\n" % (len(event), event))
            time.sleep(EVENT_PAUSE_S)
            if crash_after is not None and number - first + 1 >= crash_after:
                self.crash(BACK_AFTER_S, f"event {crash_after} of request {request}")
                return
        conn.sendall(b"0\r\n\r\n")


def with_shutdown(listener: socket.socket) -> None:
    """Close a listener, which wakes the thread that accepts on it."""
    try:
        listener.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass
    listener.close()


def send(conn: socket.socket, status: int, headers, body: bytes) -> None:
    """Send a whole answer."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    conn.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

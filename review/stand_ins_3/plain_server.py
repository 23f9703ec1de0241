"""Stand-in of a replica of a plain service, which records the requests that it runs."""

import socketserver
import threading
import time

from rig import Record, free_port, listed


class PlainServer:
    """Sound replica: answers 200 with the request's id and a seal, 421 to another instance's."""

    def __init__(self, server_id: str, service: str, record: Record, work_s: float = 0.0):
        self.id, self.service = server_id, service
        self._work_s = work_s
        ip = "127.0.3.1"
        self._record = record
        self._lock = threading.Lock()
        self.ran: list[dict] = []
        outer = self

        class Handler(socketserver.StreamRequestHandler):
            def handle(self) -> None:
                while outer.serve(self.rfile, self.wfile):
                    pass

        class Server(socketserver.ThreadingTCPServer):
            daemon_threads = True
            allow_reuse_address = True

        self._server = Server((ip, free_port(ip)), Handler)
        self.address = f"{ip}:{self._server.server_address[1]}"
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def entry(self, **more: object) -> dict:
        """Return the server's entry of the list."""
        return listed(self.id, self.service, self.address, **more)

    def serve(self, rfile, wfile) -> bool:
        """Serve one request; return whether to keep the connection."""
        try:
            line = rfile.readline().decode("latin-1").split()
            headers = {}
            while field := rfile.readline().decode("latin-1").strip():
                name, _, value = field.partition(":")
                headers[name.lower()] = value.strip()
            if len(line) != 3:
                return False
            body = rfile.read(int(headers.get("content-length", 0)))
            wfile.write(self.answer(line[0], line[1], headers, body))
            return True
        except (OSError, ValueError):
            return False

    def answer(self, method: str, target: str, headers: dict, body: bytes) -> bytes:
        """Return the whole answer to a request."""
        if headers.get("expect-instance", self.id) != self.id:
            return b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n"
        request_id = headers.get("request-id", "")
        if not request_id:
            return b"HTTP/1.1 400 Bad Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
        with self._lock:
            self.ran.append({"method": method, "target": target, "headers": headers, "body": body})
        self._record.write(
            f"server {self.id} runs {method} {target} id={request_id} body={body!r:.60}"
        )
        time.sleep(self._work_s)
        data = b"ran " + request_id.encode()
        head = (
            f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\n"
            f"Response-Seal: seal-{request_id}\r\nContent-Length: {len(data)}\r\n\r\n"
        )
        return head.encode() + data

"""Small HTTP/1.1 server for the fake servers.

One event loop writes all streams of a process, since at hundreds of streams this costs less
processor time than one thread per stream. Headers are parsed by the standard library.
"""

import asyncio
import http.client
import io
import os
from collections.abc import Awaitable, Callable, Mapping
from http import HTTPStatus
from typing import Any, NamedTuple
from urllib.parse import parse_qs, urlsplit

import msgspec

MAX_HEADER_BYTES = 64 * 1024


class Request(NamedTuple):
    """One request with its complete body."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes


class Response(NamedTuple):
    """One response with its complete body."""

    status: int
    body: Any = None
    headers: dict[str, str] = {}


class Exchange:
    """Connection on which a handler can write a chunked response itself."""

    def __init__(self, writer: asyncio.StreamWriter, headers: Mapping[str, str]):
        self.writer = writer
        self.headers = headers

    @property
    def gone(self) -> bool:
        """Return whether the peer has closed the connection."""
        return self.writer.is_closing()

    def unsent_bytes(self) -> int:
        """Return the number of bytes buffered because the peer reads slowly."""
        return self.writer.transport.get_write_buffer_size()

    def start(self, content_type: str) -> None:
        """Write the head of a chunked response."""
        head = f"HTTP/1.1 200 OK\r\nContent-Type: {content_type}\r\nTransfer-Encoding: chunked"
        lines = [head, *(f"{name}: {value}" for name, value in self.headers.items())]
        self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")

    def write(self, data: bytes) -> None:
        """Write one chunk."""
        self.writer.write(b"%x\r\n%b\r\n" % (len(data), data))

    def end(self) -> None:
        """Write the last chunk."""
        self.writer.write(b"0\r\n\r\n")

    def reset(self) -> None:
        """Close the connection without ending the response."""
        self.writer.transport.abort()


Handler = Callable[[Request, Exchange], Awaitable[Response | None]]


class Server:
    """Listener that passes each request to `handler`.

    A handler that returns None has written its response through the exchange.

    Attributes
    ----------
    headers : dict
        Headers of all responses, besides their own.
    """

    def __init__(self, handler: Handler, address: str):
        self._handler = handler
        self.headers: dict[str, str] = {}
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen, and print the address once connections are accepted."""
        await self.listen(True)
        print(f"listening {self._host}:{self._port}", flush=True)

    async def listen(self, accepting: bool) -> None:
        """Accept or refuse new connections; open ones stay."""
        if accepting and self._server is None:
            self._server = await asyncio.start_server(
                self._serve, self._host, self._port, limit=1 << 24, backlog=512
            )
            self._port = self._server.sockets[0].getsockname()[1]
        if not accepting and self._server is not None:
            self._server.close()
            self._server = None

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        exchange = Exchange(writer, self.headers)
        try:
            while not exchange.gone:
                req = await _read_request(reader)
                response = await self._handler(req, exchange)
                if response is not None:
                    _write_response(writer, response, self.headers)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


async def _read_request(reader: asyncio.StreamReader) -> Request:
    line = await reader.readline()
    if not line:
        raise asyncio.IncompleteReadError(b"", None)
    method, target, _ = line.decode().split(" ", 2)
    head = await reader.readuntil(b"\r\n\r\n")
    parsed = http.client.parse_headers(io.BytesIO(head))
    headers = {name.lower(): value for name, value in parsed.items()}
    body = await _read_body(reader, headers)
    url = urlsplit(target)
    query = {name: values[-1] for name, values in parse_qs(url.query).items()}
    return Request(method, url.path, query, headers, body)


async def _read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    if headers.get("transfer-encoding", "").lower() != "chunked":
        return await reader.readexactly(int(headers.get("content-length", 0)))
    body = bytearray()
    while size := int((await reader.readline()).split(b";")[0], 16):
        body += await reader.readexactly(size)
        await reader.readline()
    await reader.readline()
    return bytes(body)


def _write_response(
    writer: asyncio.StreamWriter, response: Response, headers: Mapping[str, str]
) -> None:
    body = b"" if response.body is None else msgspec.json.encode(response.body)
    lines = [
        f"HTTP/1.1 {response.status} {HTTPStatus(response.status).phrase}",
        *(f"{name}: {value}" for name, value in {**headers, **response.headers}.items()),
    ]
    if response.status != HTTPStatus.NO_CONTENT:
        lines += ["Content-Type: application/json", f"Content-Length: {len(body)}"]
    writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)


def die() -> None:
    """Exit immediately without clean-up, as in a crash."""
    os._exit(9)

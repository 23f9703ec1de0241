"""TCP forwarder on loopback whose connections a test can reset, silence or delay."""

import asyncio
import socket
import struct
import threading
import time
from collections.abc import Coroutine, Sequence
from enum import Enum
from typing import Any, TypeVar

T = TypeVar("T")

_CHUNK_BYTES = 1 << 16
_POLL_S = 0.01
_QUEUED_CONNECTIONS = 4
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Direction(Enum):
    """Direction of bytes through a link: to the target (forth) or from it (back)."""

    FORTH = "forth"
    BACK = "back"


def _reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    # A connection that has just closed by itself has no socket left to reset.
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    writer.transport.abort()


class Network:
    """Event loop in its own thread that runs all links of a test."""

    def __init__(self) -> None:
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()
        self._links: list[Link] = []

    def link(self, target: str, host: str = "127.0.0.1", port: int = 0) -> "Link":
        """Return a new link that listens on `host` and forwards to the address `target`."""
        link = Link(self, target, host, port)
        self._links.append(link)
        return link

    def run(self, task: Coroutine[Any, Any, T]) -> T:
        """Run `task` in the loop and return its result."""
        return asyncio.run_coroutine_threadsafe(task, self._loop).result(10.0)

    def end_silences(self, links: Sequence["Link"]) -> None:
        """End the silences of several links at once."""
        self.run(_go_on(links))

    def close(self) -> None:
        """Close all links and stop the thread."""
        for link in self._links:
            self.run(link.shut())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(10.0)
        self._loop.close()


async def _go_on(links: Sequence["Link"]) -> None:
    for link in links:
        await link.go_on()


class Link:
    """One forwarded address.

    A silenced direction holds its bytes back without closing the connection, as when packets are
    dropped; `hang` also leaves connection attempts without an answer. `reset` resets all
    connections, and `refuse` closes the listener too.

    Attributes
    ----------
    bytes_carried : dict
        Bytes forwarded, by direction.
    sent_at_s : list of float
        Monotonic time in s of each chunk to the target.
    """

    def __init__(self, network: Network, target: str, host: str, port: int):
        self._network = network
        self._target_host, _, target_port = target.rpartition(":")
        self._target_port = int(target_port)
        self._silent: set[Direction] = set()
        self._delay_ms = 0
        self._writers: set[asyncio.StreamWriter] = set()
        self._listener: socket.socket | None = None
        self._queued: list[socket.socket] = []
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._host = host
        self._port = port
        self.sent_at_s: list[float] = []
        self.bytes_carried = {Direction.FORTH: 0, Direction.BACK: 0}
        network.run(self._listen())

    @property
    def address(self) -> str:
        """Return the link's own address, to connect to instead of the target's."""
        return f"{self._host}:{self._port}"

    def silence(self, *directions: Direction) -> None:
        """Hold back the bytes of `directions`, or of both directions if none is given."""
        self._silent = set(directions or Direction)

    def hang(self) -> None:
        """Hold back all bytes, and leave connection attempts without an answer."""
        self._silent = set(Direction)
        self._network.run(self._stop_accepting())

    def end_silence(self) -> None:
        """Forward bytes again and accept connections, unless the link refuses them."""
        self._network.run(self.go_on())

    async def go_on(self) -> None:
        """End a silence; must run in the network's event loop."""
        self._silent = set()
        if self._listener is not None:
            await self._listen()

    def delay(self, ms: int) -> None:
        """Delay each chunk of bytes by `ms` in both directions."""
        self._delay_ms = ms

    def heal(self) -> None:
        """Forward bytes without delay again and accept connections."""
        self._silent = set()
        self._delay_ms = 0
        self._network.run(self._listen())

    def reset(self) -> None:
        """Reset all connections."""
        self._network.run(self._abort())

    def refuse(self) -> None:
        """Reset all connections and refuse new ones."""
        self._network.run(self.shut())

    async def shut(self) -> None:
        """Close the listener and all connections; must run in the network's event loop."""
        self._close_server()
        self._close_queued()
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        await self._abort()

    async def _abort(self) -> None:
        for writer in list(self._writers):
            _reset(writer)
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _listen(self) -> None:
        if self._listener is None:
            self._listener = socket.create_server((self._host, self._port))
            self._port = self._listener.getsockname()[1]
        self._close_queued()
        if self._server is None:
            # The listener outlives the server, so that no connection is refused meanwhile.
            self._server = await asyncio.start_server(self._accept, sock=self._listener.dup())

    async def _stop_accepting(self) -> None:
        if self._listener is None or self._server is None:
            return
        self._close_server()
        self._listener.listen(0)
        for _ in range(_QUEUED_CONNECTIONS):
            sock = socket.socket()
            sock.setblocking(False)
            sock.connect_ex(self._listener.getsockname())
            self._queued.append(sock)

    def _close_server(self) -> None:
        if self._server is not None:
            self._server.close()
            self._server = None

    def _close_queued(self) -> None:
        while self._queued:
            self._queued.pop().close()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        if task is not None:
            self._tasks.add(task)
        self._writers.add(writer)
        try:
            await self._connect(reader, writer)
        except (OSError, asyncio.CancelledError):
            writer.transport.abort()
        finally:
            self._writers.discard(writer)
            if task is not None:
                self._tasks.discard(task)

    async def _connect(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await self._wait_until_open(Direction.FORTH)
        target_reader, target_writer = await asyncio.open_connection(
            self._target_host, self._target_port
        )
        self._writers.add(target_writer)
        try:
            await asyncio.gather(
                self._forward(Direction.FORTH, reader, target_writer),
                self._forward(Direction.BACK, target_reader, writer),
            )
        finally:
            self._writers.discard(target_writer)
            target_writer.transport.abort()
            writer.close()

    async def _forward(
        self, direction: Direction, source: asyncio.StreamReader, sink: asyncio.StreamWriter
    ) -> None:
        while data := await source.read(_CHUNK_BYTES):
            if self._delay_ms:
                await asyncio.sleep(self._delay_ms / 1000)
            await self._wait_until_open(direction)
            self.bytes_carried[direction] += len(data)
            if direction is Direction.FORTH:
                self.sent_at_s.append(time.monotonic())
            sink.write(data)
            await sink.drain()
        await self._wait_until_open(direction)
        if sink.can_write_eof():
            sink.write_eof()

    async def _wait_until_open(self, direction: Direction) -> None:
        while direction in self._silent:
            await asyncio.sleep(_POLL_S)

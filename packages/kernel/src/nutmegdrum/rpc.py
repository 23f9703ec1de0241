"""Thrift servers and clients for calls between processes."""

import functools
import logging
import socket
import threading
from collections import defaultdict, deque
from collections.abc import Callable
from typing import Any

from nutmegdrum_coord import verdict as v
from nutmegdrum_coord.ids import DeploymentId, VmId
from nutmegdrum_wire.gen.messages import Operators, Peers
from nutmegdrum_wire.gen.messages.ttypes import Refused, Sender
from thrift.protocol.TBinaryProtocol import TBinaryProtocolAcceleratedFactory
from thrift.server.TServer import TThreadedServer
from thrift.Thrift import TApplicationException, TException
from thrift.transport.TSocket import TServerSocket, TSocket
from thrift.transport.TTransport import TBufferedTransportFactory, TTransportException

from nutmegdrum import metrics
from nutmegdrum.logs import log_change
from nutmegdrum.units import Address

_MAX_IDLE_CONNECTIONS = 4

_KEEP_ALIVE = {socket.TCP_KEEPIDLE: 5, socket.TCP_KEEPINTVL: 2, socket.TCP_KEEPCNT: 3}
"""Idle time and probe interval in s, and the number of unanswered probes that end a connection.
Short times bound the number of threads that wait for VMs that have lost power."""

logging.getLogger("thrift").setLevel(logging.CRITICAL)


class PeerUnreachable(OSError):
    """A call to another VM was not answered.

    Parameters
    ----------
    sent : bool
        Whether the other VM may have executed the call.
    """

    def __init__(self, address: Address, sent: bool):
        super().__init__(f"no answer from {address}")
        self.sent = sent


def encode_refusal(refusal: v.Refusal, leader: str = "") -> Refused:
    """Return the thrift form of `refusal`."""
    retry = -1 if refusal.retry_after_ms is None else refusal.retry_after_ms
    return Refused(
        reason=refusal.why.instance_name,
        verdict=refusal.verdict.value,
        retry_after_ms=retry,
        detail=refusal.detail,
        leader=leader,
    )


def decode_refusal(refused: Refused) -> v.Refusal:
    """Return the refusal in a thrift exception."""
    retry = None if refused.retry_after_ms < 0 else refused.retry_after_ms
    why = v.reason(refused.reason)
    return v.Refusal(why, v.Verdict(refused.verdict), retry, refused.detail)


class CheckedHandler:
    """Service handler wrapper that checks the sender and converts refusals to exceptions.

    Parameters
    ----------
    handler : object
        Implements the service's methods; the sender is their first argument.
    deployment : DeploymentId
        Deployment whose calls are accepted; others are refused.
    leader : callable
        Returns the state leader's VM, sent to callers as a hint.
    """

    def __init__(
        self,
        handler: Any,
        deployment: DeploymentId,
        leader: Callable[[], VmId | None] = lambda: None,
    ):
        self._handler = handler
        self._deployment = deployment
        self._leader = leader

    def __getattr__(self, name: str) -> Any:
        method = getattr(self._handler, name)

        @functools.wraps(method)
        def call(sender: Sender, *args: Any) -> Any:
            try:
                self._check(sender)
                return method(sender, *args)
            except v.Refusal as refusal:
                raise encode_refusal(refusal, self._leader() or "") from None

        setattr(self, name, call)
        return call

    def _check(self, sender: Sender) -> None:
        if sender.deployment != self._deployment:
            raise v.Refusal(v.WRONG_DEPLOYMENT, detail=f"this is {self._deployment}")


class RpcServer(TThreadedServer):
    """Thrift server with one thread per connection; its address is bound before it serves."""

    def __init__(self, address: Address, processor: Any):
        transport = TServerSocket(address.host, address.port)
        buffered = TBufferedTransportFactory()
        protocol = TBinaryProtocolAcceleratedFactory()
        super().__init__(processor, transport, buffered, protocol, daemon=True)
        self._thread = threading.Thread(target=self._serve, name=f"rpc-{address}", daemon=True)
        self._stopped = False

    def bind(self) -> None:
        """Bind the address; connections wait until `start`.

        Raises
        ------
        TTransportException
            If the address cannot be bound.
        """
        self.serverTransport.listen()

    def start(self) -> None:
        """Start serving in a thread."""
        self._thread.start()

    def _serve(self) -> None:
        while not self._stopped:
            client = self._accept()
            if client is None:
                continue
            thread = threading.Thread(target=self.handle, args=(client,), daemon=True)
            try:
                thread.start()
            except RuntimeError as exc:
                log_change("peer-connection-refused", error=str(exc))
                client.close()

    def _accept(self) -> TSocket | None:
        try:
            client = self.serverTransport.accept()
        except OSError:
            return None
        if client is not None:
            _keep_alive(client.handle)
        return client

    def stop(self) -> None:
        """Close the listener."""
        self._stopped = True
        self.serverTransport.close()


def _keep_alive(sock: socket.socket) -> None:
    """Enable TCP keep-alive, so that connections of lost VMs and their threads end."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in _KEEP_ALIVE.items():
        sock.setsockopt(socket.IPPROTO_TCP, option, value)


def peers_server(address: Address, guard: CheckedHandler) -> RpcServer:
    """Return a server of the `Peers` service."""
    return RpcServer(address, Peers.Processor(guard))


def operators_server(address: Address, guard: CheckedHandler) -> RpcServer:
    """Return a server of the `Operators` service."""
    return RpcServer(address, Operators.Processor(guard))


class _Connection:
    def __init__(self, address: Address, service: Any, timeout_ms: int, connect_timeout_ms: int):
        self.socket = TSocket(address.host, address.port)
        self.socket.setTimeout(connect_timeout_ms)
        transport = TBufferedTransportFactory().getTransport(self.socket)
        self.client = service.Client(TBinaryProtocolAcceleratedFactory().getProtocol(transport))
        transport.open()
        self.socket.setTimeout(timeout_ms)


class RpcClient:
    """Client with a small connection pool per address; thread-safe.

    Parameters
    ----------
    sender : Sender
        Identity sent with each call.
    service : module
        Generated service module, `Peers` or `Operators`.
    connect_timeout_ms : int or None
        Time-out for opening a connection; None for the time-out of the call.
    """

    def __init__(self, sender: Sender, service: Any = Peers, connect_timeout_ms: int | None = None):
        self._sender = sender
        self._service = service
        self._connect_timeout_ms = connect_timeout_ms
        self._idle: dict[Address, deque[_Connection]] = defaultdict(deque)

    def call(self, address: Address, method: str, *args: Any, timeout_ms: int) -> Any:
        """Call `method` at `address` and return its result.

        Raises
        ------
        Refusal
            If the other VM refused the call.
        PeerUnreachable
            If no answer came within `timeout_ms`.
        """
        conn = self._connection(address, timeout_ms)
        try:
            result = getattr(conn.client, method)(self._sender, *args)
        except Refused as refused:
            self._release(address, conn)
            raise decode_refusal(refused) from None
        except (TException, TApplicationException, OSError, EOFError) as exc:
            conn.socket.close()
            metrics.PEER_CALLS.labels(method, "lost").inc()
            raise PeerUnreachable(address, sent=True) from exc
        self._release(address, conn)
        metrics.PEER_CALLS.labels(method, "answered").inc()
        return result

    def _connection(self, address: Address, timeout_ms: int) -> _Connection:
        idle = self._idle[address]
        while idle:
            try:
                conn = idle.pop()
            except IndexError:
                break
            if conn.socket.isOpen():
                conn.socket.setTimeout(timeout_ms)
                return conn
            conn.socket.close()
        try:
            connect_timeout_ms = min(timeout_ms, self._connect_timeout_ms or timeout_ms)
            return _Connection(address, self._service, timeout_ms, connect_timeout_ms)
        except (TTransportException, OSError) as exc:
            metrics.PEER_CALLS.labels("connect", "lost").inc()
            raise PeerUnreachable(address, sent=False) from exc

    def _release(self, address: Address, conn: _Connection) -> None:
        idle = self._idle[address]
        if len(idle) < _MAX_IDLE_CONNECTIONS:
            idle.append(conn)
        else:
            conn.socket.close()

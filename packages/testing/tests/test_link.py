import contextlib
import socket
import threading

import pytest
from nutmegdrum_testing.link import Direction, Network
from nutmegdrum_testing.waiting import wait_for


@pytest.fixture
def echo():
    listener = socket.create_server(("127.0.0.1", 0))

    def serve():
        while True:
            try:
                conn, _ = listener.accept()
            except OSError:
                return
            threading.Thread(target=answer, args=(conn,), daemon=True).start()

    def answer(conn):
        with conn, contextlib.suppress(ConnectionError):
            while data := conn.recv(1000):
                conn.sendall(data)

    threading.Thread(target=serve, daemon=True).start()
    yield f"127.0.0.1:{listener.getsockname()[1]}"
    listener.shutdown(socket.SHUT_RDWR)
    listener.close()


@pytest.fixture
def network():
    network = Network()
    yield network
    network.close()


@pytest.fixture
def link(echo, network):
    return network.link(echo)


def connect(link, sock=None):
    host, _, port = link.address.rpartition(":")
    if sock is None:
        return socket.create_connection((host, int(port)), timeout=5)
    sock.connect((host, int(port)))
    return sock


class TestLink:
    def test_bytes_are_forwarded_in_both_directions(self, link):
        with connect(link) as conn:
            conn.sendall(b"hello")
            assert conn.recv(100) == b"hello"
        assert link.bytes_carried == {Direction.FORTH: 5, Direction.BACK: 5}

    @pytest.mark.parametrize("direction", Direction)
    def test_silenced_direction_holds_bytes_until_healed(self, link, direction):
        with connect(link) as conn:
            conn.sendall(b"a")
            assert conn.recv(100) == b"a"
            link.silence(direction)
            conn.sendall(b"b")
            conn.settimeout(0.2)
            with pytest.raises(TimeoutError):
                conn.recv(100)
            carried_forth = link.bytes_carried[Direction.FORTH]
            assert carried_forth == (1 if direction is Direction.FORTH else 2)
            link.heal()
            conn.settimeout(5)
            assert conn.recv(100) == b"b"

    def test_reset_closes_connections_and_accepts_new_ones(self, link):
        with connect(link) as conn:
            conn.sendall(b"a")
            assert conn.recv(100) == b"a"
            link.reset()
            with pytest.raises(ConnectionError):
                conn.recv(100)
        with connect(link) as conn:
            conn.sendall(b"b")
            assert conn.recv(100) == b"b"

    def test_refusing_link_accepts_connections_after_heal(self, link):
        link.refuse()
        with pytest.raises(ConnectionError):
            connect(link).close()
        link.heal()
        with connect(link) as conn:
            conn.sendall(b"b")
            assert conn.recv(100) == b"b"

    def test_hanging_link_leaves_connection_attempts_and_bytes_until_the_silence_ends(self, link):
        with connect(link) as conn, socket.socket() as late:
            conn.sendall(b"a")
            assert conn.recv(100) == b"a"
            link.hang()
            conn.sendall(b"b")
            for sock in (conn, late):
                sock.settimeout(0.2)
            with pytest.raises(TimeoutError):
                conn.recv(100)
            with pytest.raises(TimeoutError):
                connect(link, late)
            link.end_silence()
            conn.settimeout(5)
            assert conn.recv(100) == b"b"
        with connect(link) as conn:
            conn.sendall(b"c")
            assert conn.recv(100) == b"c"

    @pytest.mark.parametrize("silence", ["silence", "hang"])
    def test_a_silence_that_ends_leaves_a_refusing_link_refusing(self, link, silence):
        getattr(link, silence)()
        link.refuse()
        link.end_silence()
        with pytest.raises(ConnectionError):
            connect(link).close()

    def test_delay_postpones_each_chunk(self, link):
        link.delay(100)
        with connect(link) as conn:
            conn.settimeout(0.15)
            conn.sendall(b"a")
            with pytest.raises(TimeoutError):
                conn.recv(100)
            conn.settimeout(5)
            assert conn.recv(100) == b"a"


class TestWaitFor:
    def test_a_condition_that_never_holds_times_out(self):
        with pytest.raises(TimeoutError):
            wait_for(lambda: False, 0.05)

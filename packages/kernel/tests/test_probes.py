import socket
import struct
import threading

import pytest
from nutmegdrum.probes import has_ended
from nutmegdrum.units import Address
from nutmegdrum_testing.dark_address import dark_address

CONNECT_MS = 500
SETTLE_MS = 1_000
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@pytest.fixture
def listener():
    with socket.create_server(("127.0.0.1", 0)) as sock:
        yield sock


def address_of(sock):
    return Address(f"127.0.0.1:{sock.getsockname()[1]}")


class TestHasEnded:
    def test_listening_process_has_not_ended(self, listener):
        assert not has_ended(address_of(listener), CONNECT_MS, 50)

    def test_process_that_refuses_connections_has_ended(self, listener):
        address = address_of(listener)
        listener.close()
        assert has_ended(address, CONNECT_MS, SETTLE_MS)

    def test_unreachable_process_has_ended(self):
        with dark_address() as address:
            assert has_ended(address, 50, SETTLE_MS)

    def test_terminating_process_that_still_accepts_connections_has_ended(self, listener):
        """The operating system closes a process's sockets one by one, including the listener."""
        ending = threading.Thread(target=lambda: (listener.accept(), listener.close()))
        ending.start()
        assert has_ended(address_of(listener), CONNECT_MS, SETTLE_MS)
        ending.join()

    def test_process_that_resets_excess_connections_has_not_ended(self, listener):
        def reset_first():
            sock, _ = listener.accept()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            sock.close()

        resetting = threading.Thread(target=reset_first)
        resetting.start()
        assert not has_ended(address_of(listener), CONNECT_MS, SETTLE_MS)
        resetting.join()

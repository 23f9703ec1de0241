"""Probes of other VMs by their TCP ports."""

import socket

from nutmegdrum.units import Address

_MS_PER_S = 1_000


def accepts_connections(address: Address, timeout_ms: int) -> bool:
    """Return whether a connection to `address` is accepted within `timeout_ms`."""
    try:
        with socket.create_connection((address.host, address.port), timeout_ms / _MS_PER_S):
            return True
    except OSError:
        return False

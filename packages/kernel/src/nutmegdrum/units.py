"""Quantities with units, as written in settings and release notes."""

import ipaddress
import re
from typing import Any

from nutmegdrum_coord.clock import Duration

PPM = 1_000_000
"""100% in parts per million, the unit of shares of traffic and of limits."""

_DURATION_UNITS_MS = {"ms": 1, "s": 1_000, "min": 60_000, "h": 3_600_000, "d": 86_400_000}
_SIZE_UNITS_BYTES = {"B": 1, "KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30, "TiB": 1 << 40}
_QUANTITY = re.compile(r"^(\d+)\s*([A-Za-z]+)$")
_MAX_PORT = 65_535
_MAX_DIGITS = 18


class Size(int):
    """Number of bytes, written with a unit: `512B`, `64KiB`, `8MiB`, `2GiB`."""


class Address(str):
    """IP address and port of a listener, written `127.0.0.1:8080`."""

    @property
    def host(self) -> str:
        """Return the IP address."""
        return self.rpartition(":")[0].strip("[]")

    @property
    def port(self) -> int:
        """Return the TCP port, 0 to 65,535."""
        return int(self.rpartition(":")[2])


def parse_count(text: str) -> int | None:
    """Parse a whole number in ASCII digits; return None for anything else.

    `str.isdigit` accepts digits that `int` rejects, and `int` rejects very long numbers.
    """
    text = text.strip()
    if not (text.isascii() and text.isdigit()) or len(text) > _MAX_DIGITS:
        return None
    return int(text)


def _quantity(text: Any, units: dict[str, int], what: str) -> int:
    match = _QUANTITY.match(text) if isinstance(text, str) else None
    if match is None or match[2] not in units:
        names = ", ".join(units)
        raise ValueError(f"expected {what}: a whole number and a unit of {names}; got {text!r}")
    return int(match[1]) * units[match[2]]


def parse_duration(text: Any) -> Duration:
    """Parse a duration and return it in ms.

    Raises
    ------
    ValueError
        If the text is not a whole number and a unit of time.
    """
    return Duration(_quantity(text, _DURATION_UNITS_MS, "a duration"))


def parse_size(text: Any) -> Size:
    """Parse a size and return it in bytes.

    Raises
    ------
    ValueError
        If the text is not a whole number and a unit of size.
    """
    return Size(_quantity(text, _SIZE_UNITS_BYTES, "a size"))


def parse_address(text: Any) -> Address:
    """Parse an address.

    Raises
    ------
    ValueError
        If the text is not an IP address and a port, separated by a colon.
    """
    if not isinstance(text, str):
        raise ValueError(f"expected an address such as 127.0.0.1:8080; got {text!r}")
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        number = int(port)
    except ValueError:
        raise ValueError(f"expected an IP address and a port; got {text!r}") from None
    if not 0 <= number <= _MAX_PORT:
        raise ValueError(f"expected a port from 0 to {_MAX_PORT}; got {number}")
    return Address(text)


def encode_hook(value: Any) -> Any:
    """Encode the quantity types of this module for msgspec."""
    if isinstance(value, Address):
        return str.__str__(value)
    if isinstance(value, int):
        return int(value)
    raise NotImplementedError(f"cannot encode {type(value)!r}")


def decode_hook(kind: type, value: Any) -> Any:
    """Decode the quantity types of this module for msgspec."""
    if kind is Duration:
        return parse_duration(value)
    if kind is Size:
        return parse_size(value)
    if kind is Address:
        return parse_address(value)
    raise NotImplementedError(f"cannot decode {kind!r}")

"""Client of the platform's live list of VMs and weight store."""

from http.client import HTTPException

import msgspec
from nutmegdrum_coord.clock import Clock
from nutmegdrum_coord.ids import ModelName, VersionName
from urllib3.exceptions import HTTPError

from nutmegdrum.bounded_http import MAX_HEAD, BoundedConnection
from nutmegdrum.fleet import ListedVm, LiveList
from nutmegdrum.logs import log_change
from nutmegdrum.odd_json import decode_items
from nutmegdrum.schedule import Weights
from nutmegdrum.settings import PlatformSettings
from nutmegdrum.units import Address, Duration, parse_address

TIMEOUT = Duration(2_000)
"""Time for connecting, for the head and for the body of an answer, each."""

MAX_DOCUMENT = 32 << 20
"""Largest document in bytes; a list of 100,000 VMs."""

_OK = 200
_MS_PER_S = 1_000


class _WeightsBody(msgspec.Struct):
    bytes: int
    rate_bytes_per_s: int


class PlatformClient:
    """Client that reads the platform's documents; methods return None if it does not answer."""

    def __init__(self, cfg: PlatformSettings, clock: Clock):
        self._address = cfg.live_list
        self._clock = clock

    def live_list(self) -> LiveList | None:
        """Return the live list of VMs."""
        body = self._get("/v1/vms")
        return None if body is None else decode_live_list(body)

    def weights(self, model: ModelName, version: VersionName) -> Weights | None:
        """Return a version's size and the weight store's rate."""
        body = self._get(f"/v1/weights/{model}/{version}")
        found = None if body is None else _decode(body, _WeightsBody)
        return None if found is None else Weights(found.bytes, found.rate_bytes_per_s)

    def _get(self, path: str) -> bytes | None:
        if self._address is None:
            return None
        try:
            return self._read(self._address, path)
        except (HTTPError, HTTPException, OSError, ValueError):
            return None

    def _read(self, address: Address, path: str) -> bytes | None:
        timeout_s = TIMEOUT / _MS_PER_S
        conn = BoundedConnection(address.host, address.port, self._clock, timeout=timeout_s)
        try:
            conn.request("GET", path, preload_content=False)
            conn.bounds.renew(TIMEOUT, MAX_HEAD)
            response = conn.getresponse()
            if response.status != _OK:
                return None
            conn.bounds.renew(TIMEOUT, MAX_DOCUMENT)
            return b"".join(conn.response.parts())
        finally:
            conn.close()


def decode_live_list(body: bytes) -> LiveList | None:
    """Return the live list without its invalid entries; None if it is invalid as a whole."""
    try:
        document, entries = decode_items(body, "vms")
        sequence = msgspec.convert(document.get("sequence"), int)
    except ValueError as exc:
        log_change("live-list-unreadable", error=str(exc))
        return None
    vms = [vm for vm in map(_listed_vm, entries) if vm is not None]
    return LiveList(sequence=sequence, vms=vms)


def _listed_vm(entry: object) -> ListedVm | None:
    try:
        vm = msgspec.convert(entry, ListedVm)
        parse_address(vm.address)
    except (ValueError, RecursionError):
        return None
    return vm


def _decode(body: bytes, kind: type) -> object:
    try:
        return msgspec.json.decode(body, type=kind)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as exc:
        log_change("platform-answer-unreadable", error=str(exc))
        return None

"""Client for the `/control` path and the reports of fake servers."""

from typing import Any

import msgspec
import urllib3

from nutmegdrum_testing.faults import Fault


class Control:
    """Client that sets the faults of one fake server and reads its state.

    It keeps one connection open, so that it still reaches a server that refuses connections.
    """

    def __init__(self, address: str):
        host, _, port = address.rpartition(":")
        self._pool = urllib3.HTTPConnectionPool(host, int(port), maxsize=1, retries=False)

    def set_faults(self, *faults: Fault) -> None:
        """Replace all faults by `faults`; without arguments all are removed."""
        self._call("POST", "/control", {"faults": faults})

    def post(self, body: dict[str, Any]) -> Any:
        """Post any other control message."""
        return self._call("POST", "/control", body)

    def state(self) -> dict[str, Any]:
        """Return the server's counters and state."""
        return self._call("GET", "/control")

    def get(self, path: str) -> Any:
        """Return another document, such as a ledger."""
        return self._call("GET", path)

    def _call(self, method: str, path: str, body: Any = None) -> Any:
        data = None if body is None else msgspec.json.encode(body)
        response = self._pool.request(method, path, body=data, timeout=5.0)
        return msgspec.json.decode(response.data)

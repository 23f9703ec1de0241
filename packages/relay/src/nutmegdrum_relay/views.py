"""Messages between entry VMs and state replicas about the routing document."""

import msgspec
from nutmegdrum.units import Address
from nutmegdrum_coord.ids import BackendId, VmId


class EntryReport(msgspec.Struct, frozen=True, kw_only=True):
    """What an entry VM tells a state replica, and up to what it knows.

    Attributes
    ----------
    version : int
        Version of the routing document in force there; 0 for none.
    wait_ms : int
        Time that the leader may wait for a newer version before it answers, in ms.
    tokens : dict
        Tokens that this VM's running requests need on each backend server.
    """

    vm: VmId
    version: int
    wait_ms: int
    tokens: dict[BackendId, int] = {}


class ControlView(msgspec.Struct, frozen=True, kw_only=True):
    """What a state replica answers.

    Attributes
    ----------
    fresh : bool
        Whether this replica leads and its lease held when it answered.
    source : bytes
        Newest document; empty if the entry VM has it.
    replicas : tuple of Address
        Peers' listeners of the log's members.
    tokens : dict
        Tokens that the other entry VMs' requests need on each backend server.
    """

    fresh: bool
    version: int
    source: bytes = b""
    replicas: tuple[Address, ...] = ()
    tokens: dict[BackendId, int] = {}

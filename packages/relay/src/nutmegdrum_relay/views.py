"""Messages between entry VMs and state replicas about the routing document."""

import msgspec
from nutmegdrum.units import Address
from nutmegdrum_coord.ids import BackendId, VmId


class Work(msgspec.Struct, frozen=True, array_like=True):
    """Work of running requests on one backend server, in tokens.

    Attributes
    ----------
    unread : int
        Prompt tokens of requests that have not brought an event yet.
    resident : int
        Tokens that the requests and copies of them hold in memory at their end.
    """

    unread: int = 0
    resident: int = 0

    def __add__(self, other: "Work") -> "Work":
        return Work(self.unread + other.unread, self.resident + other.resident)

    def __sub__(self, other: "Work") -> "Work":
        return Work(self.unread - other.unread, self.resident - other.resident)

    def __bool__(self) -> bool:
        return bool(self.unread or self.resident)


class EntryReport(msgspec.Struct, frozen=True, kw_only=True):
    """What an entry VM tells a state replica, and up to what it knows.

    Attributes
    ----------
    version : int
        Version of the routing document in force there; 0 for none.
    wait_ms : int
        Time that the leader may wait for a newer version before it answers, in ms.
    work : dict
        Work of this VM's running requests on each backend server.
    down : tuple of BackendId
        Backend servers that this VM found down.
    """

    vm: VmId
    version: int
    wait_ms: int
    work: dict[BackendId, Work] = {}
    down: tuple[BackendId, ...] = ()


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
    work : dict
        Work of the other entry VMs' requests on each backend server.
    down : tuple of BackendId
        Backend servers that other entry VMs found down.
    wait_ms : int
        Time that the entry VM may let the next report wait, in ms.
    """

    fresh: bool
    version: int
    source: bytes = b""
    replicas: tuple[Address, ...] = ()
    work: dict[BackendId, Work] = {}
    down: tuple[BackendId, ...] = ()
    wait_ms: int = 500

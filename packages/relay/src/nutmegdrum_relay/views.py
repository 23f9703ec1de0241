"""Messages between entry VMs and state replicas about the routing document."""

import msgspec
from nutmegdrum.judging import Counts
from nutmegdrum.packing import unpack
from nutmegdrum.units import Address
from nutmegdrum_coord.ids import (
    BackendId,
    Fingerprint,
    IncarnationId,
    LogPosition,
    ServiceName,
    VersionName,
    VmId,
)

from nutmegdrum_relay.compressed import decompress
from nutmegdrum_relay.dialect import ListedBackend
from nutmegdrum_relay.documents import RouteName


class Work(msgspec.Struct, frozen=True, array_like=True):
    """Work of running requests on one backend server, in tokens.

    Attributes
    ----------
    unread : int
        Prompt tokens of requests that have not brought an event yet.
    resident : int
        Tokens that the requests and copies of them hold in memory at their end.
    copied : int
        Part of `resident` that copies hold, which delay nothing.
    """

    unread: int = 0
    resident: int = 0
    copied: int = 0

    def __add__(self, other: "Work") -> "Work":
        return Work(
            self.unread + other.unread,
            self.resident + other.resident,
            self.copied + other.copied,
        )

    def __sub__(self, other: "Work") -> "Work":
        return Work(
            self.unread - other.unread,
            self.resident - other.resident,
            self.copied - other.copied,
        )

    def __bool__(self) -> bool:
        return bool(self.unread or self.resident)


NO_WORK = Work()


class VersionShare(msgspec.Struct, frozen=True, array_like=True):
    """What versions of one service may get.

    Attributes
    ----------
    trial : VersionName
        Version under trial; empty for none.
    share_ppm : int
        Share of the service's requests for the version under trial, in parts per million.
    barred : tuple of VersionName
        Versions that get nothing.
    """

    service: ServiceName
    trial: VersionName = VersionName("")
    share_ppm: int = 0
    barred: tuple[VersionName, ...] = ()


class VersionShares(msgspec.Struct, frozen=True, array_like=True):
    """Shares of all services with a roll-out; a service that is not named has no bounds.

    Attributes
    ----------
    number : LogPosition
        Position of the last change in the log; 0 before the first one.
    """

    number: LogPosition = LogPosition(0)
    shares: tuple[VersionShare, ...] = ()


class VersionSample(Counts, kw_only=True):
    """What one version did on one route since the last report, while its service has a trial.

    The first token stands for a plain answer too.

    Attributes
    ----------
    version : VersionName
        Version under trial, or empty for all others.
    passed : dict
        Attempts that waited for their first event for as long as each wait mark, by its number,
        answered or not.
    answered : dict
        Attempts whose first event came, by the number of wait marks that they had passed.
    """

    service: ServiceName
    route: RouteName
    version: VersionName
    load_permille: int = 0
    passed: dict[int, int] = {}
    answered: dict[int, int] = {}


class CrashReport(msgspec.Struct, frozen=True, array_like=True):
    """Backend server that died under a request.

    Attributes
    ----------
    began_ms_ago, died_ms_ago : int
        Time from the attempt's beginning, and from its end, to the report, in ms.
    events : int
        Events that the attempt had brought.
    """

    fingerprint: Fingerprint
    backend: BackendId
    began_ms_ago: int
    died_ms_ago: int
    events: int = 0


class Quarantined(msgspec.Struct, frozen=True, array_like=True):
    """Request that is refused, and for how long, in ms."""

    fingerprint: Fingerprint
    remaining_ms: int


class RolloutQuery(msgspec.Struct, frozen=True, kw_only=True):
    """Question for a service's newest roll-out."""

    service: ServiceName


class EntryReport(msgspec.Struct, frozen=True, kw_only=True):
    """What an entry VM tells a state replica, and up to what it knows.

    Attributes
    ----------
    incarnation : IncarnationId
        Identity of the VM's start.
    number : int
        Rises with each report of a start, as reports may overtake each other.
    version : int
        Version of the routing document in force there; 0 for none.
    wait_ms : int
        Time that the leader may wait for a newer version before it answers, in ms.
    work : dict
        Work of this VM's running requests on each backend server.
    down : tuple of BackendId
        Backend servers that this VM found down.
    listing : str
        Name of the list of backend servers that this VM has from a replica; empty for none.
    asks_work : bool
        Whether the answer is to tell the other entry VMs' work, which is most of its bytes.
    shares : LogPosition
        Number of the version shares in force there.
    samples : tuple of VersionSample
        What versions under trial, and those beside them, did since the last report.
    crashes : tuple of CrashReport
        Backend servers that died under a request since the last report.
    cleared : tuple of Fingerprint
        Suspects that were run well since the last report.
    """

    vm: VmId
    incarnation: IncarnationId = IncarnationId("")
    number: int = 0
    version: int
    wait_ms: int
    work: dict[BackendId, Work] = {}
    down: tuple[BackendId, ...] = ()
    listing: str = ""
    asks_work: bool = False
    shares: LogPosition = LogPosition(0)
    samples: tuple[VersionSample, ...] = ()
    crashes: tuple[CrashReport, ...] = ()
    cleared: tuple[Fingerprint, ...] = ()


class SharedListing(msgspec.Struct, frozen=True, kw_only=True):
    """List of backend servers as the leader read it.

    Attributes
    ----------
    name : str
        Changes with each change of the list, and with each leader.
    age_ms : int
        Time since the leader read it, in ms.
    compressed : bytes or None
        The backend servers, packed and compressed; None if the entry VM has the list of this name.
    """

    name: str
    age_ms: int
    compressed: bytes | None

    @property
    def listed(self) -> tuple[ListedBackend, ...] | None:
        """Return the backend servers; None if the entry VM has the list of this name."""
        if self.compressed is None:
            return None
        return unpack(decompress(self.compressed), tuple[ListedBackend, ...])


class ControlView(msgspec.Struct, frozen=True, kw_only=True):
    """What a state replica answers.

    Attributes
    ----------
    fresh : bool
        Whether this replica leads and its lease held when it answered.
    compressed_source : bytes
        Newest document, compressed; empty if the entry VM has it.
    replicas : tuple of Address
        Peers' listeners of the log's members.
    work : dict or None
        Work of the other entry VMs' requests on each backend server; None if not asked for.
    down : tuple of BackendId
        Backend servers that other entry VMs found down.
    wait_ms : int
        Time that the entry VM may let the next report wait, in ms.
    listing : SharedListing or None
        None if the replica has none, as one that does not lead.
    shares : VersionShares or None
        None if the entry VM has these.
    quarantined : tuple of Quarantined
        Requests that are refused.
    suspects : tuple of Fingerprint
        Requests beside which more than one backend server has died; one that is run well is to be
        told.
    """

    fresh: bool
    version: int
    compressed_source: bytes = b""
    replicas: tuple[Address, ...] = ()
    work: dict[BackendId, Work] | None = None
    down: tuple[BackendId, ...] = ()
    wait_ms: int = 500
    listing: SharedListing | None = None
    shares: VersionShares | None = None
    quarantined: tuple[Quarantined, ...] = ()
    suspects: tuple[Fingerprint, ...] = ()

    @property
    def source(self) -> bytes:
        """Return the newest document; empty if the entry VM has it."""
        return decompress(self.compressed_source)

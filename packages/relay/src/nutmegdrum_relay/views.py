"""Messages that entry VMs and state replicas exchange: reports and views."""

import msgspec
from nutmegdrum.judging import Counts
from nutmegdrum.packing import unpack
from nutmegdrum.peer_directory import PeerAddress
from nutmegdrum.rate_limits import AnnouncedLimit
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
from nutmegdrum_scheduling.placement.paces import Paces, PaceSample
from nutmegdrum_scheduling.resends.leases import ResendCounts

from nutmegdrum_relay.compressed import decompress
from nutmegdrum_relay.dialect import ListedBackend
from nutmegdrum_relay.documents import RouteName


class Work(msgspec.Struct, frozen=True, array_like=True):
    """Work of running requests on one backend server, in tokens.

    Attributes
    ----------
    unread : int
        Prompt tokens of requests without a first event yet (pending prefill).
    resident : int
        KV cache tokens that the requests, and copies of their runs, occupy at their end.
    copied : int
        Part of `resident` that belongs to copies, which do not delay other requests.
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
    """Limits on the traffic of one service's versions.

    Attributes
    ----------
    trial : VersionName
        Version under trial; empty for none.
    share_ppm : int
        Share of the service's requests for the version under trial, in parts per million.
    barred : tuple of VersionName
        Versions that get no requests.
    """

    service: ServiceName
    trial: VersionName = VersionName("")
    share_ppm: int = 0
    barred: tuple[VersionName, ...] = ()


class VersionShares(msgspec.Struct, frozen=True, array_like=True):
    """Shares of all services with a rollout; other services have no limits.

    Attributes
    ----------
    number : LogPosition
        Log position of the last change; 0 before the first one.
    """

    number: LogPosition = LogPosition(0)
    shares: tuple[VersionShare, ...] = ()


class VersionSample(Counts, kw_only=True):
    """Outcomes of one version on one route since the last report, during a trial of its service.

    For a plain answer, the whole answer counts as the first token.

    Attributes
    ----------
    version : VersionName
        Version under trial, or empty for all other versions together.
    passed : dict
        Attempts that waited for their first event at least until a wait mark, by the mark's number,
        whether answered or censored.
    answered : dict
        Attempts whose first event arrived, by the number of wait marks that they had passed.
    batch : int
        Number of the report in which an entry VM first sent it, so that repeats are recognized;
        0 from an older build, which repeats none.
    earlier : bool
        Whether an earlier leader had it already.
    """

    service: ServiceName
    route: RouteName
    version: VersionName
    load_permille: int = 0
    passed: dict[int, int] = {}
    answered: dict[int, int] = {}
    batch: int = 0
    earlier: bool = False


class CrashReport(msgspec.Struct, frozen=True, array_like=True):
    """Crash of a backend server while it ran a request.

    Attributes
    ----------
    began_ms_ago, died_ms_ago : int
        Time from the start of the attempt, and from its end, to the report, in ms.
    events : int
        Events of the attempt that arrived before the crash.
    parts : tuple of Fingerprint
        Shared parts of the prompt, if the answer was just beginning.
    """

    fingerprint: Fingerprint
    backend: BackendId
    began_ms_ago: int
    died_ms_ago: int
    events: int = 0
    parts: tuple[Fingerprint, ...] = ()


class SoundPart(msgspec.Struct, frozen=True, array_like=True):
    """Part of prompts, and the time in ms since a request with it got past its beginning."""

    part: Fingerprint
    ms_ago: int


class Quarantined(msgspec.Struct, frozen=True, array_like=True):
    """Quarantined request, and the remaining time of its quarantine in ms."""

    fingerprint: Fingerprint
    remaining_ms: int


class RolloutQuery(msgspec.Struct, frozen=True, kw_only=True):
    """Query for the newest rollout of a service."""

    service: ServiceName


class EntryReport(msgspec.Struct, frozen=True, kw_only=True):
    """Report of an entry VM to a state replica: its state, and which versions it already has.

    Attributes
    ----------
    incarnation : IncarnationId
        Id of the VM's process start.
    number : int
        Sequence number within the incarnation, since reports may be reordered.
    version : int
        Version of the VM's routing document; 0 for none.
    wait_ms : int
        Time in ms that the leader may wait for a newer version before it answers.
    work : dict
        Work of this VM's running requests by backend server.
    down : tuple of BackendId
        Backend servers that this VM found down.
    listing : str
        Name of the list of backend servers that this VM has from a replica; empty for none.
    asks_work : bool
        Whether the answer includes the other entry VMs' work, which is most of its bytes.
    places : bool
        Whether a generation is placed by this answer.
    shares : LogPosition
        Number of the VM's version shares.
    samples : tuple of VersionSample
        Outcomes of the versions of services with a trial, since the last report.
    crashes : tuple of CrashReport
        Crashes of backend servers since the last report.
    cleared : tuple of Fingerprint
        Suspects that succeeded since the last report.
    sound_parts : tuple of SoundPart
        Suspected parts of prompts with sound starts since the last report.
    limits : dict
        Rate limits of backend servers that this VM knows.
    takes_requests_at : Address or None
        Address for requests that other entry VMs pass on; None if this VM cannot serve them.
    resends : dict
        Requests and resends by service; empty from a VM that knows no fleet-wide retry budget.
    entry_vms : int
        Number of entry VMs as a leader has told it last; 0 if unknown.
    pace_samples : tuple of PaceSample
        Measured times of requests since the last report that asked for work.
    paces : int
        Number of the servers' paces that this VM has; 0 to be told all.
    repeated_paces : dict
        Paces in percent by backend server that another leader told, for a new one.
    queued : dict
        Numbers of requests that wait for capacity, by service, and by rank of their priority.
    asked : dict
        Requests to services with several priorities since the last report, by service.
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
    places: bool = False
    shares: LogPosition = LogPosition(0)
    samples: tuple[VersionSample, ...] = ()
    crashes: tuple[CrashReport, ...] = ()
    cleared: tuple[Fingerprint, ...] = ()
    sound_parts: tuple[SoundPart, ...] = ()
    limits: dict[BackendId, AnnouncedLimit] = {}
    takes_requests_at: Address | None = None
    resends: dict[ServiceName, ResendCounts] = {}
    entry_vms: int = 0
    pace_samples: tuple[PaceSample, ...] = ()
    paces: int = 0
    repeated_paces: dict[BackendId, int] = {}
    queued: dict[ServiceName, tuple[int, ...]] = {}
    asked: dict[ServiceName, int] = {}


class SharedListing(msgspec.Struct, frozen=True, kw_only=True):
    """List of backend servers, as the leader read it from the platform.

    Attributes
    ----------
    name : str
        Identifies the content; changes with the list and with the leader.
    age_ms : int
        Time since the leader read it, in ms.
    compressed : bytes or None
        The backend servers, packed and compressed; None if the entry VM has this list.
    """

    name: str
    age_ms: int
    compressed: bytes | None

    @property
    def listed(self) -> tuple[ListedBackend, ...] | None:
        """Return the backend servers; None if the entry VM has this list."""
        if self.compressed is None:
            return None
        return unpack(decompress(self.compressed), tuple[ListedBackend, ...])


class ControlView(msgspec.Struct, frozen=True, kw_only=True):
    """Answer of a state replica to a report.

    Attributes
    ----------
    fresh : bool
        Whether this replica was the leader and its lease was valid when it answered.
    compressed_source : bytes
        Newest document, compressed; empty if the entry VM has it.
    replicas : tuple of Address
        Peer addresses of the log's members.
    work : dict or None
        Work of the other entry VMs' requests by backend server; None if the report does not ask.
    placing : int
        Generations that other entry VMs are placing, whose work is not known yet.
    down : tuple of BackendId
        Backend servers that other entry VMs found down.
    wait_ms : int
        Long-poll time in ms that the entry VM should set in its next report.
    listing : SharedListing or None
        None if the replica has none, for instance because it is not the leader.
    shares : VersionShares or None
        None if the entry VM is up to date.
    quarantined : tuple of Quarantined
        Requests to refuse.
    suspects : tuple of Fingerprint
        Requests during which more than one backend server has crashed; entry VMs report when one
        of them succeeds.
    suspect_parts : tuple of Fingerprint
        Parts of prompts during whose requests backend servers have crashed; entry VMs report
        sound starts of these.
    limits : dict
        Rate limits of backend servers that any entry VM knows.
    entry_vms : int
        Number of entry VMs that report; 0 if unknown.
    peers : tuple of PeerAddress
        Some other entry VMs that take requests, drawn at random.
    queued : dict
        Numbers of requests that wait for capacity at the other entry VMs, by service and rank.
    capacity_shares : dict
        This VM's share of each service's capacity in ppm, for while no leader answers.
    evidence : str
        Identifies the evidence on rollouts that the leader has collected; another leader starts
        with none. Empty from an older build.
    leases : dict or None
        Sums up to which the entry VM may use leased permits to send again, by service; None from a
        leader without a fleet-wide retry budget.
    paces : Paces or None
        Paces of the servers that differ from the usual one; None if the entry VM has them, or the
        report does not ask for work.
    """

    fresh: bool
    version: int
    compressed_source: bytes = b""
    replicas: tuple[Address, ...] = ()
    work: dict[BackendId, Work] | None = None
    placing: int = 0
    down: tuple[BackendId, ...] = ()
    wait_ms: int = 500
    listing: SharedListing | None = None
    shares: VersionShares | None = None
    quarantined: tuple[Quarantined, ...] = ()
    suspects: tuple[Fingerprint, ...] = ()
    suspect_parts: tuple[Fingerprint, ...] = ()
    limits: dict[BackendId, AnnouncedLimit] = {}
    entry_vms: int = 0
    peers: tuple[PeerAddress, ...] = ()
    evidence: str = ""
    leases: dict[ServiceName, int] | None = None
    paces: Paces | None = None
    queued: dict[ServiceName, tuple[int, ...]] = {}
    capacity_shares: dict[ServiceName, int] = {}

    @property
    def source(self) -> bytes:
        """Return the newest document; empty if the entry VM has it."""
        return decompress(self.compressed_source)

"""Messages between entry VMs and the state leader: views, heartbeats and their answers."""

import msgspec
from nutmegdrum_coord.ids import (
    AdapterName,
    BackendId,
    DataCentre,
    Fingerprint,
    IncarnationId,
    LogPosition,
    ModelName,
    NoteNumber,
    RouteName,
    ServiceName,
    VersionName,
    VmId,
    WorkspaceId,
)

from nutmegdrum.messages import LoadedVersion
from nutmegdrum.peer_directory import PeerAddress
from nutmegdrum.rate_limits import AnnouncedLimit
from nutmegdrum.service_tally import ServiceCounts
from nutmegdrum.units import Address


class TrialView(msgspec.Struct, frozen=True, kw_only=True):
    """Version under trial and its share of traffic.

    Attributes
    ----------
    share_ppm : int
        Share of each route's traffic, in parts per million.
    grant_ms : int
        Time in ms after receipt during which the share is valid; renewed by each heartbeat.
    """

    version: VersionName
    share_ppm: int
    grant_ms: int


class ModelView(msgspec.Struct, frozen=True, kw_only=True):
    """Versions of one model or plain service that may get traffic.

    Attributes
    ----------
    settled : VersionName
        Version that is always safe to use; empty for a plain service that no note has changed.
    adapters : list of AdapterName
        Adapters that callers may request.
    """

    name: ModelName
    service: ServiceName
    settled: VersionName
    trial: TrialView | None = None
    adapters: list[AdapterName] = []


class BackendView(msgspec.Struct, frozen=True, kw_only=True):
    """Backend server as known to the state replicas."""

    id: BackendId
    address: Address
    service: ServiceName
    data_centre: DataCentre
    leaving: bool = False
    loaded: list[LoadedVersion] = []


class QuarantineView(msgspec.Struct, frozen=True, kw_only=True):
    """Request that is quarantined because it crashes backend servers."""

    fingerprint: Fingerprint
    remaining_ms: int


class View(msgspec.Struct, frozen=True, kw_only=True):
    """Everything that an entry VM needs for routing, as of one log position.

    Attributes
    ----------
    generation : int
        Number that increases with each change of the other fields.
    suspects : list of Fingerprint
        Requests whose next attempt must run in isolation.
    suspect_parts : list of Fingerprint
        Parts of prompts of which entry VMs report sound starts.
    knows_leaving : bool
        Whether the leader knows which backend servers are leaving; false until it has read the
        live list.
    """

    position: LogPosition
    generation: int
    note: NoteNumber
    models: list[ModelView] = []
    backends: list[BackendView] = []
    quarantines: list[QuarantineView] = []
    suspects: list[Fingerprint] = []
    suspect_parts: list[Fingerprint] = []
    knows_leaving: bool = True


class RouteSample(msgspec.Struct, frozen=True, kw_only=True):
    """Counts of one version on one route since the last report.

    Attributes
    ----------
    first_token_ms, token_gap_ms : list of int
        Latency samples in ms, a few of each per report.
    """

    model: ModelName
    version: VersionName
    route: RouteName
    requests: int = 0
    errors: int = 0
    crashes: int = 0
    truncated: int = 0
    wrong: int = 0
    load_permille: int = 0
    first_token_ms: list[int] = []
    token_gap_ms: list[int] = []


class WorkspaceUse(msgspec.Struct, frozen=True, kw_only=True):
    """Usage of one workspace on one entry VM since the last report."""

    workspace: WorkspaceId
    requests: int
    tokens: int
    streams: int


class VersionUse(msgspec.Struct, frozen=True, kw_only=True):
    """Number of requests that run on a version, with an adapter or none, from one entry VM."""

    version: LoadedVersion
    running: int


class TrialTrip(msgspec.Struct, frozen=True, kw_only=True):
    """Trial that an entry VM stopped on its own, and the fault that it observed."""

    model: ModelName
    version: VersionName
    route: RouteName
    why: str


class HeartbeatReport(msgspec.Struct, frozen=True, kw_only=True):
    """Periodic report of an entry VM.

    Attributes
    ----------
    generation : int
        Generation of the view in force on this VM.
    suspected : list of BackendId
        Backend servers that this VM lost contact with.
    suspects : list of Fingerprint
        Requests whose isolated attempt crashed a backend server.
    running : list of VersionUse or None
        Requests running from this VM by version; None if this VM does not count them.
    service : dict
        Counts of outcomes for callers by workspace, since this start of the daemon.
    trips : list of TrialTrip
        Trials that this VM stopped since the last report.
    limits : dict
        Rate limits of backend servers that this VM knows.
    takes_calls_at : Address or None
        Address for plain calls that other entry VMs pass on; None if this VM takes none.
    """

    vm: VmId
    incarnation: IncarnationId
    generation: int
    note: NoteNumber
    ready: bool
    suspected: list[BackendId] = []
    suspects: list[Fingerprint] = []
    samples: list[RouteSample] = []
    use: list[WorkspaceUse] = []
    running: list[VersionUse] | None = None
    service: dict[WorkspaceId, ServiceCounts] = {}
    trips: list[TrialTrip] = []
    limits: dict[BackendId, AnnouncedLimit] = {}
    takes_calls_at: Address | None = None


class BackendLoad(msgspec.Struct, frozen=True, kw_only=True):
    """Load of one backend server, from its newest report."""

    id: BackendId
    sequence: int
    running: int
    queued: int
    slots: int
    role: str = "serve"


class HeartbeatAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to a heartbeat.

    Attributes
    ----------
    fresh : bool
        Whether the sender leads with a valid lease, so that grants are renewed.
    lease_ms : int
        Time for which the answer stays fresh, from the sending of the heartbeat, in ms.
    view : View or None
        New view, or None if the reported generation is current.
    shares : dict
        Share of each workspace's limit that this VM may use, in parts per million.
    loads : list of BackendLoad
        Loads that changed since the previous answer.
    limits : dict
        Rate limits of backend servers that any entry VM knows.
    peers : tuple of PeerAddress
        Some other entry VMs that take calls.
    """

    fresh: bool
    lease_ms: int
    view: View | None = None
    shares: dict[WorkspaceId, int] = {}
    loads: list[BackendLoad] = []
    limits: dict[BackendId, AnnouncedLimit] = {}
    peers: tuple[PeerAddress, ...] = ()

"""Operators' queries and their answers, as msgpack with the type's name as tag."""

import msgspec
from nutmegdrum_coord.claims import ClaimAnswer, ClaimKey
from nutmegdrum_coord.clock import WallMs
from nutmegdrum_coord.ids import (
    BackendId,
    DataCentre,
    FencingNumber,
    IncarnationId,
    LogPosition,
    ModelName,
    NoteNumber,
    OrderId,
    ServiceName,
    VersionName,
    VmId,
    WorkspaceId,
)
from nutmegdrum_coord.parts import AuditEvent

from nutmegdrum.moves import MoveId


class Query(msgspec.Struct, frozen=True, tag=True, kw_only=True):
    """Base of all queries."""


class QueryAnswer(msgspec.Struct, frozen=True, tag=True, kw_only=True):
    """Base of all answers to queries."""


class NoteShow(Query, frozen=True, kw_only=True):
    """Ask for one accepted note, the newest if `number` is None."""

    number: NoteNumber | None = None


class NoteHistory(Query, frozen=True, kw_only=True):
    """Ask for all accepted notes."""


class Report(Query, frozen=True, kw_only=True):
    """Ask whether targets held.

    Attributes
    ----------
    note : NoteNumber or None
        Only this note's moves.
    since_ms, until_ms : WallMs or None
        Only notes accepted in this time, in ms since the Unix epoch.
    workspace : WorkspaceId or None
        Only this workspace's refusals and streams.
    """

    note: NoteNumber | None = None
    since_ms: WallMs | None = None
    until_ms: WallMs | None = None
    workspace: WorkspaceId | None = None


class AuditQuery(Query, frozen=True, kw_only=True):
    """Ask for the audit trail after a log position, at most `limit` events."""

    after: LogPosition = LogPosition(0)
    limit: int = 10_000
    subject: str = ""


class VmsQuery(Query, frozen=True, kw_only=True):
    """Ask for entry VMs and backend servers."""


class StateQuery(Query, frozen=True, kw_only=True):
    """Ask for models, moves and open orders."""


class ClaimQuery(Query, frozen=True, kw_only=True):
    """Ask what is known of a non-idempotent request.

    Attributes
    ----------
    token : str
        The asker's own attempt, which is left out.
    """

    key: ClaimKey
    digest: bytes
    token: str


class NoteSummary(msgspec.Struct, frozen=True, kw_only=True):
    """One accepted note."""

    number: NoteNumber
    operator: str
    accepted: WallMs
    position: LogPosition


class NoteFound(QueryAnswer, frozen=True, kw_only=True):
    """One accepted note and its document; `summary` is None if there is no such note."""

    summary: NoteSummary | None = None
    note: bytes = b""


class ClaimKnown(QueryAnswer, frozen=True, kw_only=True):
    """What one replica knows of a non-idempotent request.

    Attributes
    ----------
    age_ms : int or None
        What was committed before this time has reached the replica, in ms before its answer; None
        if it can't tell.
    """

    answer: ClaimAnswer
    age_ms: int | None = None


class NoteList(QueryAnswer, frozen=True, kw_only=True):
    """Accepted notes in the order of acceptance."""

    notes: list[NoteSummary]


class MoveReport(msgspec.Struct, frozen=True, kw_only=True):
    """One move with its times, in ms since the Unix epoch."""

    id: MoveId
    note: NoteNumber
    kind: str
    subject: str
    version: VersionName
    state: str
    share_ppm: int
    complete_by: WallMs
    completed: WallMs | None
    ended: WallMs | None
    predicted: WallMs | None
    late: bool
    reason: str


class Unacknowledged(msgspec.Struct, frozen=True, kw_only=True):
    """Entry VM on which the newest note is not in force, and why."""

    vm: VmId
    note: NoteNumber
    why: str


class ServiceReport(msgspec.Struct, frozen=True, kw_only=True):
    """What callers of one workspace got.

    Attributes
    ----------
    refused : dict
        Refusals by verdict.
    resume_p50_ms, resume_p99_ms : int or None
        Upper bounds in ms of the classes that hold these percentiles of resume latency.
    prefilled : int
        Tokens that engines computed again for resumed streams: the cost of recovery.
    """

    workspace: WorkspaceId
    finished: int
    refused: dict[str, int]
    resumed: int
    resume_p50_ms: int | None
    resume_p99_ms: int | None
    prefilled: int


class ReportAnswer(QueryAnswer, frozen=True, kw_only=True):
    """Whether targets held.

    Attributes
    ----------
    done, done_late, open, open_late, taken_back : int
        Numbers of moves; `open_late` counts those past their time or predicted to be.
    """

    newest: NoteNumber
    done: int
    done_late: int
    open: int
    open_late: int
    taken_back: int
    moves: list[MoveReport]
    unacknowledged: list[Unacknowledged]
    service: list[ServiceReport]


class AuditAnswer(QueryAnswer, frozen=True, kw_only=True):
    """Events of the audit trail, and whether there are more after the last one."""

    events: list[AuditEvent]
    more: bool


class EntryVmStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Entry VM as the state leader sees it."""

    vm: VmId
    heard_ms_ago: int | None
    note: NoteNumber
    generation: int
    ready: bool


class BackendStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Backend server as the state leader sees it."""

    id: BackendId
    service: ServiceName
    data_centre: DataCentre
    state: str
    running: int
    slots: int
    loaded: list[str]


class VmsAnswer(QueryAnswer, frozen=True, kw_only=True):
    """Entry VMs and backend servers."""

    entry_vms: list[EntryVmStatus]
    backend_servers: list[BackendStatus]


class ModelStatus(msgspec.Struct, frozen=True, kw_only=True):
    """One model or plain service in force."""

    name: ModelName
    service: ServiceName
    settled: VersionName
    serving: bool
    adapters: list[str]


class OrderStatusLine(msgspec.Struct, frozen=True, kw_only=True):
    """One open order."""

    id: OrderId
    backend: BackendId
    fencing: int
    what: str


class MemberStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Member of the replicated log; one that does not vote is catching up."""

    vm: VmId
    incarnation: IncarnationId
    votes: bool


class StateAnswer(QueryAnswer, frozen=True, kw_only=True):
    """State as of one log position."""

    leader: VmId = VmId("")
    term: FencingNumber = FencingNumber(0)
    members: list[MemberStatus] = []
    position: LogPosition
    newest: NoteNumber
    models: list[ModelStatus]
    moves: list[MoveReport]
    orders: list[OrderStatusLine]


AnyQuery = NoteShow | NoteHistory | Report | AuditQuery | VmsQuery | StateQuery | ClaimQuery
AnyAnswer = NoteFound | NoteList | ReportAnswer | AuditAnswer | VmsAnswer | StateAnswer | ClaimKnown

encode_query = msgspec.msgpack.Encoder().encode
decode_query = msgspec.msgpack.Decoder(AnyQuery).decode
decode_query_answer = msgspec.msgpack.Decoder(AnyAnswer).decode

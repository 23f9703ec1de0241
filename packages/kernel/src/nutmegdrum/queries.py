"""Operators' queries and their answers; encoded as msgpack with the type's name as tag."""

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
    """Query one accepted note, the newest if `number` is None."""

    number: NoteNumber | None = None


class NoteHistory(Query, frozen=True, kw_only=True):
    """Query all accepted notes."""


class Report(Query, frozen=True, kw_only=True):
    """Query whether targets were met.

    Attributes
    ----------
    note : NoteNumber or None
        Only this note's moves.
    since_ms, until_ms : WallMs or None
        Only notes accepted in this period, in ms since the Unix epoch.
    workspace : WorkspaceId or None
        Only the refusals and streams of this workspace.
    """

    note: NoteNumber | None = None
    since_ms: WallMs | None = None
    until_ms: WallMs | None = None
    workspace: WorkspaceId | None = None


class AuditQuery(Query, frozen=True, kw_only=True):
    """Query the audit trail after a log position, about `limit` events at most.

    Events of the same log position are never split between two answers.
    """

    after: LogPosition = LogPosition(0)
    limit: int = 10_000
    subject: str = ""


class VmsQuery(Query, frozen=True, kw_only=True):
    """Query entry VMs and backend servers."""


class StateQuery(Query, frozen=True, kw_only=True):
    """Query models, moves and open orders."""


class ClaimQuery(Query, frozen=True, kw_only=True):
    """Query what a replica knows about a non-idempotent request.

    Attributes
    ----------
    token : str
        Token of the sender's own attempt, which is ignored.
    """

    key: ClaimKey
    digest: bytes
    token: str


class NoteSummary(msgspec.Struct, frozen=True, kw_only=True):
    """Metadata of an accepted note."""

    number: NoteNumber
    operator: str
    accepted: WallMs
    position: LogPosition


class NoteFound(QueryAnswer, frozen=True, kw_only=True):
    """Accepted note with its document; `summary` is None if there is no such note."""

    summary: NoteSummary | None = None
    note: bytes = b""


class ClaimKnown(QueryAnswer, frozen=True, kw_only=True):
    """Knowledge of one replica about a non-idempotent request.

    Attributes
    ----------
    age_ms : int or None
        Age of the replica's knowledge in ms: it holds all entries committed longer ago than this.
        None if unknown.
    """

    answer: ClaimAnswer
    age_ms: int | None = None


class NoteList(QueryAnswer, frozen=True, kw_only=True):
    """Accepted notes in order of acceptance."""

    notes: list[NoteSummary]


class MoveReport(msgspec.Struct, frozen=True, kw_only=True):
    """Status of a move; times are in ms since the Unix epoch."""

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
    """Entry VM on which the newest note is not in force, with the reason."""

    vm: VmId
    note: NoteNumber
    why: str


class ServiceReport(msgspec.Struct, frozen=True, kw_only=True):
    """Outcomes for the callers of one workspace.

    Attributes
    ----------
    refused : dict
        Refusals by verdict.
    resume_p50_ms, resume_p99_ms : int or None
        Upper bounds in ms of the buckets that contain these percentiles of resume latency.
    prefilled : int
        Tokens that engines prefilled again for resumed streams, as the cost of recovery.
    """

    workspace: WorkspaceId
    finished: int
    refused: dict[str, int]
    resumed: int
    resume_p50_ms: int | None
    resume_p99_ms: int | None
    prefilled: int


class ReportAnswer(QueryAnswer, frozen=True, kw_only=True):
    """Whether targets were met.

    Attributes
    ----------
    done, done_late, open, open_late, taken_back : int
        Numbers of moves; `open_late` counts those past their deadline or predicted to miss it.
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
    """Events of the audit trail, and whether more follow."""

    events: list[AuditEvent]
    more: bool


class EntryVmStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Status of an entry VM on the state leader."""

    vm: VmId
    heard_ms_ago: int | None
    note: NoteNumber
    generation: int
    ready: bool


class BackendStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Status of a backend server on the state leader."""

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
    """Status of a model or plain service."""

    name: ModelName
    service: ServiceName
    settled: VersionName
    serving: bool
    adapters: list[str]


class OrderStatusLine(msgspec.Struct, frozen=True, kw_only=True):
    """Status of an open order."""

    id: OrderId
    backend: BackendId
    fencing: int
    what: str


class MemberStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Member of the replicated log; a learner that catches up does not vote."""

    vm: VmId
    incarnation: IncarnationId
    votes: bool


class StateAnswer(QueryAnswer, frozen=True, kw_only=True):
    """Replicated state as of one log position."""

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

"""Answers to operators' queries, from the replicated state and what the leader observes."""

from nutmegdrum_coord.clock import ElapsedMs, WallMs
from nutmegdrum_coord.ids import VmId
from nutmegdrum_coord.parts import CompositeState

from nutmegdrum import queries as q
from nutmegdrum.fleet import Fleet, FleetMember
from nutmegdrum.moves import Move, MoveState
from nutmegdrum.observed import EntryVmObservation
from nutmegdrum.orders import Orders, describe, format_version
from nutmegdrum.releases import NoteRecord, Releases
from nutmegdrum.service_log import ServiceLog


class LeaderObservations:
    """What the state leader observes and the log does not hold.

    Parameters
    ----------
    fleet : Fleet
        Backend servers.
    entries : dict
        Entry VMs by id.
    now_ms : ElapsedMs
        The leader's monotonic time.
    wall_ms : WallMs
        The leader's wall time.
    """

    def __init__(
        self,
        fleet: Fleet,
        entries: dict[VmId, EntryVmObservation],
        now_ms: ElapsedMs,
        wall_ms: WallMs,
    ):
        self.fleet = fleet
        self.entries = entries
        self.now_ms = now_ms
        self.wall_ms = wall_ms


def answer_query(
    state: CompositeState, observed: LeaderObservations, query: q.Query
) -> q.QueryAnswer:
    """Return the answer to `query`."""
    releases: Releases = state.parts[Releases.name]
    if isinstance(query, q.NoteShow):
        return _show_note(releases, query)
    if isinstance(query, q.NoteHistory):
        return q.NoteList(notes=[_summary(record) for record in releases.notes.values()])
    if isinstance(query, q.Report):
        return _report(state, releases, observed, query)
    if isinstance(query, q.AuditQuery):
        return _audit(state, query)
    if isinstance(query, q.VmsQuery):
        return _vms(observed)
    return _state(state, releases, observed)


def _show_note(releases: Releases, query: q.NoteShow) -> q.NoteFound:
    number = releases.newest if query.number is None else query.number
    record = releases.notes.get(number)
    if record is None:
        return q.NoteFound()
    return q.NoteFound(summary=_summary(record), note=record.note)


def _summary(record: NoteRecord) -> q.NoteSummary:
    return q.NoteSummary(
        number=record.number,
        operator=record.operator,
        accepted=record.accepted,
        position=record.position,
    )


def _report(
    state: CompositeState, releases: Releases, observed: LeaderObservations, query: q.Report
) -> q.ReportAnswer:
    moves = [move for move in releases.moves.values() if _matches(move, query)]
    done = [move for move in moves if move.completed is not None]
    unfinished = [move for move in moves if not move.terminal and move.completed is None]
    wall_ms = observed.wall_ms
    return q.ReportAnswer(
        newest=releases.newest,
        done=len(done),
        done_late=sum(move.late(wall_ms) for move in done),
        open=len(unfinished),
        open_late=sum(move.late(wall_ms) or move.predicted is not None for move in unfinished),
        taken_back=sum(move.state is MoveState.ROLLED_BACK for move in moves),
        moves=[report_move(move, wall_ms) for move in moves],
        unacknowledged=unacknowledged(releases, observed),
        service=_service(state, releases, query),
    )


def _service(state: CompositeState, releases: Releases, query: q.Report) -> list[q.ServiceReport]:
    log: ServiceLog = state.parts[ServiceLog.name]
    since_ms = query.since_ms
    record = None if query.note is None else releases.notes.get(query.note)
    if record is not None and since_ms is None:
        since_ms = record.accepted
    totals = log.between(since_ms, query.until_ms, query.workspace)
    return [
        q.ServiceReport(
            workspace=name,
            finished=counts.finished,
            refused={verdict.value: count for verdict, count in counts.refused.items()},
            resumed=sum(counts.resume_classes),
            resume_p50_ms=counts.resume_percentile_ms(50),
            resume_p99_ms=counts.resume_percentile_ms(99),
            prefilled=counts.prefilled,
        )
        for name, counts in sorted(totals.items())
    ]


def _matches(move: Move, query: q.Report) -> bool:
    if query.note is not None and move.note != query.note:
        return False
    if query.since_ms is not None and move.accepted < query.since_ms:
        return False
    return query.until_ms is None or move.accepted < query.until_ms


def report_move(move: Move, wall_ms: WallMs) -> q.MoveReport:
    """Return `move` as reports show it at `wall_ms`."""
    return q.MoveReport(
        id=move.id,
        note=move.note,
        kind=move.kind.value,
        subject=f"{move.model}/{move.adapter}" if move.adapter else move.model,
        version=move.version,
        state=move.state.value,
        share_ppm=move.share_ppm,
        complete_by=move.complete_by,
        completed=move.completed,
        ended=move.ended,
        predicted=move.predicted,
        late=move.late(wall_ms),
        reason=move.reason,
    )


def unacknowledged(releases: Releases, observed: LeaderObservations) -> list[q.Unacknowledged]:
    """Return the entry VMs on which the newest note is not in force, and why."""
    missing = []
    for vm, entry in sorted(observed.entries.items()):
        why = entry.behind(observed.now_ms, releases.newest)
        if why:
            missing.append(q.Unacknowledged(vm=vm, note=entry.note, why=why))
    return missing


def _audit(state: CompositeState, query: q.AuditQuery) -> q.AuditAnswer:
    events = [
        event
        for event in state.audit
        if event.position > query.after and query.subject in ("", event.subject)
    ]
    cut = min(len(events), max(1, query.limit))
    while 0 < cut < len(events) and events[cut].position == events[cut - 1].position:
        cut += 1
    return q.AuditAnswer(events=events[:cut], more=cut < len(events))


def _vms(observed: LeaderObservations) -> q.VmsAnswer:
    return q.VmsAnswer(
        entry_vms=[
            entry.status(vm, observed.now_ms) for vm, entry in sorted(observed.entries.items())
        ],
        backend_servers=[
            _backend(member, observed.now_ms)
            for _, member in sorted(observed.fleet.members.items())
        ],
    )


def _backend(member: FleetMember, now_ms: ElapsedMs) -> q.BackendStatus:
    report = member.report
    return q.BackendStatus(
        id=member.cfg.id,
        service=member.cfg.service,
        data_centre=member.cfg.data_centre,
        state=_backend_state(member, now_ms),
        running=0 if report is None else report.running,
        slots=0 if report is None else report.slots,
        loaded=[format_version(version) for version in member.loaded],
    )


def _backend_state(member: FleetMember, now_ms: ElapsedMs) -> str:
    if member.gone:
        return "gone"
    if member.leaving:
        return "leaving"
    return "live" if member.reachable(now_ms) else "silent"


def _state(
    state: CompositeState, releases: Releases, observed: LeaderObservations
) -> q.StateAnswer:
    orders: Orders = state.parts[Orders.name]
    return q.StateAnswer(
        position=state.position,
        newest=releases.newest,
        models=[
            q.ModelStatus(
                name=model.name,
                service=model.service,
                settled=model.settled,
                serving=model.serving,
                adapters=list(model.adapters),
            )
            for model in releases.models.values()
        ],
        moves=[report_move(move, observed.wall_ms) for move in releases.open_moves()],
        orders=[
            q.OrderStatusLine(
                id=entry.order.id,
                backend=entry.backend,
                fencing=entry.order.fencing,
                what=describe(entry.order),
            )
            for entry in orders.open.values()
        ],
    )

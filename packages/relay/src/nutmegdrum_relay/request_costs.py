"""Expected cost of requests, and what complete ones tell of it and of their servers' paces."""

from nutmegdrum_coord.clock import Clock, Duration
from nutmegdrum_coord.ids import WorkspaceId
from nutmegdrum_scheduling.placement.choice import Demand
from nutmegdrum_scheduling.placement.expected import Asked, ExpectedOutputs, ExpectedTimes
from nutmegdrum_scheduling.placement.paces import PaceSample, log_time
from nutmegdrum_scheduling.placement.stream_pace import StreamPace
from prometheus_client import Counter

from nutmegdrum_relay.attempt import Attempt
from nutmegdrum_relay.backends import Backend, Backends
from nutmegdrum_relay.dialect import RequestTerms
from nutmegdrum_relay.documents import Route, RouteKind
from nutmegdrum_relay.pending_request import PendingRequest

SAMPLES = Counter("nutmegdrum_pace_samples", "Measured times of requests", ["measurement"])

_OK = 200


class RequestCosts:
    """Expected costs by route and workspace, and samples of servers' paces; thread-safe."""

    def __init__(self, clock: Clock, backends: Backends):
        self._clock = clock
        self._paces = backends.paces
        self._outputs = ExpectedOutputs()
        self._times = ExpectedTimes()

    def demand(self, route: Route, workspace: WorkspaceId | None, terms: RequestTerms) -> Demand:
        """Return the expected cost of a request."""
        return Demand(
            terms.prompt_tokens,
            terms.output_tokens,
            self._outputs.tokens(route.name, workspace, _asked(terms)),
            Duration(0) if terms.prompt_tokens else self._times.time(route.name),
        )

    def begin_pace(self, pending: PendingRequest, backend: Backend) -> StreamPace:
        """Return the measurement of a stream's pace, by what is known to run beside it.

        The tokens there are counted as streams of this one's size, but no more than a server runs
        at once; none is counted at a server with unknown slots.
        """
        work = backend.total_work()
        tokens = pending.demand.tokens
        beside = max(0, work.resident - work.copied) / tokens if tokens else 0.0
        beside = min(beside, max(0, backend.slots - 1))
        return StreamPace(beside, alone=not work.unread, warming_up=backend.warming_up)

    def record(self, pending: PendingRequest, attempt: Attempt) -> None:
        """Record a complete answer."""
        if attempt.answer.status != _OK or attempt.backend.is_entry_vm:
            return
        took = Duration(self._clock.elapsed_ms() - attempt.sent_ms)
        whole = pending.sends == 1 and not pending.terms.last_event_id
        # Its times while it warms up say nothing about its usual pace.
        warm = not (attempt.pace.warming_up or attempt.backend.warming_up)
        if pending.route.kind is not RouteKind.STREAM:
            if warm:
                self._times.record(pending.route.name, took)
                self._add(pending, attempt.backend, "plain", float(took))
            return
        if whole:
            asked = _asked(pending.terms)
            self._outputs.record(pending.route.name, pending.workspace, asked, attempt.events)
        if not warm:
            return
        event_ms = attempt.pace.event_time()
        if event_ms is not None:
            self._add(pending, attempt.backend, "event", event_ms)
        elif whole and attempt.pace.alone and attempt.first_data_ms is not None:
            wait_ms = attempt.first_data_ms - attempt.sent_ms
            prompt = pending.demand.prompt_tokens
            self._add(pending, attempt.backend, "prefill", wait_ms / prompt if prompt else 0.0)

    def _add(self, pending: PendingRequest, backend: Backend, kind: str, time: float) -> None:
        """Add a sample for the leader; a time of 0 ms is below the clock's resolution."""
        if time <= 0:
            return
        SAMPLES.labels(kind).inc()
        measurement = f"{pending.service.name}/{pending.route.name}/{kind}"
        self._paces.add(PaceSample(backend.id, measurement, log_time(time)))


def _asked(terms: RequestTerms) -> Asked:
    return Asked(terms.output_tokens, terms.output_hint)

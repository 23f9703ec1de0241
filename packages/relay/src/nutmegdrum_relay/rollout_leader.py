"""Control of rollouts on the state leader: evaluates entry VMs' samples and commits steps."""

import threading
from collections import deque
from collections.abc import Callable, Iterable

from nutmegdrum.judging import JudgeFactory
from nutmegdrum.shared_state import SharedState
from nutmegdrum.units import Duration
from nutmegdrum_coord import verdict as v
from nutmegdrum_coord.clock import Clock
from nutmegdrum_coord.ids import IncarnationId, VmId
from nutmegdrum_coord.parts import Command

from nutmegdrum_relay.decisions import log_decision
from nutmegdrum_relay.entry_reports import EntryReports
from nutmegdrum_relay.loop import Loop
from nutmegdrum_relay.rollout_steps import FleetStatus, RolloutControllers
from nutmegdrum_relay.rollouts import Rollout, Rollouts
from nutmegdrum_relay.shared_listing import ListingPublisher
from nutmegdrum_relay.views import VersionSample

PERIOD = Duration(100)
"""Time between two polls of rollouts in progress; a small part of the time within which a bad
version must be rolled back."""

IDLE_PERIOD = Duration(100)
"""Time between two polls without a rollout in progress, or on a replica that does not lead; a new
leader decides that much later."""

MAX_SEEN_BATCHES = 512
"""Newest batches of samples of an entry VM in which a repeated one is recognized."""


class RolloutLeader:
    """Thread that advances rollouts while this replica leads.

    Parameters
    ----------
    reader : str
        Prefix of `evidence`, unique for each replica start.
    propose : callable
        Commits a command; raises `Refusal` on failure.
    """

    def __init__(
        self,
        clock: Clock,
        shared: SharedState,
        rollouts: Rollouts,
        reports: EntryReports,
        listing: ListingPublisher,
        judges: JudgeFactory,
        reader: str,
        is_leader: Callable[[], bool],
        propose: Callable[[Command], object],
    ):
        self._reader = reader
        self._clock = clock
        self._shared = shared
        self._rollouts = rollouts
        self._reports = reports
        self._listing = listing
        self._is_leader = is_leader
        self._propose = propose
        self._controllers = RolloutControllers(judges)
        self._seen: dict[tuple[VmId, IncarnationId], deque[int]] = {}
        self._evidence_number = 0
        self._lock = threading.Lock()
        self._loop = Loop("rollouts", self.poll)
        self.start = self._loop.start
        self.stop = self._loop.stop

    @property
    def evidence(self) -> str:
        """Return the identity of this replica's evidence, which changes when it is dropped."""
        return f"{self._reader}/{self._evidence_number}"

    def record(self, vm: VmId, incarnation: IncarnationId, samples: Iterable[VersionSample]) -> str:
        """Record the samples of an entry VM's report, and return `evidence`."""
        active = self._active() if samples else []
        now_ms = self._clock.elapsed_ms()
        with self._lock:
            known = self._seen.setdefault((vm, incarnation), deque(maxlen=MAX_SEEN_BATCHES))
            new = [sample for sample in samples if not sample.batch or sample.batch not in known]
            known.extend({sample.batch for sample in new if sample.batch})
            for sample in new:
                self._controllers.record(now_ms, active, sample)
            return self.evidence

    def poll(self) -> Duration:
        """Commit the steps that are due, and return the time until the next poll."""
        active = self._active() if self._is_leader() else []
        if not active:
            with self._lock:
                self._forget()
            return IDLE_PERIOD
        fleet = {rollout.service: self._fleet(rollout) for rollout in active}
        now_ms, log_ms = self._clock.elapsed_ms(), self._shared.log_now_ms()
        with self._lock:
            commands = self._controllers.decide(now_ms, log_ms, active, fleet)
        for command in commands:
            self._commit(command)
        return PERIOD

    def _forget(self) -> None:
        self._controllers.forget()
        if any(self._seen.values()):
            self._evidence_number += 1
        self._seen.clear()

    def _active(self) -> list[Rollout]:
        with self._shared.lock:
            return self._rollouts.active()

    def _fleet(self, rollout: Rollout) -> FleetStatus:
        with self._shared.lock:
            number = self._rollouts.shares().number
        return FleetStatus(
            following=self._reports.all_have_shares(number),
            serving=self._listing.serves(rollout.service, rollout.target),
        )

    def _commit(self, command: Command) -> None:
        try:
            self._propose(command)
        except v.Refusal as refusal:
            log_decision("rollout_step_refused", command=repr(command), reason=refusal.why.code)
            return
        log_decision("rollout_step", command=repr(command))

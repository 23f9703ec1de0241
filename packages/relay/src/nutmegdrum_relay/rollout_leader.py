"""Control of rollouts on the state leader: evaluates entry VMs' samples and commits steps."""

import threading
from collections.abc import Callable, Iterable

from nutmegdrum.judging import JudgeFactory
from nutmegdrum.shared_state import SharedState
from nutmegdrum.units import Duration
from nutmegdrum_coord import verdict as v
from nutmegdrum_coord.clock import Clock
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

IDLE_PERIOD = Duration(300)
"""Time between two polls without a rollout in progress."""


class RolloutLeader:
    """Thread that advances rollouts while this replica leads.

    Parameters
    ----------
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
        is_leader: Callable[[], bool],
        propose: Callable[[Command], object],
    ):
        self._clock = clock
        self._shared = shared
        self._rollouts = rollouts
        self._reports = reports
        self._listing = listing
        self._is_leader = is_leader
        self._propose = propose
        self._controllers = RolloutControllers(judges)
        self._lock = threading.Lock()
        self._loop = Loop("rollouts", self.poll)
        self.start = self._loop.start
        self.stop = self._loop.stop

    def record(self, samples: Iterable[VersionSample]) -> None:
        """Record the samples of an entry VM's report."""
        if not samples:
            return
        active = self._active()
        now_ms = self._clock.elapsed_ms()
        with self._lock:
            for sample in samples:
                self._controllers.record(now_ms, active, sample)

    def poll(self) -> Duration:
        """Commit the steps that are due, and return the time until the next poll."""
        active = self._active() if self._is_leader() else []
        if not active:
            with self._lock:
                self._controllers.forget()
            return IDLE_PERIOD
        fleet = {rollout.service: self._fleet(rollout) for rollout in active}
        now_ms, log_ms = self._clock.elapsed_ms(), self._shared.log_now_ms()
        with self._lock:
            commands = self._controllers.decide(now_ms, log_ms, active, fleet)
        for command in commands:
            self._commit(command)
        return PERIOD

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

"""Reports of an entry VM to the state leader, and the views that come back."""

import threading

from nutmegdrum_coord.clock import Clock
from nutmegdrum_coord.ids import IncarnationId

from nutmegdrum import metrics
from nutmegdrum.crashguard import CrashGuard
from nutmegdrum.logs import log_change
from nutmegdrum.routing import Router
from nutmegdrum.rpc import PeerUnreachable
from nutmegdrum.settings import Settings
from nutmegdrum.state_client import StateClient
from nutmegdrum.view import HeartbeatAnswer, HeartbeatReport, View


class Heartbeater:
    """Sends heartbeats and hands new views to routing.

    A view is put in force only if its log position is not older than that of the view in force,
    so that an accepted note never reverts here.

    Parameters
    ----------
    incarnation : IncarnationId
        Identity of this start of the daemon.
    """

    def __init__(
        self,
        cfg: Settings,
        clock: Clock,
        state: StateClient,
        router: Router,
        incarnation: IncarnationId,
        guard: CrashGuard,
    ):
        self._cfg = cfg
        self._clock = clock
        self._state = state
        self._router = router
        self._incarnation = incarnation
        self._guard = guard
        self._lock = threading.Lock()
        self._view: View | None = None

    def has_view(self) -> bool:
        """Return whether a view was received since the start."""
        return self._view is not None

    def beat(self) -> None:
        """Send one heartbeat and take its answer."""
        sent_ms = self._clock.elapsed_ms()
        try:
            answer = self._state.heartbeat(self._report(), int(self._cfg.control.freshness_lease))
        except PeerUnreachable:
            metrics.HEARTBEATS.labels("lost").inc()
            return
        metrics.HEARTBEATS.labels("fresh" if answer.fresh else "stale").inc()
        self._take(answer, sent_ms)

    def _report(self) -> HeartbeatReport:
        view = self._view
        return HeartbeatReport(
            vm=self._cfg.vm.id,
            incarnation=self._incarnation,
            generation=view.generation if view else 0,
            note=view.note if view else 0,
            ready=view is not None,
            suspected=self._router.suspected(),
        )

    def _take(self, answer: HeartbeatAnswer, sent_ms: int) -> None:
        if answer.view is not None:
            self._put_in_force(answer.view, sent_ms)
        elif answer.fresh:
            self._router.renew_grants(sent_ms)

    def _put_in_force(self, view: View, sent_ms: int) -> None:
        with self._lock:
            if self._view is not None and view.position < self._view.position:
                return
            changed = self._view is None or view.note != self._view.note
            self._view = view
        self._router.set_view(view, sent_ms)
        self._guard.set_view(view, sent_ms)
        metrics.VIEW_POSITION.set(view.position)
        metrics.NOTE_IN_FORCE.set(view.note)
        if changed:
            log_change("note-in-force", note=view.note, position=view.position)

"""Reports of an entry VM to the state leader, and the views that come back."""

import threading
from collections.abc import Callable

from nutmegdrum_coord.claims import ClaimKey
from nutmegdrum_coord.clock import Clock, ElapsedMs
from nutmegdrum_coord.ids import BackendId, IncarnationId, NoteNumber

from nutmegdrum import metrics
from nutmegdrum.admission import Admission
from nutmegdrum.crashguard import CrashGuard
from nutmegdrum.entry_peers import EntryPeers, GossipAnswer, GossipDigest
from nutmegdrum.fleet import VmState
from nutmegdrum.freshness import LeasedView
from nutmegdrum.logs import log_change
from nutmegdrum.messages import LoadReport
from nutmegdrum.packing import pack, unpack
from nutmegdrum.platform import PlatformClient
from nutmegdrum.routing import Router
from nutmegdrum.rpc import PeerUnreachable
from nutmegdrum.sent_keys import SentKeyRecord
from nutmegdrum.service_tally import ServiceTally
from nutmegdrum.settings import Settings
from nutmegdrum.state_client import StateClient
from nutmegdrum.version_watch import VersionWatch
from nutmegdrum.view import BackendLoad, HeartbeatAnswer, HeartbeatReport, TrialTrip, View


class Heartbeater:
    """Sends heartbeats and puts new views in force.

    While the freshness lease lasts, the state leader's view says all. Without it this VM goes on
    with settled versions, reads the platform's list for leaving backend servers by itself, and
    asks other entry VMs for newer views. An older view never replaces a newer one, so that an
    accepted note does not revert here.

    Parameters
    ----------
    incarnation : IncarnationId
        Identity of this start of the daemon.
    key_memory : callable
        Returns what this VM remembers of the non-idempotent requests under a key.
    """

    def __init__(
        self,
        cfg: Settings,
        clock: Clock,
        state: StateClient,
        router: Router,
        admission: Admission,
        guard: CrashGuard,
        watch: VersionWatch,
        tally: ServiceTally,
        peers: EntryPeers,
        incarnation: IncarnationId,
        sent_key_record: Callable[[ClaimKey], SentKeyRecord],
    ):
        self._cfg = cfg
        self._clock = clock
        self._state = state
        self._router = router
        self._admission = admission
        self._guard = guard
        self._watch = watch
        self._tally = tally
        self._unsent_trips: list[TrialTrip] = []
        self._peers = peers
        self._incarnation = incarnation
        self._sent_key_record = sent_key_record
        self._platform = PlatformClient(cfg.platform)
        self._fresh_view = LeasedView()
        self._was_fresh = False
        self._lock = threading.Lock()

    def has_view(self) -> bool:
        """Return whether a view was received since the start."""
        return self._fresh_view.known is not None

    def gossip(self, digest: bytes) -> bytes:
        """Answer another entry VM's digest with this VM's view, if newer, and what it asks for."""
        theirs = unpack(digest, GossipDigest)
        self._guard.add_peer_suspects(theirs.suspects)
        view = self._fresh_view.known
        newer = view is not None and view.generation > theirs.generation
        memory = None if theirs.key is None else self._sent_key_record(theirs.key)
        return pack(GossipAnswer(view if newer else None, memory))

    def send_heartbeat(self) -> None:
        """Send one heartbeat and take its answer."""
        sent_ms = self._clock.elapsed_ms()
        report = self._report()
        try:
            answer = self._state.heartbeat(report, int(self._cfg.control.freshness_lease))
        except PeerUnreachable:
            metrics.HEARTBEATS.labels("lost").inc()
            self._unsent_trips = report.trips
            self._ask_peer(sent_ms)
        else:
            self._unsent_trips = [] if answer.fresh else report.trips
            metrics.HEARTBEATS.labels("fresh" if answer.fresh else "stale").inc()
            self._take(answer, sent_ms)
        self._check_freshness()

    def _report(self) -> HeartbeatReport:
        view = self._fresh_view.known
        watched = self._watch.collect()
        return HeartbeatReport(
            vm=self._cfg.vm.id,
            incarnation=self._incarnation,
            generation=view.generation if view else 0,
            note=view.note if view else NoteNumber(0),
            ready=view is not None,
            suspected=self._router.suspected(),
            samples=watched.samples,
            trips=[*self._unsent_trips, *watched.trips],
            running=watched.running,
            use=self._admission.pop_usage(),
            service=self._tally.totals(),
        )

    def _take(self, answer: HeartbeatAnswer, sent_ms: ElapsedMs) -> None:
        self._admission.set_shares(answer.shares)
        for load in answer.loads:
            self._router.on_load_report(load.id, _report_of(load))
        with self._lock:
            before = self._fresh_view.known
            if self._fresh_view.on_answer(sent_ms, answer):
                self._put_in_force(before, sent_ms if answer.fresh else ElapsedMs(0))
            elif answer.fresh and answer.view is None:
                self._router.renew_grants(sent_ms)

    def _ask_peer(self, sent_ms: ElapsedMs) -> None:
        known = self._fresh_view.known
        view = self._peers.fetch_newer_view(known.generation if known else 0)
        if view is None:
            return
        with self._lock:
            before = self._fresh_view.known
            if self._fresh_view.on_peer_view(view):
                self._put_in_force(before, ElapsedMs(0))

    def _put_in_force(self, before: View | None, granted_ms: ElapsedMs) -> None:
        view = self._fresh_view.known
        assert view is not None
        self._router.set_view(view, granted_ms)
        self._guard.set_view(view, self._clock.elapsed_ms())
        self._watch.set_view(view)
        metrics.VIEW_POSITION.set(view.position)
        metrics.NOTE_IN_FORCE.set(view.note)
        if before is None or before.note != view.note:
            log_change("note-in-force", note=view.note, position=view.position)

    def _check_freshness(self) -> None:
        fresh = self._fresh_view.freshness(self._clock.elapsed_ms()).fresh
        metrics.VIEW_FRESH.set(int(fresh))
        if fresh != self._was_fresh:
            log_change("view-fresh" if fresh else "view-stale")
        self._was_fresh = fresh
        self._router.set_leaving(frozenset() if fresh else self._leaving())

    def _leaving(self) -> frozenset[BackendId]:
        live = self._platform.live_list()
        if live is None:
            return frozenset()
        return frozenset(BackendId(vm.id) for vm in live.vms if vm.state is VmState.LEAVING)


def _report_of(load: BackendLoad) -> LoadReport:
    return LoadReport(
        sequence=load.sequence,
        running=load.running,
        queued=load.queued,
        slots=load.slots,
        role=load.role,
    )

"""Heartbeats of an entry VM to the state leader, and the views in the answers."""

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
from nutmegdrum.passing_on import PassingOn
from nutmegdrum.platform import PlatformClient
from nutmegdrum.rate_limits import KnownLimits
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

    While the freshness lease is valid, only the state leader's view counts. Without it this VM
    continues with settled versions, reads leaving backend servers from the platform's live list,
    and asks other entry VMs for newer views. An older view never replaces a newer one, so that an
    accepted note is not reverted on this VM.

    Parameters
    ----------
    incarnation : IncarnationId
        Id of this start of the daemon.
    sent_key_record : callable
        Returns what this VM knows about the non-idempotent requests under a key.
    limits : KnownLimits
        Limits of backend servers, exchanged with the leader.
    passing_on : PassingOn
        Gets the other entry VMs that take requests.
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
        limits: KnownLimits,
        passing_on: PassingOn,
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
        self._limits = limits
        self._passing_on = passing_on
        self._platform = PlatformClient(cfg.platform, clock)
        self._fresh_view = LeasedView()
        self._was_fresh = False
        self._lock = threading.Lock()

    def has_view(self) -> bool:
        """Return whether this VM has received a view since its start."""
        return self._fresh_view.known is not None

    def gossip(self, digest: bytes) -> bytes:
        """Return this VM's view if newer than `digest`, and the sent-key record it requests."""
        theirs = unpack(digest, GossipDigest)
        self._guard.add_peer_suspects(theirs.suspects)
        view = self._fresh_view.known
        newer = view is not None and view.generation > theirs.generation
        memory = None if theirs.key is None else self._sent_key_record(theirs.key)
        return pack(GossipAnswer(view if newer else None, memory))

    def send_heartbeat(self) -> None:
        """Send one heartbeat and apply the answer."""
        sent_ms = self._clock.elapsed_ms()
        report = self._report()
        try:
            answer = self._state.heartbeat(report, int(self._cfg.control.freshness_lease))
        except PeerUnreachable:
            metrics.HEARTBEATS.labels("lost").inc()
            self._unsent_trips = report.trips
            self._fetch_peer_view(sent_ms)
        else:
            self._unsent_trips = [] if answer.fresh else report.trips
            metrics.HEARTBEATS.labels("fresh" if answer.fresh else "stale").inc()
            self._apply_answer(answer, sent_ms)
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
            limits=self._limits.announced(),
            takes_calls_at=self._cfg.listen.callers if self._passing_on.takes_requests() else None,
        )

    def _apply_answer(self, answer: HeartbeatAnswer, sent_ms: ElapsedMs) -> None:
        self._admission.set_shares(answer.shares)
        self._limits.merge(answer.limits)
        if answer.fresh:
            self._passing_on.peers = answer.peers
        for load in answer.loads:
            self._router.on_load_report(load.id, _report_of(load))
        with self._lock:
            before = self._fresh_view.known
            if self._fresh_view.on_answer(sent_ms, answer):
                self._apply_view(before, sent_ms if answer.fresh else ElapsedMs(0))
            elif answer.fresh and answer.view is None:
                self._router.renew_grants(sent_ms)

    def _fetch_peer_view(self, sent_ms: ElapsedMs) -> None:
        known = self._fresh_view.known
        view = self._peers.fetch_newer_view(known.generation if known else 0)
        if view is None:
            return
        with self._lock:
            before = self._fresh_view.known
            if self._fresh_view.on_peer_view(view):
                self._apply_view(before, ElapsedMs(0))

    def _apply_view(self, before: View | None, granted_ms: ElapsedMs) -> None:
        view = self._fresh_view.known
        assert view is not None
        self._router.set_view(view, granted_ms)
        self._limits.retain({backend.id for backend in view.backends})
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

"""State role of a relay daemon: one replica of the log that holds the routing document."""

import random
import threading
from collections.abc import Callable
from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeoutError
from functools import partial
from pathlib import Path

from nutmegdrum.errors import UserError
from nutmegdrum.judging import JudgeFactory
from nutmegdrum.packing import pack, unpack
from nutmegdrum.permits import PermitLedger, PermitRequest
from nutmegdrum.rate_limits import KnownLimits
from nutmegdrum.rpc import PeerUnreachable, RpcClient
from nutmegdrum.shared_state import SharedState
from nutmegdrum.units import Address, Duration
from nutmegdrum_coord import verdict as v
from nutmegdrum_coord.clock import Clock, LogMs
from nutmegdrum_coord.ids import Fingerprint, IncarnationId, ServiceName, VersionName, VmId
from nutmegdrum_coord.parts import Command, CompositeState, decode_answer, encode_command
from nutmegdrum_coord.quarantine import EndTry, Quarantine, QuarantineAnswer, ReportCrash
from nutmegdrum_coord.statemachine import Applied
from nutmegdrum_scheduling.resends.fleet_budget import FleetBudget
from nutmegdrum_wire.gen.messages.ttypes import Sender

from nutmegdrum_relay.compressed import compress
from nutmegdrum_relay.decisions import log_decision
from nutmegdrum_relay.dialect import Dialect, ListedBackend
from nutmegdrum_relay.document_cache import CacheWriter, DocumentCache
from nutmegdrum_relay.entry_reports import EntryReports, report_wait_ms
from nutmegdrum_relay.list_reader import ListReader
from nutmegdrum_relay.loop import Loop
from nutmegdrum_relay.membership import wanted_vms
from nutmegdrum_relay.replica_log import open_log, replica_vm
from nutmegdrum_relay.revisions import PutAnswer, PutDocument, Revision, Revisions, VersionTaken
from nutmegdrum_relay.rollout_leader import RolloutLeader
from nutmegdrum_relay.rollouts import (
    OtherRollout,
    Rollout,
    RolloutConflict,
    Rollouts,
    StartAnswer,
    rollout_order,
)
from nutmegdrum_relay.settings import RelaySettings
from nutmegdrum_relay.shared_listing import ListingPublisher
from nutmegdrum_relay.views import (
    ControlView,
    EntryReport,
    Quarantined,
    RolloutQuery,
    VersionShares,
)

PROPOSE_TIMEOUT = Duration(900)
"""Time-out of a commit; operators try another replica after a second without an answer."""

LIST_POLL_INTERVAL = Duration(500)
"""Interval at which the leader polls the platform's list; a fraction of the bound on draining."""

MEMBERS_CHECK_INTERVAL = Duration(300)
"""Interval of the membership check; well below the time after which a replica is replaced."""

CRASHES_ALONE = 3
"""Backend servers that may crash at the same point of a request before it is quarantined; the
users' bound on crashing requests allows no retry beyond these."""

QUARANTINE_TIME = Duration(600_000)
"""Duration of a quarantine by crash count, which a series of unrelated failures can also cause."""

_MS_PER_S = 1_000


class StateRole:
    """One state replica: log, routing document, rollouts and entry VMs' reports.

    Parameters
    ----------
    dialect : Dialect
        Formats of the platform; decodes and checks documents.
    incarnation : IncarnationId
        Id of this process start.
    judges : JudgeFactory
        Factory of the judges of rollouts.
    """

    def __init__(
        self,
        cfg: RelaySettings,
        clock: Clock,
        rng: random.Random,
        rpc: RpcClient,
        dialect: Dialect,
        incarnation: IncarnationId,
        judges: JudgeFactory,
    ):
        self._vm = replica_vm(cfg.listen.peers)
        self._clock = clock
        self._rng = rng
        self._rpc = rpc
        self._decode = dialect.decode_document
        self._replica_count = 2 * cfg.tolerated_losses + 1
        self._revisions = Revisions()
        self._rollouts = Rollouts()
        self._quarantine = Quarantine(int(QUARANTINE_TIME), CRASHES_ALONE)
        self._shared = SharedState(
            CompositeState([self._revisions, self._rollouts, self._quarantine]), clock
        )
        cache = DocumentCache(Path(str(cfg.data_folder)))
        self._cached = cache.load()
        self._cache_writer = CacheWriter(cache)
        self._state_changed = threading.Condition()
        self._newest_compressed: tuple[Revision | None, bytes] = (None, b"")
        self._reports = EntryReports(clock)
        self._budget: FleetBudget | None = None
        if (rule := cfg.budget_rule()) is not None:
            self._budget = FleetBudget(clock, rule, log_decision)
        self._permits = PermitLedger(clock, rng, KnownLimits(clock, log_decision), self._budget)
        self._log = open_log(cfg, clock, rng, rpc, self._shared, self._notify)
        self._listing = ListingPublisher(
            clock, f"{self._vm}/{incarnation}", self._log.fencing_number
        )
        self._list_reader: ListReader | None = None
        if cfg.backend_list is not None:
            self._list_reader = ListReader(
                cfg.backend_list,
                clock,
                rng,
                dialect,
                LIST_POLL_INTERVAL,
                self._log.is_leader,
                self._on_list,
            )
        self._rollout_leader = RolloutLeader(
            clock,
            self._shared,
            self._rollouts,
            self._reports,
            self._listing,
            judges,
            f"{self._vm}/{incarnation}",
            self._log.is_leader,
            lambda command: self.propose(self._encoded(command)),
        )
        self._target_members: frozenset[VmId] = frozenset()
        self._was_leader = False
        self._members_loop = Loop("members", self._update_members)

    def start(self) -> None:
        """Start the replica."""
        self._log.start()
        self._cache_writer.start()
        self._members_loop.start()
        self._rollout_leader.start()
        if self._list_reader is not None:
            self._list_reader.start()

    def stop(self) -> None:
        """Stop the replica."""
        self._members_loop.stop()
        self._rollout_leader.stop()
        if self._list_reader is not None:
            self._list_reader.stop()
        self._log.stop()

    def apply_settings(self, cfg: RelaySettings) -> None:
        """Apply changed settings.

        A replica that is not a member yet also tries to join through the new seeds.
        """
        self._replica_count = 2 * cfg.tolerated_losses + 1
        if self._list_reader is not None and cfg.backend_list is not None:
            self._list_reader.set_address(cfg.backend_list)
        if self._vm not in {member.vm for member in self._log.members().everyone()}:
            self._log.set_vms({replica_vm(address) for address in cfg.seed_peers()} | {self._vm})

    def leader(self) -> VmId | None:
        """Return the leader, or None if this replica knows of none."""
        return self._log.leader()

    def not_ready(self) -> str:
        """Return why this replica is not ready, or an empty string if it is."""
        return "" if self._log.leader() is not None else "the state replicas have no leader"

    def put_document(self, source: bytes) -> None:
        """Commit a document at the leader.

        Raises
        ------
        UserError
            If the document is invalid, or its version belongs to another document.
        Refusal
            If it is not known whether the document was committed.
        """
        document = self._decode(source)
        command = PutDocument(version=document.version, source=source)
        answer = decode_answer(self._propose_at_leader(command), PutAnswer)
        log_decision("document_offered", version=document.version, outcome=type(answer).__name__)
        if isinstance(answer, VersionTaken):
            raise UserError(f"Another document holds version {answer.version} - at `$.version`")

    def newest_document(self) -> bytes:
        """Return the source of the newest document, read at the leader under its lease.

        Raises
        ------
        Refusal
            If no leader answers, or no document has been committed yet.
        """
        return self._call_leader(self.read, "read", b"", True)

    def start_rollout(self, service: ServiceName, target: VersionName, duration: Duration) -> None:
        """Start the rollout of a version to a service, at the leader.

        A repeated order has no effect.

        Raises
        ------
        UserError
            If the order is invalid; `OtherRollout` if the service has another rollout in progress.
        Refusal
            If it is not known whether the order was committed.
        """
        command = rollout_order(service, target, duration)
        document = self._decode(self.newest_document())
        if service not in {known.name for known in document.services}:
            raise UserError(f"Expected a service of the routing document, got `{service}`")
        answer = decode_answer(self._propose_at_leader(command), StartAnswer)
        log_decision(
            "rollout_offered", service=service, target=target, outcome=type(answer).__name__
        )
        if isinstance(answer, RolloutConflict):
            raise OtherRollout(f"A roll-out of {service} to {answer.target} is in progress")

    def rollout(self, service: ServiceName) -> Rollout:
        """Return the newest rollout of a service, read at the leader under its lease.

        Raises
        ------
        Refusal
            If no leader answers; `NOT_FOUND` if the service has never had a rollout.
        """
        query = pack(RolloutQuery(service=service))
        return unpack(self._call_leader(self.read, "read", query, True), Rollout)

    def _propose_at_leader(self, command: Command) -> bytes:
        return self._call_leader(self.propose, "propose", self._encoded(command))

    def _encoded(self, command: Command) -> bytes:
        return encode_command(command, who=self._vm, wall_ms=self._clock.wall_ms())

    def _call_leader(self, local_method: Callable[..., bytes], method: str, *args: object) -> bytes:
        """Call `local_method` with `args` if this replica leads, else `method` of the leader."""
        leader = self._log.leader()
        if leader is None:
            raise v.Refusal(v.NO_QUORUM, detail="the state replicas have no leader")
        if leader == self._vm:
            return local_method(*args)
        try:
            return self._rpc.call(Address(leader), method, *args, timeout_ms=int(PROPOSE_TIMEOUT))
        except PeerUnreachable as exc:
            verdict = v.Verdict.MAY_HAVE_RUN if exc.sent else v.Verdict.NOT_RUN
            raise v.Refusal(v.NO_QUORUM, verdict, detail="the leader does not answer") from exc

    def propose(self, command: bytes) -> bytes:
        """Commit a command at this replica, the leader, and return the encoded answer.

        Raises
        ------
        Refusal
            If this replica does not lead, or the commit times out.
        """
        fut = self._log.propose(command)
        try:
            return fut.result(PROPOSE_TIMEOUT / _MS_PER_S).answer
        except FutureTimeoutError:
            raise v.Refusal(v.NO_QUORUM, v.Verdict.MAY_HAVE_RUN) from None

    def read(self, query: bytes, fresh: bool) -> bytes:
        """Return the newest document's source, or the packed rollout that `query` names.

        Parameters
        ----------
        query : bytes
            Packed `RolloutQuery`; empty for the document.
        fresh : bool
            Whether the read needs a valid leader's lease.

        Raises
        ------
        Refusal
            `NOT_LEADER` if `fresh` and the lease is not valid; `NOT_FOUND` if there is no document,
            or the service has never had a rollout.
        """
        if query:
            return self._read_rollout(unpack(query, RolloutQuery).service, fresh)
        revision = self._newest()
        if fresh and not self._log.is_leader():
            raise v.Refusal(v.NOT_LEADER)
        if not revision.version:
            raise v.Refusal(v.NOT_FOUND, detail="no routing document yet")
        return revision.source

    def _read_rollout(self, service: ServiceName, fresh: bool) -> bytes:
        with self._shared.lock:
            rollout = self._rollouts.rollouts.get(service)
        if fresh and not self._log.is_leader():
            raise v.Refusal(v.NOT_LEADER)
        if rollout is None:
            raise v.Refusal(v.NOT_FOUND, detail="the service never had a roll-out")
        return pack(rollout)

    def heartbeat(self, report: bytes) -> bytes:
        """Record an entry VM's report and return a view; the leader answers by long poll."""
        decoded = unpack(report, EntryReport)
        self._reports.record(decoded)
        evidence = self._rollout_leader.record(decoded.vm, decoded.incarnation, decoded.samples)
        self._permits.limits.merge(decoded.limits)
        self._record_resends(decoded)
        self._propose_crashes(decoded)
        until_ms = self._clock.elapsed_ms() + decoded.wait_ms
        with self._state_changed:
            while (
                self._log.is_leader()
                and self._newest().version <= decoded.version
                and self._shares().number <= decoded.shares
                and (left_ms := until_ms - self._clock.elapsed_ms()) > 0
            ):
                self._state_changed.wait(left_ms / _MS_PER_S)
        fresh = self._log.is_leader()
        revision = max(self._newest(), self._cached.revision, key=lambda r: r.version)
        newer = revision.version > decoded.version
        shares = max(self._shares(), self._cached.shares, key=lambda s: s.number)
        others = self._reports.others(decoded.vm)
        view = ControlView(
            fresh=fresh and self._log.is_leader(),
            version=revision.version,
            compressed_source=self._compressed(revision) if newer else b"",
            replicas=tuple(Address(member.vm) for member in self._log.members().everyone()),
            work=self._reports.others_work(decoded.vm) if decoded.asks_work else None,
            placing=self._reports.placing(decoded.vm) if decoded.asks_work else 0,
            down=others.down,
            listing=self._listing.for_entry(decoded.listing) if fresh else None,
            wait_ms=report_wait_ms(others.vms + 1),
            shares=shares if shares.number > decoded.shares else None,
            quarantined=self._quarantined(),
            suspects=self._suspects(),
            suspect_parts=self._suspected_parts(),
            limits=self._permits.limits.announced(),
            entry_vms=self._entry_vms(others.vms + 1),
            peers=self._reports.peers(decoded.vm, self._rng),
            evidence=evidence,
            leases=self._leases(decoded) if fresh else None,
            paces=self._reports.paces(decoded.paces) if decoded.asks_work else None,
            queued=self._reports.others_queued(decoded.vm),
            capacity_shares=self._reports.capacity_shares(decoded.vm),
        )
        return pack(view)

    def request_permit(self, request: bytes) -> bytes:
        """Grant or deny a request to send to a backend server with a rate limit.

        Raises
        ------
        Refusal
            `NOT_LEADER` if this replica does not lead.
        """
        if not self._log.is_leader():
            raise v.Refusal(v.NOT_LEADER)
        if self._budget is not None:
            self._budget.begin_term(self._log.fencing_number())
        return pack(self._permits.request(unpack(request, PermitRequest)))

    def _record_resends(self, report: EntryReport) -> None:
        """Record the resends of a report; only a leader does, as others grant none."""
        if self._budget is not None and self._log.is_leader():
            self._budget.begin_term(self._log.fencing_number())
            self._budget.record(report.vm, report.incarnation, report.resends, report.entry_vms)

    def _leases(self, report: EntryReport) -> dict[ServiceName, int] | None:
        if self._budget is None:
            return None
        # The term may have changed during the long poll.
        self._budget.begin_term(self._log.fencing_number())
        return self._budget.leases(report.vm)

    def _entry_vms(self, reporting: int) -> int:
        return reporting if self._budget is None else self._budget.entry_vms(reporting)

    def _on_list(self, listing: list[ListedBackend], read_ms: int) -> None:
        self._listing.publish(listing)
        self._permits.retain({listed.id for listed in listing})

    def exchange_log(self, sender: VmId, messages: list[bytes]) -> list[bytes]:
        """Handle log messages of another replica and return the messages for it."""
        return self._log.exchange(sender, messages)

    def _propose_crashes(self, report: EntryReport) -> None:
        """Propose the crashes and cleared suspects of a report; only a leader does."""
        if not self._log.is_leader():
            return
        for crash in report.crashes:
            command = ReportCrash(
                fingerprint=crash.fingerprint,
                vm=report.vm,
                backend=crash.backend,
                tokens=crash.events,
                began_ms_ago=crash.began_ms_ago,
                died_ms_ago=crash.died_ms_ago,
                parts=crash.parts,
            )
            fut = self._log.propose(self._encoded(command))
            fut.add_done_callback(partial(self._log_crash, command))
        for fingerprint in report.cleared:
            self._log.propose(
                self._encoded(EndTry(fingerprint=fingerprint, vm=report.vm, cleared=True))
            )
        for command in self._part_commands(report):
            self._log.propose(self._encoded(command))

    def _part_commands(self, report: EntryReport) -> list[EndTry]:
        """Return the commands for sound parts that change the state, or to decide what is due."""
        with self._shared.lock:
            at = self._shared.log_now_ms()
            commands = [
                EndTry(fingerprint=sound.part, vm=report.vm, cleared=True, ms_ago=sound.ms_ago)
                for sound in report.sound_parts
                if self._quarantine.is_news(sound.part, LogMs(at - sound.ms_ago))
            ]
            # Any command decides what is due; this one changes nothing else.
            if not commands and self._quarantine.is_part_due(at):
                commands = [EndTry(fingerprint=Fingerprint(""), vm=report.vm, cleared=False)]
        return commands

    def _log_crash(self, command: ReportCrash, fut: Future[Applied]) -> None:
        """Log the outcome of a crash report; runs on the log's thread."""
        try:
            outcome = type(decode_answer(fut.result().answer, QuarantineAnswer)).__name__
        except v.Refusal as refusal:
            outcome = refusal.why.code
        with self._shared.lock:
            counted = self._quarantine.crashes(command.fingerprint)
        log_decision(
            "crash_reported",
            fingerprint=command.fingerprint,
            entry=command.vm,
            backend=command.backend,
            events=command.tokens,
            ran_ms=command.began_ms_ago - command.died_ms_ago,
            age_ms=command.died_ms_ago,
            counted=counted,
            outcome=outcome,
        )

    def _quarantined(self) -> tuple[Quarantined, ...]:
        with self._shared.lock:
            held = self._quarantine.quarantines(self._shared.log_now_ms())
        return tuple(Quarantined(fingerprint, ms) for fingerprint, ms in held.items())

    def _suspects(self) -> tuple[Fingerprint, ...]:
        with self._shared.lock:
            return tuple(self._quarantine.repeatedly_crashed())

    def _suspected_parts(self) -> tuple[Fingerprint, ...]:
        with self._shared.lock:
            return tuple(self._quarantine.suspected_parts())

    def _shares(self) -> VersionShares:
        with self._shared.lock:
            return self._rollouts.shares()

    def _newest(self) -> Revision:
        with self._shared.lock:
            return self._revisions.newest

    def _compressed(self, revision: Revision) -> bytes:
        """Return the compressed document, which is cached for all entry VMs."""
        known, compressed = self._newest_compressed
        if known != revision:
            compressed = compress(revision.source)
            self._newest_compressed = (revision, compressed)
        return compressed

    def _notify(self) -> None:
        self._cache_writer.put(self._newest(), self._shares())
        with self._state_changed:
            self._state_changed.notify_all()

    def _update_members(self) -> Duration:
        leads = self._log.is_leader()
        if leads != self._was_leader:
            self._was_leader = leads
            log_decision("leads" if leads else "leads_no_more", term=self._log.fencing_number())
        if not leads:
            return MEMBERS_CHECK_INTERVAL
        members = self._log.members()
        wanted = wanted_vms(
            members.voters,
            members.learners,
            self._log.join_requests(),
            self._log.silent_ms(),
            self._replica_count,
        )
        if wanted != self._target_members:
            log_decision("replicas_wanted", before=sorted(self._target_members), now=sorted(wanted))
            self._target_members = wanted
        # Set on every check: a re-elected leader starts without a member target.
        self._log.set_vms(wanted)
        return MEMBERS_CHECK_INTERVAL


class StatePeers:
    """Handler of the thrift service `Peers` on a state replica."""

    def __init__(self, state: StateRole):
        self._state = state

    def exchange_log(self, sender: Sender, messages: list[bytes]) -> list[bytes]:
        """Handle log messages and return those for the sender."""
        return self._state.exchange_log(VmId(sender.vm), messages)

    def propose(self, sender: Sender, command: bytes) -> bytes:
        """Commit a command and return the encoded answer."""
        return self._state.propose(command)

    def read(self, sender: Sender, query: bytes, fresh: bool) -> bytes:
        """Return the newest document's source, or the packed rollout that `query` names."""
        return self._state.read(query, fresh)

    def heartbeat(self, sender: Sender, report: bytes) -> bytes:
        """Record an entry VM's report and return a packed `ControlView`."""
        return self._state.heartbeat(report)

    def request_permit(self, sender: Sender, request: bytes) -> bytes:
        """Grant or deny a packed `PermitRequest`, and return a packed `Permit`."""
        return self._state.request_permit(request)

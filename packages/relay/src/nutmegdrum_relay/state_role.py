"""State role of a relay daemon: a replica of the log that holds the routing document."""

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
from nutmegdrum.rpc import PeerUnreachable, RpcClient
from nutmegdrum.shared_state import SharedState
from nutmegdrum.units import Address, Duration
from nutmegdrum_coord import verdict as v
from nutmegdrum_coord.clock import Clock
from nutmegdrum_coord.ids import Fingerprint, IncarnationId, ServiceName, VersionName, VmId
from nutmegdrum_coord.parts import Command, CompositeState, decode_answer, encode_command
from nutmegdrum_coord.quarantine import EndTry, Quarantine, QuarantineAnswer, ReportCrash
from nutmegdrum_coord.statemachine import Applied
from nutmegdrum_wire.gen.messages.ttypes import Sender

from nutmegdrum_relay.compressed import compress
from nutmegdrum_relay.decisions import log_decision
from nutmegdrum_relay.dialect import Dialect
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
"""Wait for a commit; operators move on to another replica after a second without an answer."""

LIST_PERIOD = Duration(500)
"""Time between two readings of the platform's list by the leader, a fraction of the bound on
draining."""

MEMBERS_PERIOD = Duration(300)
"""Time between two looks at the members; well below the time after which one is replaced."""

CRASHES_ALONE = 3
"""Backend servers that die at the same point of a request, after which it is refused; more retries
than these may reach none (the users' bound on crashing requests)."""

QUARANTINE_TIME = Duration(600_000)
"""Length of a quarantine by count, which a row of other failures can bring about too."""

_MS_PER_S = 1_000


class StateRole:
    """All that one state replica does.

    Parameters
    ----------
    dialect : Dialect
        Formats of the platform; documents are decoded and checked by it.
    incarnation : IncarnationId
        Identity of this start.
    judges : JudgeFactory
        Maker of the judges of roll-outs.
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
        self._rpc = rpc
        self._decode = dialect.decode_document
        self._size = 2 * cfg.tolerated_losses + 1
        self._revisions = Revisions()
        self._rollouts = Rollouts()
        self._quarantine = Quarantine(int(QUARANTINE_TIME), CRASHES_ALONE)
        self._shared = SharedState(
            CompositeState([self._revisions, self._rollouts, self._quarantine]), clock
        )
        cache = DocumentCache(Path(str(cfg.data_folder)))
        self._cached = cache.load()
        self._cache_writer = CacheWriter(cache)
        self._applied = threading.Condition()
        self._newest_compressed: tuple[Revision | None, bytes] = (None, b"")
        self._reports = EntryReports(clock)
        self._log = open_log(cfg, clock, rng, rpc, self._shared, self._notify)
        self._listing = ListingPublisher(clock, f"{self._vm}/{incarnation}")
        self._list_reader: ListReader | None = None
        if cfg.backend_list is not None:
            self._list_reader = ListReader(
                cfg.backend_list,
                clock,
                rng,
                dialect,
                LIST_PERIOD,
                self._log.is_leader,
                self._listing.publish,
            )
        self._rollout_leader = RolloutLeader(
            clock,
            self._shared,
            self._rollouts,
            self._reports,
            self._listing,
            judges,
            self._log.is_leader,
            lambda command: self.propose(self._encoded(command)),
        )
        self._wanted: frozenset[VmId] = frozenset()
        self._led = False
        self._members_loop = Loop("members", self._look_at_members)

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
        """Put changed settings in force.

        A replica that is not admitted yet asks the new seeds too.
        """
        self._size = 2 * cfg.tolerated_losses + 1
        if self._list_reader is not None and cfg.backend_list is not None:
            self._list_reader.set_address(cfg.backend_list)
        if self._vm not in {member.vm for member in self._log.members().everyone()}:
            self._log.set_vms({replica_vm(address) for address in cfg.seed_peers()} | {self._vm})

    def leader(self) -> VmId | None:
        """Return the leader as far as this replica knows."""
        return self._log.leader()

    def not_ready(self) -> str:
        """Return why this replica cannot serve, or an empty string."""
        return "" if self._log.leader() is not None else "the state replicas have no leader"

    def put_document(self, source: bytes) -> None:
        """Put a document in force, by way of the leader.

        Raises
        ------
        UserError
            If the document is invalid, or another one holds its version.
        Refusal
            If its fate is not known.
        """
        document = self._decode(source)
        command = PutDocument(version=document.version, source=source)
        answer = decode_answer(self._order(command), PutAnswer)
        log_decision("document_offered", version=document.version, outcome=type(answer).__name__)
        if isinstance(answer, VersionTaken):
            raise UserError(f"Another document holds version {answer.version} - at `$.version`")

    def newest_document(self) -> bytes:
        """Return the newest document's source, as the leader knows it under its lease.

        Raises
        ------
        Refusal
            If no leader answers, or there is no document yet.
        """
        return self._at_leader(self.read, "read", b"", True)

    def start_rollout(self, service: ServiceName, target: VersionName, duration: Duration) -> None:
        """Begin to move a service's traffic to a version, by way of the leader.

        The same order once more changes nothing.

        Raises
        ------
        UserError
            If the order is invalid; `OtherRollout` if another one for the service is in progress.
        Refusal
            If its fate is not known.
        """
        command = rollout_order(service, target, duration)
        document = self._decode(self.newest_document())
        if service not in {known.name for known in document.services}:
            raise UserError(f"Expected a service of the routing document, got `{service}`")
        answer = decode_answer(self._order(command), StartAnswer)
        log_decision(
            "rollout_offered", service=service, target=target, outcome=type(answer).__name__
        )
        if isinstance(answer, RolloutConflict):
            raise OtherRollout(f"A roll-out of {service} to {answer.target} is in progress")

    def rollout(self, service: ServiceName) -> Rollout:
        """Return a service's newest roll-out, as the leader knows it under its lease.

        Raises
        ------
        Refusal
            If no leader answers; `NOT_FOUND` if the service never had a roll-out.
        """
        query = pack(RolloutQuery(service=service))
        return unpack(self._at_leader(self.read, "read", query, True), Rollout)

    def _order(self, command: Command) -> bytes:
        return self._at_leader(self.propose, "propose", self._encoded(command))

    def _encoded(self, command: Command) -> bytes:
        return encode_command(command, who=self._vm, wall_ms=self._clock.wall_ms())

    def _at_leader(self, here: Callable[..., bytes], method: str, *args: object) -> bytes:
        """Call `here` if this replica leads, else `method` at the leader, with the same `args`."""
        leader = self._log.leader()
        if leader is None:
            raise v.Refusal(v.NO_QUORUM, detail="the state replicas have no leader")
        if leader == self._vm:
            return here(*args)
        try:
            return self._rpc.call(Address(leader), method, *args, timeout_ms=int(PROPOSE_TIMEOUT))
        except PeerUnreachable as exc:
            verdict = v.Verdict.MAY_HAVE_RUN if exc.sent else v.Verdict.NOT_RUN
            raise v.Refusal(v.NO_QUORUM, verdict, detail="the leader does not answer") from exc

    def propose(self, command: bytes) -> bytes:
        """Commit a command at this leader and return the encoded answer.

        Raises
        ------
        Refusal
            If this replica does not lead, or the commit takes too long.
        """
        fut = self._log.propose(command)
        try:
            return fut.result(PROPOSE_TIMEOUT / _MS_PER_S).answer
        except FutureTimeoutError:
            raise v.Refusal(v.NO_QUORUM, v.Verdict.MAY_HAVE_RUN) from None

    def read(self, query: bytes, fresh: bool) -> bytes:
        """Return the newest document's source, or what else is asked for, under a lease if `fresh`.

        Parameters
        ----------
        query : bytes
            Packed `RolloutQuery`; empty for the document.

        Raises
        ------
        Refusal
            `NOT_LEADER` if `fresh` and the lease is not valid; `NOT_FOUND` without a document, or
            for a service without a roll-out.
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
        """Take an entry VM's report; a leader answers once there is something newer."""
        decoded = unpack(report, EntryReport)
        self._reports.record(decoded)
        self._rollout_leader.record(decoded.samples)
        self._note_crashes(decoded)
        until_ms = self._clock.elapsed_ms() + decoded.wait_ms
        with self._applied:
            while (
                self._log.is_leader()
                and self._newest().version <= decoded.version
                and self._shares().number <= decoded.shares
                and (left_ms := until_ms - self._clock.elapsed_ms()) > 0
            ):
                self._applied.wait(left_ms / _MS_PER_S)
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
            down=others.down,
            listing=self._listing.for_entry(decoded.listing) if fresh else None,
            wait_ms=report_wait_ms(others.vms + 1),
            shares=shares if shares.number > decoded.shares else None,
            quarantined=self._quarantined(),
            suspects=self._suspects(),
        )
        return pack(view)

    def exchange_log(self, sender: VmId, messages: list[bytes]) -> list[bytes]:
        """Take the log's messages from another replica and return those for it."""
        return self._log.exchange(sender, messages)

    def _note_crashes(self, report: EntryReport) -> None:
        """Commit what an entry VM saw of crashing requests; it tells a leader that takes it."""
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
            )
            fut = self._log.propose(self._encoded(command))
            fut.add_done_callback(partial(self._log_crash, command))
        for fingerprint in report.cleared:
            self._log.propose(
                self._encoded(EndTry(fingerprint=fingerprint, vm=report.vm, cleared=True))
            )

    def _log_crash(self, command: ReportCrash, fut: Future[Applied]) -> None:
        """Write what the log made of a crash, on the log's thread."""
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

    def _shares(self) -> VersionShares:
        with self._shared.lock:
            return self._rollouts.shares()

    def _newest(self) -> Revision:
        with self._shared.lock:
            return self._revisions.newest

    def _compressed(self, revision: Revision) -> bytes:
        """Return the document compressed; once for all entry VMs that ask for it."""
        known, compressed = self._newest_compressed
        if known != revision:
            compressed = compress(revision.source)
            self._newest_compressed = (revision, compressed)
        return compressed

    def _notify(self) -> None:
        self._cache_writer.put(self._newest(), self._shares())
        with self._applied:
            self._applied.notify_all()

    def _look_at_members(self) -> Duration:
        leads = self._log.is_leader()
        if leads != self._led:
            self._led = leads
            log_decision("leads" if leads else "leads_no_more", term=self._log.fencing_number())
        if not leads:
            return MEMBERS_PERIOD
        members = self._log.members()
        wanted = wanted_vms(
            members.voters,
            members.learners,
            self._log.join_requests(),
            self._log.silent_ms(),
            self._size,
        )
        if wanted != self._wanted:
            log_decision("replicas_wanted", before=sorted(self._wanted), now=sorted(wanted))
            self._wanted = wanted
        # Told each time, since a leader that was elected again starts without a decision.
        self._log.set_vms(wanted)
        return MEMBERS_PERIOD


class StatePeers:
    """Handler of the `Peers` service on a state replica."""

    def __init__(self, state: StateRole):
        self._state = state

    def exchange_log(self, sender: Sender, messages: list[bytes]) -> list[bytes]:
        """Take messages of the replicated log and return those for the sender."""
        return self._state.exchange_log(VmId(sender.vm), messages)

    def propose(self, sender: Sender, command: bytes) -> bytes:
        """Commit a command and return its answer."""
        return self._state.propose(command)

    def read(self, sender: Sender, query: bytes, fresh: bool) -> bytes:
        """Return the newest document's source, or what else is asked for."""
        return self._state.read(query, fresh)

    def heartbeat(self, sender: Sender, report: bytes) -> bytes:
        """Take an entry VM's report and return what is newer than it."""
        return self._state.heartbeat(report)

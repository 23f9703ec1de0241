"""One replica of the replicated log: the threads, files and futures around `LogCore`.

One actor owns the core, the files and the state machine. In each turn it passes all inputs
received since the last turn to the core, writes and syncs the resulting data in one batch, and
only then sends messages and applies commands. Proposals that arrive during a sync thus share
the next sync. Each peer has its own sender thread, so that a peer that hangs delays no other.

`nutmegdrum_coord.logstore` describes which data must survive a crash.
"""

import logging
import random
import secrets
import threading
from collections.abc import Callable, Collection
from concurrent.futures import Future
from pathlib import Path
from typing import NamedTuple

import msgspec
import pykka
from nutmegdrum_coord.clock import Clock
from nutmegdrum_coord.ids import FencingNumber, LogPosition, VmId
from nutmegdrum_coord.logcore import LogCore
from nutmegdrum_coord.logeffects import (
    Apply,
    Compacted,
    DropEntries,
    Effect,
    InstallSnapshot,
    MarkTrusted,
    Retire,
    SaveBallot,
    SaveChunk,
    SaveEntries,
    Send,
    SendChunk,
)
from nutmegdrum_coord.logmessages import (
    AnyMessage,
    Base,
    Entry,
    EntryKind,
    Member,
    Members,
    decode_message,
    encode_message,
)
from nutmegdrum_coord.logstate import LogTiming
from nutmegdrum_coord.statemachine import Applied, StateMachine
from nutmegdrum_coord.verdict import NO_QUORUM, NOT_LEADER, OVERLOADED, Refusal, Verdict
from prometheus_client import Counter, Gauge

from nutmegdrum.logfolder import open_folder, retire_folder
from nutmegdrum.loginbox import Exchange, Inbox, Input, Proposal, SetVms
from nutmegdrum.logsender import LogTransport, PeerSender
from nutmegdrum.settings import Settings
from nutmegdrum.units import Duration

__all__ = ["LogNode", "LogTransport"]

log = logging.getLogger(__name__)

KEPT_ENTRIES = 512
"""Number of entries kept after a snapshot, so that a slightly lagging member needs none."""

MAX_LOG_BYTES = 64 << 20
"""Bytes of commands after which a snapshot is taken, regardless of their number."""

MAX_WAITING_PROPOSALS = 8_192
"""Number of queued and uncommitted proposals from which new ones are refused."""

REOPEN_PERIOD = Duration(500)
"""Time after a failure, and between tries to go on after it."""

EXCHANGE_TIMEOUT_S = 2.0
RETRY_MS = 200
"""Backoff hint in refusals, in ms."""

SEED_BITS = 64
TICKS_PER_HEARTBEAT = 5

LEADS = Gauge("nutmegdrum_log_leads", "1 if this replica of the log leads, else 0")
VOTES = Gauge("nutmegdrum_log_votes", "1 if this replica counts for quorums and may vote, else 0")
TERM = Gauge("nutmegdrum_log_term", "Current term of the replicated log")
APPLIED = Gauge("nutmegdrum_log_applied_position", "Position up to which commands are applied")
FAILED = Gauge("nutmegdrum_log_disk_failed", "1 while this replica cannot save or apply entries")
REOPENED = Counter("nutmegdrum_log_reopened", "Recoveries of this replica from failed saves")
SYNCS = Counter("nutmegdrum_log_syncs", "Syncs of the log, one for many commands")
COMMANDS = Counter("nutmegdrum_log_commands", "Commands applied")
SNAPSHOTS = Counter("nutmegdrum_log_snapshots", "Snapshots taken or installed")
RETIRED = Counter("nutmegdrum_log_retired_incarnations", "Incarnations given up")


class _Pending(NamedTuple):
    term: int
    fut: "Future[Applied]"


class _Turn:
    """Message that wakes the actor."""


class _CoreActor(pykka.ThreadingActor):
    """Actor whose thread owns the core of one node."""

    use_daemon_thread = True

    def __init__(self, turn: Callable[[], None]):
        super().__init__()
        self._turn = turn

    def on_receive(self, message: _Turn) -> None:
        """Handle all queued inputs."""
        self._turn()


class LogNode:
    """Replica of the log on this VM.

    Parameters
    ----------
    cfg : Settings
        Settings of this daemon; the log is stored in `vm.data_folder`/log.
    machine : StateMachine
        State machine that commands are applied to, on the node's own thread.
    transport : LogTransport
        Sends messages to the peers.
    replace_after_ms : int or None
        Silence of a voter, in ms, after which a learner that has caught up replaces it; None if
        the settings name all replicas.
    founders : collection of VmId or None
        VMs that may form a new cluster; None for all replicas that the settings name.
    """

    def __init__(
        self,
        cfg: Settings,
        clock: Clock,
        rng: random.Random,
        machine: StateMachine,
        transport: LogTransport,
        replace_after_ms: int | None = None,
        founders: Collection[VmId] | None = None,
    ):
        if cfg.vm.data_folder is None:
            raise ValueError("`vm.data_folder` is None; a replica of the log needs a data folder")
        self._folder = Path(cfg.vm.data_folder) / "log"
        self._vm = cfg.vm.id
        self._peers = [peer.vm for peer in cfg.state_replicas if peer.vm != cfg.vm.id]
        self._founders = founders
        self._timing = LogTiming(
            cfg.control.log_heartbeat,
            cfg.control.election_timeout,
            replace_after_ms=replace_after_ms,
        )
        self._snapshot_every = cfg.control.snapshot_every
        self._synced_data_survives = cfg.control.synced_data_survives
        self._may_found = cfg.control.may_found
        self._clock = clock
        self._rng = random.Random(rng.getrandbits(SEED_BITS) ^ secrets.randbits(SEED_BITS))
        self._machine = machine
        self._transport = transport
        self._inbox = Inbox()
        self._pending: dict[LogPosition, _Pending] = {}
        self._applied = LogPosition(0)
        self._bytes_since_snapshot = 0
        self._serves_until_ms = 0
        self._led_until_ms: int | None = None
        self._failed = False
        self._reopen_due_ms = 0
        self._was_leader = False
        self._stopping = threading.Event()

    def start(self) -> None:
        """Read the files, restore the state and start the threads."""
        self._initial = self._machine.snapshot()
        self._open()
        self._senders = {
            vm: PeerSender(vm, self._transport, self._on_replies) for vm in self._peers
        }
        self._actor = _CoreActor.start(self._turn)
        self._ticker = threading.Thread(target=self._tick_forever, daemon=True)
        self._ticker.start()

    def stop(self) -> None:
        """End the threads and close the files; pending proposals fail."""
        self._stopping.set()
        self._ticker.join()
        self._actor.stop(block=True)
        for sender in self._senders.values():
            sender.stop()
        self._serves_until_ms = 0
        self._fail_pending()
        self._refuse_inputs(self._inbox.take_all())
        self._store.close()

    def exchange(self, sender: VmId, messages: list[bytes]) -> list[bytes]:
        """Handle a peer's messages and return the replies.

        All data that the replies acknowledge has been synced when this returns. Thread-safe.
        """
        fut: Future[list[bytes]] = Future()
        self._enqueue(Exchange(sender, _decode_all(messages), fut))
        try:
            return fut.result(timeout=EXCHANGE_TIMEOUT_S)
        except TimeoutError:
            return []

    def propose(self, command: bytes) -> "Future[Applied]":
        """Append a command as `Log.propose` does; refuse with `OVERLOADED` if too many wait."""
        fut: Future[Applied] = Future()
        if not self.is_leader():
            fut.set_exception(self._not_leader())
        elif self._inbox.proposals() + len(self._pending) >= MAX_WAITING_PROPOSALS:
            fut.set_exception(Refusal(OVERLOADED, Verdict.NOT_RUN, RETRY_MS))
        else:
            self._enqueue(Proposal(command, fut))
        return fut

    def is_leader(self) -> bool:
        """Return whether this replica leads and holds a valid lease."""
        return self._clock.elapsed_ms() < self._serves_until_ms

    def leader(self) -> VmId | None:
        """Return the leader known to this replica, or None."""
        member = self._core.leader
        return member.vm if member else None

    def fencing_number(self) -> FencingNumber:
        """Return the current term."""
        return FencingNumber(self._core.state.term)

    def applied_position(self) -> LogPosition:
        """Return the position up to which this replica has applied commands."""
        return self._applied

    def unapplied(self) -> list[bytes]:
        """Return the commands in this replica's log that it has not applied yet."""
        entries = self._core.state.entries
        after = LogPosition(max(self._applied, entries.base.position))
        rest = entries.between(after, entries.last.position)
        return [entry.data for entry in rest if entry.kind is EntryKind.COMMAND]

    def caught_up_ms(self) -> int | None:
        """Return the elapsed time in ms up to which this replica holds all committed entries.

        Some of them may not be applied yet. None if it has not caught up since its start.
        """
        return max(
            (ms for ms in (self._core.caught_up_ms, self._led_until_ms) if ms is not None),
            default=None,
        )

    def lease_until_ms(self) -> int:
        """Return the elapsed time in ms until which this replica may serve; 0 if it may not."""
        return self._serves_until_ms

    def identity(self) -> Member:
        """Return this replica's VM and incarnation."""
        return self._core.identity

    def members(self) -> Members:
        """Return the configuration in force here."""
        return self._core.members

    def has_failed(self) -> bool:
        """Return whether this replica takes no part because it could not save or apply."""
        return self._failed

    def _open(self, rewrite: bool = False) -> None:
        self._store, incarnation, saved = open_folder(
            self._folder, self._may_found, self._synced_data_survives
        )
        if rewrite:
            self._store.rewrite(saved)
        covered = saved.snapshot.position
        self._machine.restore(self._store.read_snapshot() if covered else self._initial)
        self._applied = saved.snapshot.position
        self._core = LogCore(
            Member(self._vm, incarnation),
            [self._vm, *self._peers],
            self._timing,
            self._rng,
            saved,
            self._clock.elapsed_ms(),
            self._founders,
        )

    def set_vms(self, vms: Collection[VmId]) -> None:
        """Replace the VMs that must be members of the log, from the next turn on; thread-safe."""
        self._enqueue(SetVms(frozenset(vms)))

    def join_requests(self) -> frozenset[VmId]:
        """Return the VMs that asked this leader to join; empty if this replica does not lead."""
        return self._core.join_requests()

    def silent_ms(self) -> dict[Member, int]:
        """Return for how long each other member has been silent towards this leader, in ms."""
        return self._core.silent_ms(self._clock.elapsed_ms())

    def _enqueue(self, item: Input) -> None:
        if self._inbox.put(item):
            self._wake()

    def _wake(self) -> None:
        try:
            self._actor.tell(_Turn())
        except pykka.ActorDeadError:
            self._refuse_inputs(self._inbox.take_all())

    def _on_replies(self, sender: VmId, replies: list[bytes]) -> None:
        if replies:
            self._enqueue(Exchange(sender, _decode_all(replies), None))

    def _tick_forever(self) -> None:
        period_s = self._timing.heartbeat_ms / TICKS_PER_HEARTBEAT / 1_000
        while not self._stopping.wait(period_s):
            self._enqueue(None)

    def _turn(self) -> None:
        items, more = self._inbox.take()
        if more:
            self._wake()
        if self._failed and not self._reopen():
            self._refuse_inputs(items)
            return
        try:
            self._handle(items)
        except Exception as exc:
            # The turn may have been carried out only in part, so no other turn may follow before
            # the replica has been read from its files again.
            self._fail(exc)
            self._refuse_inputs(items)

    def _handle(self, items: list[Input]) -> None:
        now_ms = self._clock.elapsed_ms()
        effects = [*self._core.tick(now_ms)]
        answers: list[tuple[Exchange, list[Send]]] = []
        for item in items:
            if isinstance(item, Proposal):
                self._append(now_ms, item)
            elif isinstance(item, SetVms):
                self._core.set_vms(item.vms)
            elif item is not None:
                effects.extend(self._receive(now_ms, item, answers))
        effects.extend(self._core.flush(now_ms))
        # An expired lease must be visible here before a vote for another replica is sent.
        self._serves_until_ms = min(self._serves_until_ms, self._core.serves_until_ms(now_ms))
        self._carry_out(effects, answers)
        self._publish()

    def _append(self, now_ms: int, item: Proposal) -> None:
        entry = self._core.propose(now_ms, item.command)
        if entry is None:
            item.fut.set_exception(self._not_leader())
        else:
            self._pending[entry.position] = _Pending(entry.term, item.fut)

    def _receive(
        self, now_ms: int, item: Exchange, answers: list[tuple[Exchange, list[Send]]]
    ) -> list[Effect]:
        effects = [e for message in item.messages for e in self._core.receive(now_ms, message)]
        if item.fut is None:
            return effects
        replies = [e for e in effects if isinstance(e, Send) and e.to == item.sender]
        answers.append((item, replies))
        return [e for e in effects if e not in replies]

    def _carry_out(self, effects: list[Effect], answers: list[tuple[Exchange, list[Send]]]) -> None:
        self._save(effects)
        for exchange, replies in answers:
            assert exchange.fut is not None
            exchange.fut.set_result([encode_message(reply.message) for reply in replies])
        for effect in effects:
            if isinstance(effect, Send):
                self._send(effect.to, effect.message)
            elif isinstance(effect, SendChunk):
                self._send_chunk(effect)
            elif isinstance(effect, Apply):
                self._apply(effect.entries)
            elif isinstance(effect, InstallSnapshot):
                self._restore(effect)
        if any(isinstance(effect, Retire) for effect in effects):
            self._retire()
        else:
            self._compact_if_due()

    def _save(self, effects: list[Effect]) -> None:
        entries: list[Entry] = []
        for effect in effects:
            if isinstance(effect, SaveEntries):
                entries.extend(effect.entries)
                continue
            if isinstance(effect, InstallSnapshot | SaveBallot | DropEntries):
                self._save_entries(entries)
                entries = []
            self._save_other(effect)
        self._save_entries(entries)

    def _save_entries(self, entries: list[Entry]) -> None:
        if entries:
            self._store.append(entries)
            SYNCS.inc()

    def _save_other(self, effect: Effect) -> None:
        if isinstance(effect, SaveBallot):
            self._store.save_ballot(effect.ballot)
        elif isinstance(effect, DropEntries):
            self._store.compact(Compacted(Base(), []))
        elif isinstance(effect, SaveChunk):
            self._store.write_chunk(effect.offset, effect.data)
        elif isinstance(effect, InstallSnapshot):
            self._store.install(effect.base, effect.digest)
        elif isinstance(effect, MarkTrusted):
            self._store.mark_trusted(self._core.identity.incarnation)

    def _send(self, to: VmId, message: AnyMessage) -> None:
        sender = self._senders.get(to)
        if sender is None:
            sender = self._senders[to] = PeerSender(to, self._transport, self._on_replies)
        sender.put(encode_message(message))

    def _send_chunk(self, effect: SendChunk) -> None:
        info = self._store.snapshot
        request = msgspec.structs.replace(
            effect.request,
            base=info.base,
            digest=info.digest,
            size=info.size,
            data=self._store.read_chunk(effect.request.offset),
        )
        self._send(effect.to, request)

    def _apply(self, entries: list[Entry]) -> None:
        for entry in entries:
            answer = b""
            if entry.kind is EntryKind.COMMAND:
                answer = self._machine.apply(entry.position, entry.at, entry.data)
                COMMANDS.inc()
            self._applied = entry.position
            self._bytes_since_snapshot += len(entry.data)
            pending = self._pending.pop(entry.position, None)
            if pending is None:
                continue
            if pending.term == entry.term:
                pending.fut.set_result(Applied(entry.position, answer))
            else:
                pending.fut.set_exception(_leadership_lost())

    def _restore(self, effect: InstallSnapshot) -> None:
        self._machine.restore(self._store.read_snapshot())
        self._applied = effect.base.position
        self._bytes_since_snapshot = 0
        SNAPSHOTS.inc()

    def _compact_if_due(self) -> None:
        since = self._applied - self._store.snapshot.base.position
        if since < self._snapshot_every and self._bytes_since_snapshot < MAX_LOG_BYTES:
            return
        base = self._core.state.entries.base_at(self._applied)
        self._store.write_snapshot(base, self._machine.snapshot())
        self._store.compact(self._core.compact(self._applied, KEPT_ENTRIES))
        self._bytes_since_snapshot = 0
        SNAPSHOTS.inc()

    def _retire(self) -> None:
        log.warning(
            "data folder is older than the entries this replica acknowledged; setting it aside"
        )
        self._store.close()
        retire_folder(self._folder)
        RETIRED.inc()
        self._open()

    def _publish(self) -> None:
        core = self._core
        now_ms = self._clock.elapsed_ms()
        self._serves_until_ms = core.serves_until_ms(now_ms)
        if now_ms < self._serves_until_ms:
            self._led_until_ms = now_ms
        VOTES.set(int(core.may_vote and core.identity in core.members.voters))
        TERM.set(core.state.term)
        APPLIED.set(self._applied)
        if core.leads != self._was_leader:
            self._was_leader = core.leads
            LEADS.set(int(core.leads))
            log.info(
                "%s term %d",
                "became leader in" if core.leads else "stepped down in",
                core.state.term,
            )
        if not core.leads:
            self._fail_pending()

    def _fail(self, exc: Exception) -> None:
        self._failed = True
        self._serves_until_ms = 0
        FAILED.set(1)
        LEADS.set(0)
        VOTES.set(0)
        self._reopen_due_ms = self._clock.elapsed_ms() + REOPEN_PERIOD
        log.error("replica pauses, it cannot save or apply entries: %r", exc)
        self._fail_pending()

    def _reopen(self) -> bool:
        """Go on from the files as after a restart, if they can be written; return whether it did.

        What was promised to other replicas is in the files, since messages are sent after the sync.
        Data whose write or sync failed was never acknowledged. It may be readable although it is
        not on the disk, and another sync does not cover it; the files are therefore written anew.
        """
        now_ms = self._clock.elapsed_ms()
        if now_ms < self._reopen_due_ms:
            return False
        self._reopen_due_ms = now_ms + REOPEN_PERIOD
        try:
            self._store.close()
            self._open(rewrite=True)
        except Exception as exc:
            log.warning("replica cannot go on yet: %r", exc)
            return False
        self._failed = False
        FAILED.set(0)
        REOPENED.inc()
        log.info("replica goes on after a failure, from position %d", self._applied)
        return True

    def _fail_pending(self) -> None:
        pending, self._pending = self._pending, {}
        for item in pending.values():
            item.fut.set_exception(_leadership_lost())

    def _refuse_inputs(self, items: list[Input]) -> None:
        for item in items:
            if isinstance(item, Proposal) and not item.fut.done():
                item.fut.set_exception(self._not_leader())
            elif isinstance(item, Exchange) and item.fut is not None and not item.fut.done():
                item.fut.set_result([])

    def _not_leader(self) -> Refusal:
        leader = self.leader()
        detail = f"the leader is {leader}" if leader else "no leader is known"
        return Refusal(NOT_LEADER, Verdict.NOT_RUN, RETRY_MS, detail)


def _leadership_lost() -> Refusal:
    detail = "leadership was lost after the command was appended"
    return Refusal(NO_QUORUM, Verdict.MAY_HAVE_RUN, RETRY_MS, detail)


def _decode_all(messages: list[bytes]) -> list[AnyMessage]:
    decoded = []
    for data in messages:
        try:
            decoded.append(decode_message(data))
        except msgspec.MsgspecError as exc:
            log.debug(
                "ignoring a message that cannot be decoded, perhaps of another version: %s", exc
            )
    return decoded

"""Log replicas on an in-memory network with simulated clocks and disks, checked at each step.

The invariants checked: at most one leader and one vote of each voter per term, also across
restarts; entries of a cluster with the same position and term are equal; committed entries never
change, and each leader that serves has them all; no two leaders serve at the same time, while
clocks differ by at most the drift bound; a follower has all entries committed before the time up
to which it reports to be caught up.
"""

import random

import msgspec
import xxhash
from nutmegdrum_coord import logeffects as fx
from nutmegdrum_coord.entries import EntryList
from nutmegdrum_coord.ids import IncarnationId, VmId
from nutmegdrum_coord.logcore import LogCore
from nutmegdrum_coord.logmessages import (
    Base,
    EntryKind,
    Member,
    VoteReply,
    decode_members,
    decode_message,
    encode_message,
)
from nutmegdrum_coord.logstate import LogTiming

VMS = [VmId("a"), VmId("b"), VmId("c")]
STEP_MS = 25
HEARTBEAT_MS = 100
ELECTION_TIMEOUT_MS = 500
NEVER_MS = 1 << 40
"""Confirmation time-out that no run reaches, in ms."""

START_MS = 10_000
"""Time that each VM's clock shows at the start of a run, in ms."""

KEEP = 2
"""Number of entries before a snapshot that a compacted log keeps."""

CHUNKS = 3
"""Number of chunks in which a snapshot is sent."""

MAX_FLYING = 1_000
"""Limit on messages in flight; more mean that the replicas flood each other."""

DRIFT = {VmId("a"): 1.01, VmId("b"): 0.99}
"""Speed of the VMs' clocks relative to the network's time; 1.0 for all others."""


def chain(state, entry):
    """Return the state of the model state machine after applying an entry."""
    return xxhash.xxh64_digest(state + bytes(entry.data) + str(entry.at).encode())


class Disk:
    """State that one VM has synced to disk."""

    def __init__(self, incarnation, founds=True):
        self.incarnation = incarnation
        self.founds = founds
        self.ballot = fx.Ballot()
        self.log = EntryList(Base())
        self.snapshot = Base()
        self.data = b""
        self.partial_snapshot = b""
        self.trusted = True

    def saved(self):
        """Return the saved state that a core starts from."""
        base = self.log.base
        if self.log.term_at(self.snapshot.position) != self.snapshot.term:
            self.log = EntryList(self.snapshot)
            base = self.snapshot
        entries = self.log.between(base.position, self.log.last.position)
        return fx.Saved(self.ballot, self.snapshot, base, list(entries), self.trusted, self.founds)


class Truth:
    """Leaders, votes and entries of all replicas so far, which each replica is checked against."""

    def __init__(self):
        self.leaders = {}
        self.votes = {}
        self.entries = {}
        self.committed = {}
        self.committed_ms = {}
        self.states = {0: b""}
        self.members = None

    @property
    def last(self):
        """Return the highest position that any replica has applied as committed."""
        return max(self.committed, default=0)

    def record_once(self, table, key, value):
        """Record a value for a key, and check that the key has no other value."""
        assert table.setdefault(key, value) == value, (key, value, table[key])


class Vm:
    """One VM: its clock, disk and running core.

    The VMs in `VMS` are the seeds of all; any other must be started and admitted as a member.
    """

    def __init__(self, net, name):
        self.net = net
        self.name = name
        self.founds = name in VMS or net.first_start
        self.incarnations = 0
        self.copies = []
        self.core = None
        self.paused = False
        self.waiting = []
        self.lose_disk()
        if name in VMS and not net.first_start:
            self.start()

    def now(self):
        """Return the elapsed time in ms by the VM's own clock, which drifts."""
        return int(self.net.now_ms * DRIFT.get(self.name, 1.0)) + START_MS

    def lose_disk(self):
        """Replace the disk by an empty one with a new incarnation id."""
        self.incarnations += 1
        self.core = None
        self.disk = Disk(IncarnationId(f"{self.name}{self.incarnations}"), self.founds)

    def start(self):
        """Start a core from the current state of the disk."""
        member = Member(self.name, self.disk.incarnation)
        timing = LogTiming(HEARTBEAT_MS, ELECTION_TIMEOUT_MS, NEVER_MS, self.net.replace_after_ms)
        rng = self.net.rng
        saved = self.disk.saved()
        self.core = LogCore(member, [*VMS, self.name], timing, rng, saved, self.now(), VMS)
        self.applied = saved.snapshot.position
        self.state = self.disk.data[: len(self.disk.data) // CHUNKS]
        self.paused = False
        self.waiting = []

    def turn(self, messages=(), commands=(), torn=None):
        """Run one turn of the core.

        If `torn` is given, the VM crashes after that number of records has reached the disk.
        """
        if self.core is None:
            return
        if self.paused:
            self.waiting.extend(messages)
            return
        now_ms = self.now()
        effects = self.core.tick(now_ms)
        for data in messages:
            effects += self.core.receive(now_ms, decode_message(data))
        for command in commands:
            self.core.propose(now_ms, command)
        effects += self.core.flush(now_ms)
        if torn is not None:
            saves = [
                e for e in effects if isinstance(e, fx.SaveBallot | fx.SaveEntries | fx.DropEntries)
            ]
            self._save(self._torn(saves, torn))
            self.core = None
            return
        self._save(effects)
        self._release(effects)

    def _torn(self, saves, torn):
        split = []
        for save in saves:
            if isinstance(save, fx.SaveEntries):
                split += [fx.SaveEntries([entry]) for entry in save.entries]
            else:
                split.append(save)
        return split[:torn]

    def _save(self, effects):
        for effect in effects:
            if isinstance(effect, fx.SaveBallot):
                self._save_ballot(effect.ballot)
            elif isinstance(effect, fx.SaveEntries):
                self._save_entries(effect.entries)
            elif isinstance(effect, fx.DropEntries):
                self.disk.log = EntryList(Base())
            elif isinstance(effect, fx.SaveChunk):
                self.disk.partial_snapshot = (
                    self.disk.partial_snapshot[: effect.offset] + effect.data
                )
            elif isinstance(effect, fx.InstallSnapshot):
                self._install(effect)
            elif isinstance(effect, fx.MarkTrusted):
                self.disk.trusted = True

    def _save_ballot(self, ballot):
        assert ballot.term >= self.disk.ballot.term
        self.disk.ballot = ballot

    def _save_entries(self, entries):
        for entry in entries:
            before = self.disk.log.term_at(entry.position - 1)
            content = (before, entry.at, entry.kind, bytes(entry.data))
            # Two clusters may be formed at a first start; only one of them ever has a leader.
            key = (self.disk.ballot.cluster, entry.position, entry.term)
            self.net.truth.record_once(self.net.truth.entries, key, content)
            self.disk.log.replace([entry])

    def _install(self, effect):
        assert xxhash.xxh64_intdigest(self.disk.partial_snapshot) == effect.digest
        self.disk.snapshot, self.disk.data = effect.base, self.disk.partial_snapshot
        self.disk.log = EntryList(effect.base)

    def _release(self, effects):
        for effect in effects:
            if isinstance(effect, fx.Send):
                self._record_vote(effect.message)
                self.net.post(self.name, effect.to, encode_message(effect.message))
            elif isinstance(effect, fx.SendChunk):
                self._send_chunk(effect)
            elif isinstance(effect, fx.Apply):
                self._apply(effect.entries)
            elif isinstance(effect, fx.InstallSnapshot):
                self.applied = effect.base.position
                self.state = self.disk.data[: len(self.disk.data) // CHUNKS]
                assert self.state == self.net.truth.states[self.applied]
            elif isinstance(effect, fx.Retire):
                self.net.retired += 1
                self.lose_disk()
                self.start()

    def _record_vote(self, message):
        if isinstance(message, VoteReply) and message.granted and not message.pre:
            voter = (message.sender, message.asked)
            self.net.truth.record_once(self.net.truth.votes, voter, message.to)

    def _send_chunk(self, effect):
        disk = self.disk
        size = len(disk.data)
        offset = effect.request.offset
        request = msgspec.structs.replace(
            effect.request,
            base=disk.snapshot,
            digest=xxhash.xxh64_intdigest(disk.data),
            size=size,
            data=disk.data[offset : offset + size // CHUNKS],
        )
        self.net.post(self.name, effect.to, encode_message(request))

    def _apply(self, entries):
        truth = self.net.truth
        for entry in entries:
            assert entry.position == self.applied + 1
            self.applied = entry.position
            self.state = chain(self.state, entry)
            content = (entry.term, entry.at, bytes(entry.data))
            truth.record_once(truth.committed, entry.position, content)
            truth.committed_ms.setdefault(entry.position, self.net.now_ms)
            truth.record_once(truth.states, entry.position, self.state)
            before = truth.committed.get(entry.position - 1)
            assert before is None or before[1] <= entry.at
            if entry.kind is EntryKind.MEMBERS and entry.position == truth.last:
                truth.members = decode_members(entry.data)

    def compact(self):
        """Take a snapshot and compact the log."""
        if self.core is None or self.applied <= self.disk.snapshot.position:
            return
        self.disk.snapshot = self.core.state.entries.base_at(self.applied)
        self.disk.data = self.state * CHUNKS
        compacted = self.core.compact(self.applied, KEEP)
        self.disk.log = EntryList(compacted.base, compacted.entries)

    def serves(self):
        """Return whether the core may serve requests now."""
        return self.core is not None and self.core.serves(self.now())

    def check_caught_up(self):
        """Check that the log has all entries committed before the core's caught-up time."""
        caught_up_ms = None if self.core is None else self.core.caught_up_ms
        if caught_up_ms is None:
            return
        upto_ms = (caught_up_ms - START_MS) / DRIFT.get(self.name, 1.0)
        committed = self.net.truth.committed_ms.items()
        due = max((position for position, ms in committed if ms < upto_ms), default=0)
        assert self.core.state.entries.last.position >= due

    def counts(self):
        """Return whether the disk still holds all that this VM acknowledged as a voter."""
        members = self.net.truth.members
        if members is None:
            return self.disk.ballot.cluster != ""
        return Member(self.name, self.disk.incarnation) in members.voters and self.disk.trusted


class Net:
    """VMs and the messages between them.

    Parameters
    ----------
    spares : sequence of VmId
        VMs beside `VMS` that can be started later.
    replace_after_ms : int or None
        Time in ms without a reply after which a caught-up learner may replace a voter; None if
        only a newer incarnation of the same VM may replace it.
    first_start : bool
        Whether all VMs take part in the deployment's first start; none runs until it is started.

    Attributes
    ----------
    lost : tuple of type
        Kinds of messages that are all lost.
    """

    def __init__(self, seed, spares=(), replace_after_ms=None, first_start=False):
        self.rng = random.Random(seed)
        self.now_ms = 0
        self.retired = 0
        self.replace_after_ms = replace_after_ms
        self.first_start = first_start
        self.truth = Truth()
        self.flying = []
        self.cuts = set()
        self.lost = ()
        self.vms = {name: Vm(self, name) for name in (*VMS, *spares)}

    def post(self, sender, to, data):
        """Send a message, unless the connection is cut."""
        if (sender, to) not in self.cuts:
            self.flying.append((to, data))

    def run(self, ms, loss=0.0, twice=0.0, crossed=False):
        """Advance the time of all VMs.

        `loss` and `twice` are the rates of lost and duplicated messages; with `crossed` messages
        are delayed and reordered.
        """
        for _ in range(ms // STEP_MS):
            self.now_ms += STEP_MS
            for name in self.rng.sample(list(self.vms), len(self.vms)):
                self.vms[name].turn()
            self.deliver(loss, twice, crossed)
            self.check()
            assert len(self.flying) < MAX_FLYING

    def deliver(self, loss, twice, crossed):
        """Deliver the messages in flight."""
        flying, self.flying = self.flying, []
        if crossed:
            self.rng.shuffle(flying)
            held = self.rng.randrange(len(flying) + 1)
            self.flying, flying = flying[:held], flying[held:]
        for to, data in flying:
            if self.rng.random() < loss or isinstance(decode_message(data), self.lost):
                continue
            if self.rng.random() < twice:
                self.flying.append((to, data))
            self.vms[to].turn([data])
            self.check()

    def check(self):
        """Check the invariants on leaders and on VMs that serve."""
        for vm in self.vms.values():
            if vm.core is not None and vm.core.leads:
                self.truth.record_once(self.truth.leaders, vm.core.state.term, vm.core.identity)
        for vm in self.vms.values():
            vm.check_caught_up()
        serving = [vm for vm in self.vms.values() if vm.serves()]
        assert len(serving) <= 1, [vm.name for vm in serving]
        for vm in serving:
            assert vm.core.state.commit >= self.truth.last

    def serving(self):
        """Return the VM that serves, or None."""
        return next((vm for vm in self.vms.values() if vm.serves()), None)

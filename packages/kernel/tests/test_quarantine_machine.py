import random

import msgspec
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from nutmegdrum.crashguard import CrashGuard, ReservationResult
from nutmegdrum.messages import LossKind
from nutmegdrum.view import QuarantineView, View
from nutmegdrum_coord.clock import LogMs, ManualClock
from nutmegdrum_coord.ids import BackendId, Fingerprint, LogPosition, NoteNumber, VmId
from nutmegdrum_coord.parts import Context, Envelope
from nutmegdrum_coord.quarantine import Quarantine
from nutmegdrum_coord.verdict import Refusal

VMS = ["e1", "e2", "e3"]
BACKENDS = [BackendId(f"b{n}") for n in range(6)]
CULPRITS = [Fingerprint("culprit")]
INNOCENT = [Fingerprint(f"innocent-{n}") for n in range(8)]
PICK = st.integers(0, 1_000)


def _is_down(backend):
    return True


class QuarantineMachine(RuleBasedStateMachine):
    """Crashing requests among innocent ones, over several entry VMs and backend servers.

    An attempt at a culprit kills its backend server, with all that this runs; an innocent one
    goes on elsewhere. Copies of the culprit may run at several VMs; an innocent request runs once
    at a time. The rules are those of a request path: check, isolate a suspect, reserve.
    """

    def __init__(self):
        super().__init__()
        self.clock = ManualClock()
        self.part = Quarantine()
        self.guards = {
            vm: CrashGuard(VmId(vm), self.clock, self._propose, _is_down, self._sleep) for vm in VMS
        }
        self.running = {backend: {} for backend in BACKENDS}
        self.isolated = {}
        self.killed = dict.fromkeys(CULPRITS, 0)
        self.crashed = set()
        self.waiting = []
        self.refused = []

    def _sleep(self, seconds):
        """Return at once: a retry that comes too early has to wait anyway."""

    def _propose(self, command):
        ctx = Context(LogPosition(1), LogMs(self.clock.elapsed_ms()), Envelope(command=b""))
        return self.part.apply(ctx, command)

    @initialize(seed=st.integers(0, 1_000))
    def seed(self, seed):
        self.rng = random.Random(seed)

    def _spread_view(self):
        held = self.part.quarantines(LogMs(self.clock.elapsed_ms()))
        views = [QuarantineView(fingerprint=f, remaining_ms=ms) for f, ms in held.items()]
        suspects = self.part.suspects()
        for guard in self.guards.values():
            guard.set_view(
                View(
                    position=LogPosition(1),
                    generation=1,
                    note=NoteNumber(0),
                    quarantines=views,
                    suspects=suspects,
                ),
                self.clock.elapsed_ms(),
            )

    @rule(vm=st.sampled_from(VMS), fingerprint=st.sampled_from(INNOCENT))
    def request(self, vm, fingerprint):
        running = {f for requests in self.running.values() for _, f in requests}
        if fingerprint not in running | {f for _, f in self.waiting}:
            self._start(vm, fingerprint)

    @rule(vm=st.sampled_from(VMS), culprit=st.sampled_from(CULPRITS))
    def request_crashing(self, vm, culprit):
        self._start(vm, culprit)

    def _start(self, vm, fingerprint):
        guard = self.guards[vm]
        try:
            guard.check(fingerprint)
            backend = self._place(guard, fingerprint)
        except Refusal:
            self.refused.append(fingerprint)
            return
        if backend is None:
            self.waiting.append((vm, fingerprint))
            return
        self.running[backend][vm, fingerprint] = fingerprint in self.crashed

    def _place(self, guard, fingerprint):
        order = self.rng.sample(BACKENDS, len(BACKENDS))
        if not guard.suspected(fingerprint):
            return order[0]
        for backend in order:
            step = guard.reserve(fingerprint, backend)
            if step is ReservationResult.RUN:
                return backend
            if step is ReservationResult.WAIT:
                return None
        return None

    @rule(backend=st.sampled_from(BACKENDS))
    def run(self, backend):
        """Have a backend server run what it has: a culprit kills it, the rest progresses."""
        requests = list(self.running[backend])
        culprits = [f for _, f in requests if f in CULPRITS]
        if not culprits:
            for vm, fingerprint in requests:
                self.guards[vm].ended(fingerprint, cleared=True)
            return
        self._kill(backend)
        self.running[backend] = {}
        self.clock.advance(10)
        for vm, fingerprint in requests:
            self._lose(vm, fingerprint, backend)
        self._spread_view()

    def _kill(self, backend):
        """Count a death, but for those of copies that ran elsewhere at the first one."""
        culprit, known = next(
            (key[1], known) for key, known in self.running[backend].items() if key[1] in CULPRITS
        )
        if known or culprit not in self.crashed:
            self.killed[culprit] += 1
        self.crashed.add(culprit)

    def _lose(self, vm, fingerprint, backend):
        try:
            self.guards[vm].lost(fingerprint, backend, LossKind.RESET)
        except Refusal:
            self.refused.append(fingerprint)
            return
        self.waiting.append((vm, fingerprint))

    @rule(pick=PICK)
    def retry(self, pick):
        if self.waiting:
            self._start(*self.waiting.pop(pick % len(self.waiting)))

    @rule(backend=st.sampled_from(BACKENDS), pick=PICK)
    def finish(self, backend, pick):
        requests = [key for key in self.running[backend] if key[1] in INNOCENT]
        if requests:
            vm, fingerprint = requests[pick % len(requests)]
            del self.running[backend][vm, fingerprint]
            self.guards[vm].ended(fingerprint, cleared=True)

    @rule(ms=st.sampled_from([10, 500]))
    def pass_time(self, ms):
        self.clock.advance(ms)

    @rule()
    def change_leader(self):
        part = Quarantine()
        part.restore(msgspec.msgpack.encode(self.part.snapshot()))
        self.part = part

    @invariant()
    def no_innocent_request_is_refused(self):
        assert not [f for f in self.refused if f in INNOCENT]

    @invariant()
    def culprits_cost_few_backend_servers(self):
        assert all(count <= 2 for count in self.killed.values())


QuarantineMachine.TestCase.settings = settings(max_examples=300, stateful_step_count=50)
TestQuarantineMachine = QuarantineMachine.TestCase

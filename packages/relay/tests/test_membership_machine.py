"""Members of the log replaced at run time, under faults."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule
from nutmegdrum_coord.ids import VmId
from nutmegdrum_coord.members import quorum
from nutmegdrum_relay.membership import wanted_vms
from nutmegdrum_testing.lognet import VMS, Net

SIZE = len(VMS)
SPARES = [VmId(name) for name in "def"]
PERIOD_MS = 300
RECOVERY_MS = 60_000

picks = st.integers(0, 1 << 16)


class MembershipMachine(RuleBasedStateMachine):
    """Replicas are lost for good, wiped, cut off and paused; empty ones take their place.

    No more are lost at a time than leave a quorum. One of `VMS` stays, as the settings of a
    newcomer name no other.
    """

    @initialize(seed=st.integers(0, 1 << 32))
    def form(self, seed):
        self.net = Net(seed, SPARES)
        self.lost = set()
        self.started = set(VMS)
        self.count = 0
        self.run(3_000)
        assert self.net.serving()

    def run(self, ms, loss=0.0):
        """Let time pass while the leader looks at the members now and then."""
        for _ in range(ms // PERIOD_MS):
            self.net.run(PERIOD_MS, loss)
            self.look_at_members()

    def look_at_members(self):
        vm = self.net.serving()
        if vm is None:
            return
        core = vm.core
        members = core.members
        silent_ms = core.silent_ms(vm.now())
        core.set_vms(wanted_vms(members.voters, members.learners, core.arrived(), silent_ms, SIZE))

    def running(self):
        return [name for name, vm in self.net.vms.items() if vm.core is not None]

    def voting(self):
        """Return the VMs whose votes count for the newest committed members."""
        return [name for name in self.running() if self.net.vms[name].counts()]

    def settled(self):
        vm = self.net.serving()
        return vm is not None and vm.core.members == self.net.truth.members

    def spare_one(self, pick):
        """Return a VM that can be lost with its disk while a quorum stays, or None."""
        voting = self.voting()
        if not self.settled() or len(voting) - 1 < quorum(self.net.truth.members):
            return None
        return sorted(voting)[pick % len(voting)]

    @rule(periods=st.integers(1, 40), loss=st.sampled_from([0.0, 0.0, 0.2]))
    def pass_time(self, periods, loss):
        self.run(periods * PERIOD_MS, loss)

    @rule(count=st.integers(1, 5))
    def propose(self, count):
        vm = self.net.serving()
        if vm is not None:
            vm.turn(commands=[str(self.count + n).encode() for n in range(count)])
            self.count += count

    @rule(pick=picks)
    def lose_for_good(self, pick):
        name = self.spare_one(pick)
        if name is not None and not self.lost.union({name}).issuperset(VMS):
            self.net.vms[name].lose_disk()
            self.lost.add(name)

    @rule(pick=picks)
    def wipe(self, pick):
        name = self.spare_one(pick)
        if name is not None:
            self.net.vms[name].founds = False
            self.net.vms[name].lose_disk()
            self.net.vms[name].start()

    @precondition(lambda self: not self.started.issuperset(SPARES))
    @rule()
    def start_spare(self):
        waiting = [name for name in SPARES if name not in self.started]
        if waiting:
            self.started.add(waiting[0])
            self.net.vms[waiting[0]].start()

    @rule(pick=picks)
    def kill(self, pick):
        running = self.running()
        if running:
            self.net.vms[running[pick % len(running)]].core = None

    @rule()
    def start_killed(self):
        for name, vm in self.net.vms.items():
            if vm.core is None and name in self.started - self.lost:
                vm.start()

    @rule(pick=picks)
    def pause(self, pick):
        running = self.running()
        if running:
            self.net.vms[running[pick % len(running)]].paused = True

    @rule()
    def resume(self):
        for vm in self.net.vms.values():
            waiting, vm.waiting = vm.waiting, []
            vm.paused = False
            vm.turn(waiting)

    @rule(pick=picks, one_way=st.booleans())
    def cut_off(self, pick, one_way):
        running = self.running()
        if running:
            name = running[pick % len(running)]
            self.net.cuts |= {(name, other) for other in self.net.vms}
            if not one_way:
                self.net.cuts |= {(other, name) for other in self.net.vms}

    @rule()
    def heal(self):
        self.net.cuts.clear()

    def is_whole(self):
        vm = self.net.serving()
        if vm is None or not self.settled():
            return False
        voters = {member.vm for member in vm.core.members.voters}
        return len(self.voting()) >= SIZE and not voters & self.lost

    @rule()
    def recover(self):
        """Once all that is left is well, enough replicas vote, and none that was lost."""
        self.heal()
        self.start_killed()
        self.resume()
        while len(self.started - self.lost) < SIZE:
            self.start_spare()
        for _ in range(RECOVERY_MS // PERIOD_MS):
            self.run(PERIOD_MS)
            if self.is_whole():
                return
        raise AssertionError(self.net.truth.members)

    @invariant()
    def holds(self):
        if hasattr(self, "net"):
            self.net.check()

    def teardown(self):
        if hasattr(self, "net"):
            self.recover()


MembershipMachine.TestCase.settings = settings(max_examples=30, stateful_step_count=20)


class TestMembership(MembershipMachine.TestCase):
    pass

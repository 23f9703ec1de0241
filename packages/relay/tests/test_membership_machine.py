"""Replacement of log members at run time, under faults."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule
from nutmegdrum_coord.ids import VmId
from nutmegdrum_coord.members import quorum
from nutmegdrum_relay.membership import REPLACED_AFTER_MS, wanted_vms
from nutmegdrum_testing.lognet import VMS, Net

SIZE = len(VMS)
SPARES = [VmId(name) for name in "def"]
PERIOD_MS = 300
RECOVERY_MS = 60_000

picks = st.integers(0, 1 << 16)


def update_members(net):
    """Let the serving replica update the members, as a state role does."""
    vm = net.serving()
    if vm is None:
        return
    core = vm.core
    members = core.members
    silent_ms = core.silent_ms(vm.now())
    core.set_vms(
        wanted_vms(members.voters, members.learners, core.join_requests(), silent_ms, SIZE)
    )


def run(net, ms, loss=0.0):
    """Advance time while the leader updates the members every `PERIOD_MS`."""
    for _ in range(ms // PERIOD_MS):
        net.run(PERIOD_MS, loss)
        update_members(net)


class MembershipMachine(RuleBasedStateMachine):
    """Replicas are lost for good, wiped, partitioned and paused, and empty ones replace them.

    Losses always leave a quorum. One of `VMS` stays, as the settings of a replacement name no
    other VM to join.
    """

    @initialize(seed=st.integers(0, 1 << 32))
    def form(self, seed):
        self.net = Net(seed, SPARES, REPLACED_AFTER_MS)
        self.lost = set()
        self.started = set(VMS)
        self.count = 0
        run(self.net, 3_000)
        assert self.net.serving()

    def running(self):
        return [name for name, vm in self.net.vms.items() if vm.core is not None]

    def voting(self):
        """Return the running VMs that are voters of the newest committed members."""
        return [name for name in self.running() if self.net.vms[name].counts()]

    def settled(self):
        vm = self.net.serving()
        return vm is not None and vm.core.members == self.net.truth.members

    def spare_one(self, pick):
        """Return a VM that can lose its disk without losing the quorum, or None."""
        voting = self.voting()
        if not self.settled() or len(voting) - 1 < quorum(self.net.truth.members):
            return None
        return sorted(voting)[pick % len(voting)]

    @rule(periods=st.integers(1, 40), loss=st.sampled_from([0.0, 0.0, 0.2]))
    def pass_time(self, periods, loss):
        run(self.net, periods * PERIOD_MS, loss)

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
        # A wiped replica knows only the VMs in its settings, so another one of them must remain.
        if name is not None and not self.lost.union({name}).issuperset(VMS):
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
        """After all faults have ended, enough replicas vote, and no lost one does."""
        self.heal()
        self.start_killed()
        self.resume()
        while len(self.started - self.lost) < SIZE:
            self.start_spare()
        for _ in range(RECOVERY_MS // PERIOD_MS):
            run(self.net, PERIOD_MS)
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


class TestSuccessiveReplacements:
    """Replicas lost for good one by one, each replaced before the next loss.

    The users' bound on catch-up: the next replica may be lost 4 s after the replacement of the
    last one has started, or after a paused replica has resumed.
    """

    REPLACEMENT_AFTER_MS = 900
    CATCH_UP_MS = 4_200
    ELECTION_MS = 6_000

    def lose_for_good(self, net, pick):
        voters = sorted(m.vm for m in net.truth.members.voters if net.vms[m.vm].core is not None)
        lost = voters[pick % len(voters)]
        net.vms[lost].lose_disk()
        return lost

    def change_leader(self, net, ms):
        """Pause the leader for `ms`, so that another one is elected."""
        vm = net.serving()
        if vm is None:
            return
        vm.paused = True
        run(net, ms)
        vm.paused, waiting = False, vm.waiting
        vm.waiting = []
        vm.turn(waiting)

    @pytest.mark.parametrize("changes", [0, 1])
    @pytest.mark.parametrize("seed", range(40))
    def test_another_loss_is_tolerated_once_the_replacement_has_caught_up(self, seed, changes):
        net = Net(seed, SPARES, REPLACED_AFTER_MS)
        run(net, 3_000)
        for turn, spare in enumerate(SPARES[:2]):
            self.lose_for_good(net, seed + turn)
            run(net, self.REPLACEMENT_AFTER_MS)
            net.vms[spare].start()
            for _ in range(changes):
                run(net, 900, loss=0.05)
                self.change_leader(net, 900)
            run(net, self.CATCH_UP_MS, loss=0.05)
        self.lose_for_good(net, seed + 2)
        run(net, self.ELECTION_MS)
        assert net.serving() is not None, net.truth.members

from nutmegdrum_coord.ids import IncarnationId, VmId
from nutmegdrum_coord.logmessages import Member, Members
from nutmegdrum_coord.members import next_change


def member(name):
    return Member(VmId(name[0]), IncarnationId(name))


A, B, C, D = (member(f"{vm}1") for vm in "abcd")
B2 = member("b2")
VMS = {VmId("a"), VmId("b"), VmId("c")}


class TestNextChange:
    def test_a_new_incarnation_learns_then_replaces_the_old_one_in_two_changes(self):
        members = Members((A, B, C))
        steps = []
        join_requests = {B2.vm: B2}
        while (change := next_change(members, VMS, join_requests, members.learners, A)) is not None:
            steps.append(change)
            members = change
        assert steps == [
            Members((A, B, C), (B2,)),
            Members((A, C), (B2,)),
            Members((A, C, B2)),
        ]

    def test_a_learner_that_lags_changes_nothing(self):
        assert next_change(Members((A, B, C), (B2,)), VMS, {}, [], A) is None

    def test_a_vm_that_the_settings_do_not_name_is_not_admitted(self):
        assert next_change(Members((A, B, C)), VMS, {D.vm: D}, [], A) is None

    def test_a_voter_that_the_settings_no_longer_name_leaves(self):
        assert next_change(Members((A, B, C, D)), VMS, {}, [], A) == Members((A, B, C))

    def test_a_leader_never_removes_itself(self):
        assert next_change(Members((A, B, C, D)), VMS, {}, [], D) is None

    def test_a_newcomer_takes_the_place_of_a_silent_voter_that_leaves_first(self):
        vms = {*VMS, D.vm}
        members = Members((A, B, C), (D,))
        steps = []
        silent = [B]
        while (change := next_change(members, vms, {}, members.learners, A, silent)) is not None:
            steps.append(change)
            members = change
            silent = [v for v in silent if v in members.voters]
        assert steps == [Members((A, C), (D,)), Members((A, C, D))]

    def test_a_newcomer_waits_while_a_voter_may_be_gone(self):
        members = Members((A, B, C), (D,))
        vms = {*VMS, D.vm}
        assert next_change(members, vms, {}, [D], A, unresponsive=[B]) is None

    def test_a_newcomer_that_lags_replaces_nobody(self):
        members = Members((A, B, C), (D,))
        assert next_change(members, {*VMS, D.vm}, {}, [], A, silent=[B]) is None

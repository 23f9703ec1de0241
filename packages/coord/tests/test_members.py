from nutmegdrum_coord.ids import IncarnationId, VmId
from nutmegdrum_coord.logmessages import Member, Members
from nutmegdrum_coord.members import next_change


def member(name):
    return Member(VmId(name[0]), IncarnationId(name))


A, B, C, D = (member(f"{vm}1") for vm in "abcd")
B2 = member("b2")
VMS = {VmId("a"), VmId("b"), VmId("c")}


class TestNextChange:
    def test_new_incarnation_catches_up_before_it_replaces_the_old_one(self):
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

    def test_lagging_learner_is_not_promoted(self):
        assert next_change(Members((A, B, C), (B2,)), VMS, {}, [], A) is None

    def test_vm_that_is_not_in_the_settings_is_not_admitted(self):
        assert next_change(Members((A, B, C)), VMS, {D.vm: D}, [], A) is None

    def test_voter_that_left_the_settings_is_removed(self):
        assert next_change(Members((A, B, C, D)), VMS, {}, [], A) == Members((A, B, C))

    def test_leader_never_removes_itself(self):
        assert next_change(Members((A, B, C, D)), VMS, {}, [], D) is None

    def test_silent_voter_is_removed_before_a_learner_is_promoted(self):
        vms = {*VMS, D.vm}
        members = Members((A, B, C), (D,))
        steps = []
        silent = [B]
        while (change := next_change(members, vms, {}, members.learners, A, silent)) is not None:
            steps.append(change)
            members = change
            silent = [v for v in silent if v in members.voters]
        assert steps == [Members((A, C), (D,)), Members((A, C, D))]

    def test_learner_is_not_promoted_while_a_voter_is_unresponsive(self):
        members = Members((A, B, C), (D,))
        vms = {*VMS, D.vm}
        assert next_change(members, vms, {}, [D], A, unresponsive=[B]) is None

    def test_lagging_learner_does_not_replace_a_silent_voter(self):
        members = Members((A, B, C), (D,))
        assert next_change(members, {*VMS, D.vm}, {}, [], A, silent=[B]) is None

from nutmegdrum_coord.ids import IncarnationId, VmId
from nutmegdrum_coord.logmessages import Member
from nutmegdrum_relay.membership import REPLACED_AFTER_MS, wanted_vms


def member(name, incarnation="1"):
    return Member(VmId(name), IncarnationId(incarnation))


A, B, C, D = (member(name) for name in "abcd")


class TestWantedVms:
    def test_a_silent_voter_stays_without_a_replacement(self):
        silent = {B: 10 * REPLACED_AFTER_MS}
        assert wanted_vms([A, B, C], [], [], silent, 3) == {"a", "b", "c"}

    def test_a_replacement_joins_while_the_silent_voter_stays(self):
        silent = {B: 10 * REPLACED_AFTER_MS}
        assert wanted_vms([A, B, C], [], ["d"], silent, 3) == {"a", "b", "c", "d"}
        assert wanted_vms([A, B, C], [D], [], silent, 3) == {"a", "b", "c", "d"}

    def test_the_silent_voter_is_removed_once_the_replacement_votes(self):
        silent = {B: 10 * REPLACED_AFTER_MS}
        assert wanted_vms([A, B, C, D], [], [], silent, 3) == {"a", "c", "d"}

    def test_a_voter_is_not_removed_after_a_short_pause(self):
        silent = {B: REPLACED_AFTER_MS - 1}
        assert wanted_vms([A, B, C, D], [], [], silent, 3) == {"a", "b", "c", "d"}

    def test_two_silent_voters_stay_if_too_few_others_are_alive(self):
        silent = {B: 10 * REPLACED_AFTER_MS, C: 10 * REPLACED_AFTER_MS}
        assert wanted_vms([A, B, C, D], [], [], silent, 3) == {"a", "b", "c", "d"}

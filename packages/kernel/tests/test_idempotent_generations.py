import itertools

import pytest
from nutmegdrum_testing.journal_world import REQ, World

COUNT = 4
PAIRS = list(itertools.permutations(range(COUNT), 2))


def race(world, first, second, after_calls):
    """Start a generation at `first`, and at `second` after `after_calls` calls of `first`."""
    calls = itertools.count()
    answers = []

    def interrupt():
        if not answers and next(calls) == after_calls:
            answers.append(None)
            answers[0] = world.claim(second)

    world.interrupt = interrupt
    mine = world.claim(first)
    if not answers:
        answers.append(world.claim(second))
    return mine, answers[0]


class TestKeyedRace:
    @pytest.mark.parametrize(("first", "second"), PAIRS)
    @pytest.mark.parametrize("after_calls", range(5))
    def test_concurrent_starts_at_two_vms_yield_one_generation(self, first, second, after_calls):
        for seed in range(5):
            world = World(COUNT, seed)
            vms = world.vms
            one, other = race(world, vms[first], vms[second], after_calls)
            assert one[0] == other[0]
            assert [one[1], other[1]].count(True) == 1

    @pytest.mark.parametrize(("first", "second"), PAIRS)
    @pytest.mark.parametrize("after_calls", range(4))
    @pytest.mark.parametrize("dead", range(COUNT))
    def test_concurrent_starts_yield_one_generation_with_a_dead_vm(
        self, first, second, after_calls, dead
    ):
        if dead in (first, second):
            return
        world = World(COUNT, 1)
        vms = world.vms
        world.down = {vms[dead]}
        one, other = race(world, vms[first], vms[second], after_calls)
        assert one[0] == other[0]
        assert [one[1], other[1]].count(True) == 1

    @pytest.mark.parametrize("vm", range(COUNT))
    def test_a_resend_at_any_vm_finds_the_generation(self, vm):
        world = World(COUNT, 1)
        generation, new = world.claim(world.vms[0])
        assert new
        world.produce(*world.sessions[0], 3)
        world.settle(world.vms[0])
        found = world.nodes[world.vms[vm]].reader.find(REQ.workspace, REQ.key, 3)
        assert found.generation == generation
        assert world.claim(world.vms[vm]) == (generation, False)

    def test_losing_start_leaves_no_copy(self):
        world = World(COUNT, 1)
        one, _ = race(world, world.vms[0], world.vms[1], 1)
        for node in world.nodes.values():
            found = node.service.find_stream(REQ.workspace, REQ.key)
            assert not found.found or found.generation == one[0]

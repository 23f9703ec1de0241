import random

from nutmegdrum.generation_ids import is_generation_id, make_generation_id, named_holders
from nutmegdrum_coord.ids import VmId

VMS = [VmId("e1"), VmId("e2"), VmId("e3")]


class TestGenerationIds:
    def test_names_its_holders_in_order(self):
        generation = make_generation_id(random.Random(1), [VMS[2], VMS[0]])
        assert is_generation_id(generation)
        assert named_holders(generation, VMS) == [VMS[2], VMS[0]]

    def test_ignores_holders_that_no_longer_exist(self):
        generation = make_generation_id(random.Random(1), [VMS[2], VMS[0]])
        assert named_holders(generation, VMS[:2]) == [VMS[0]]

    def test_ids_are_unique(self):
        rng = random.Random(1)
        assert len({make_generation_id(rng, VMS) for _ in range(100)}) == 100

    def test_rejects_malformed_ids(self):
        assert not is_generation_id("../" + "0" * 32)
        assert not is_generation_id("0" * 31)

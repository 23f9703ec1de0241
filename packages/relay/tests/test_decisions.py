from nutmegdrum_relay.decisions import LineBudget


class TestLineBudget:
    def test_omitted_lines_are_counted(self):
        budget = LineBudget(lines_per_s=2)
        taken = [budget.take("sent", 100) for _ in range(5)]
        assert taken == [(True, 0), (True, 0), (False, 0), (False, 0), (False, 0)]
        assert budget.take("sent", 1_100) == (True, 3)
        assert budget.take("sent", 1_200) == (True, 0)

    def test_each_kind_has_its_own_budget(self):
        budget = LineBudget(lines_per_s=1)
        assert budget.take("sent", 0) == (True, 0)
        assert budget.take("lost", 0) == (True, 0)

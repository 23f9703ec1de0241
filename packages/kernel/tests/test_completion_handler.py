import random
from types import SimpleNamespace

import msgspec
import pytest
from nutmegdrum.completion_handler import CompletionHandler
from nutmegdrum.passing_on import PassingOn
from nutmegdrum.peer_exchange import CallerRequest
from nutmegdrum.reach import ServiceReach
from nutmegdrum.units import Duration
from nutmegdrum_coord.clock import ManualClock
from nutmegdrum_coord.verdict import NO_BACKEND, Refusal


class TestDeadline:
    @pytest.mark.parametrize(("waited", "left"), [(None, 900), ("250", 650), ("5000", 0)])
    def test_time_that_another_vm_has_spent_counts(self, waited, left):
        started = []

        def start(workspace, req, last_event_id, passed_on):
            started.append(req)
            raise Refusal(NO_BACKEND)

        clock = ManualClock()
        passing_on = PassingOn(
            "n1", clock, random.Random(1), Duration(1_000), ServiceReach(clock), resends=None
        )
        generations = SimpleNamespace(start=start)
        handler = CompletionHandler(generations, random.Random(1), None, passing_on)
        body = msgspec.json.encode({"model": "m", "prompt": "p", "deadline_ms": 900})
        headers = {} if waited is None else {"nutmegdrum-waited-ms": waited}
        req = CallerRequest("POST", "/v1/completions", headers, body, 0, resumable=True)
        with pytest.raises(Refusal):
            handler.answer(SimpleNamespace(id="w"), False, req)
        assert started[0].deadline_ms == left

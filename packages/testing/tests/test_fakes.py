import json
import re

import pytest
import urllib3
from nutmegdrum_testing.control import Control
from nutmegdrum_testing.faults import Fault, FaultKind
from nutmegdrum_testing.processes import Processes
from nutmegdrum_testing.tokens import check_chain, expected_tokens
from nutmegdrum_testing.waiting import wait_for

PROMPT = "route from pit 4 to farm 9"


@pytest.fixture
def processes():
    with Processes() as running:
        yield running


class Engine:
    def __init__(self, processes, *options):
        self.process = processes.start_module(
            "nutmegdrum_testing.fake_engine", "--token-ms", "1", "--first-token-ms", "1", *options
        )
        self.address = self.process.wait_ready()
        self.control = Control(self.address)

    def open(self, **fields):
        call = {
            "generation": "g",
            "attempt": 1,
            "model": "m",
            "version": "1",
            "prompt": PROMPT,
            "max_tokens": 30,
            "seed": 3,
            "temperature": 0,
        } | fields
        return urllib3.request(
            "POST",
            f"http://{self.address}/v1/generate",
            json=call,
            preload_content=False,
            retries=False,
            timeout=10.0,
        )

    def lines(self, **fields):
        return [json.loads(line) for line in self.open(**fields).data.splitlines()]

    def call(self, method, path, body=None):
        url = f"http://{self.address}{path}"
        response = urllib3.request(method, url, json=body, retries=False, timeout=10.0)
        return response.json() if response.data else response.status

    def order(self, order_id, fencing, kind="load", deadline_ms=1000, version="2"):
        return self.call(
            "POST",
            "/v1/orders",
            {
                "id": order_id,
                "fencing": fencing,
                "deadline_ms": deadline_ms,
                "kind": kind,
                "version": {"model": "m", "version": version, "adapter": ""},
            },
        )["status"]


class TestFakeEngine:
    def test_answer_at_temperature_0_is_deterministic(self, processes):
        *tokens, finish = Engine(processes).lines()
        assert [token["text"] for token in tokens] == expected_tokens(PROMPT, 3, 30)
        assert [token["index"] for token in tokens] == list(range(30))
        assert finish == {"finish": "length", "count": 30}

    def test_an_attempt_continues_after_its_prefix(self, processes):
        engine = Engine(processes)
        *first, _ = engine.lines(temperature=1, max_tokens=7)
        prefix = [token["text"] for token in first]
        *rest, finish = engine.lines(temperature=1, prefix=prefix)
        assert rest[0]["index"] == 7
        assert check_chain(PROMPT, prefix + [token["text"] for token in rest], 30) == 2
        assert finish["count"] == 30

    def test_stop_marker_in_the_prompt_ends_the_answer_early(self, processes):
        *tokens, finish = Engine(processes).lines(prompt="stop-after=4 please")
        assert (len(tokens), finish) == (4, {"finish": "stop", "count": 4})

    def test_a_cancelled_attempt_frees_its_slot(self, processes):
        engine = Engine(processes, "--slots", "1")
        response = engine.open(max_tokens=100_000)
        assert engine.open(generation="h").status == 429
        assert engine.call("DELETE", "/v1/generate/g/1") == 204
        wait_for(lambda: engine.control.state()["running"] == 0)
        response.close()
        assert len(engine.lines()) == 31

    def test_request_for_a_version_not_loaded_gets_404(self, processes):
        assert Engine(processes).open(version="2").status == 404

    def test_a_loaded_version_serves_and_an_unloaded_one_does_not(self, processes):
        engine = Engine(processes, "--load-ms", "20")
        assert engine.order("o1", fencing=5) == "accepted"
        wait_for(lambda: engine.order("o1", fencing=5) == "done")
        assert engine.open(version="2").status == 200
        assert engine.order("o2", fencing=5, kind="unload") == "done"
        assert engine.open(version="2").status == 404

    def test_stale_fencing_number_is_refused_unless_fencing_is_ignored(self, processes):
        checking, ignoring = Engine(processes), Engine(processes, "--ignore-fencing")
        for engine in (checking, ignoring):
            engine.order("o1", fencing=5)
        assert checking.order("o2", fencing=4) == "stale"
        assert ignoring.order("o2", fencing=4) == "accepted"

    def test_an_order_past_its_deadline_expires(self, processes):
        assert Engine(processes).order("o1", fencing=1, deadline_ms=0) == "expired"

    def test_lost_cache_events_leave_gaps_in_the_sequence(self, processes):
        engine = Engine(processes, "--cache-lag-ms", "0", "--cache-lose-every", "2")
        engine.lines(prompt="x" * 256)
        events = engine.call("GET", "/v1/cache-events?after=0")["events"]
        assert [event["sequence"] for event in events] == [1, 3]
        assert engine.call("GET", "/v1/cache-events?after=1")["events"] == events[1:]
        assert re.fullmatch("[0-9a-f]{16}", events[0]["prefix"])

    def test_a_repeated_prompt_is_cached(self, processes):
        engine = Engine(processes)
        for _ in range(2):
            engine.lines(prompt="x" * 256)
        assert engine.control.state()["counters"]["cached_chars"] == 256

    def test_the_load_report_counts_running_streams(self, processes):
        engine = Engine(processes, "--load-lag-ms", "0")
        response = engine.open(max_tokens=100_000)
        assert engine.call("GET", "/v1/load")["running"] == 1
        response.close()


class TestEngineFaults:
    def cut_count(self, engine, **fields):
        lines = []
        response = engine.open(**fields)
        with pytest.raises(urllib3.exceptions.HTTPError):
            for chunk in response.stream(1 << 16):
                lines += chunk.splitlines()
        return len(lines)

    def test_close_cuts_the_connection_after_some_tokens(self, processes):
        engine = Engine(processes)
        engine.control.set_faults(Fault(kind=FaultKind.CLOSE, after_tokens=5, times=1))
        assert self.cut_count(engine) == 5
        assert len(engine.lines()) == 31

    def test_truncate_ends_the_body_without_a_finish(self, processes):
        engine = Engine(processes)
        engine.control.set_faults(Fault(kind=FaultKind.TRUNCATE, after_tokens=5))
        assert [line.get("index") for line in engine.lines()] == [0, 1, 2, 3, 4]

    def test_die_fault_with_a_prompt_condition_kills_the_engine(self, processes):
        engine = Engine(processes)
        engine.control.set_faults(Fault(kind=FaultKind.DIE, prompt="poison", after_tokens=2))
        assert len(engine.lines()) == 31
        assert self.cut_count(engine, prompt="poison") == 2
        assert engine.process.wait() == 9

    def test_wrong_tokens_of_one_version_break_the_chain(self, processes):
        engine = Engine(processes)
        engine.control.set_faults(Fault(kind=FaultKind.WRONG, version="1", after_tokens=3))
        texts = [line["text"] for line in engine.lines()[:-1]]
        assert texts[:3] == expected_tokens(PROMPT, 3, 3)
        assert texts[3] == " wrong"

    def test_hanging_stream_stays_open_until_cancelled(self, processes):
        engine = Engine(processes)
        engine.control.set_faults(Fault(kind=FaultKind.HANG, after_tokens=2))
        response = engine.open()
        wait_for(lambda: engine.control.state()["counters"]["generated_tokens"] == 2)
        assert engine.control.state()["running"] == 1
        engine.call("DELETE", "/v1/generate/g/1")
        wait_for(lambda: engine.control.state()["running"] == 0)
        response.close()

    def test_error_rate_fails_a_fraction_of_requests(self, processes):
        engine = Engine(processes)
        engine.control.set_faults(Fault(kind=FaultKind.ERROR, rate=0.5))
        statuses = [engine.open(max_tokens=1).status for _ in range(30)]
        assert 5 < statuses.count(500) < 25

    def test_connections_are_accepted_again_after_the_fault_is_removed(self, processes):
        engine = Engine(processes)
        engine.control.set_faults(Fault(kind=FaultKind.REFUSE_CONNECTIONS))
        with pytest.raises(urllib3.exceptions.HTTPError):
            engine.open()
        engine.control.set_faults()
        assert len(engine.lines()) == 31

    def test_initial_faults_are_read_from_a_file(self, processes, tmp_path):
        file = tmp_path / "faults.json"
        file.write_text('{"faults": [{"kind": "error"}]}')
        assert Engine(processes, "--fault", str(file)).open().status == 500


class TestFakePlain:
    @pytest.fixture
    def service(self, processes):
        process = processes.start_module("nutmegdrum_testing.fake_plain", "--call-ms", "0")
        return process.wait_ready()

    def book(self, address, key):
        url = f"http://{address}/bookings"
        headers = {"Idempotency-Key": key}
        return urllib3.request(
            "POST", url, json={"what": "tanker"}, headers=headers, retries=False, timeout=5.0
        )

    def test_ledger_records_each_execution(self, service):
        booking = self.book(service, "k1").json()["booking"]
        self.book(service, "k1")
        control = Control(service)
        assert [entry["key"] for entry in control.get("/ledger")] == ["k1", "k1"]
        assert control.get(f"/bookings/{booking}")["booking"] == booking

    @pytest.mark.parametrize(("after_execution", "executed"), [(False, 0), (True, 1)])
    def test_a_call_can_fail_before_or_after_it_is_executed(
        self, service, after_execution, executed
    ):
        control = Control(service)
        control.set_faults(Fault(kind=FaultKind.CLOSE, after_execution=after_execution, times=1))
        with pytest.raises(urllib3.exceptions.HTTPError):
            self.book(service, "k1")
        assert control.state()["executed"] == executed


class TestFakePlatform:
    def test_live_list_is_published_with_a_delay(self, processes):
        process = processes.start_module("nutmegdrum_testing.fake_platform", "--lag-ms", "300")
        control = Control(process.wait_ready())
        vm = {"id": "b1", "address": "127.0.0.1:1", "kind": "backend", "state": "leaving"}
        control.post({"vms": [vm]})
        assert control.get("/v1/vms") == {"sequence": 0, "vms": []}
        listed = wait_for(lambda: control.get("/v1/vms")["vms"])
        assert listed == [{"service": "", "data_centre": "", **vm}]

    def test_weight_store_returns_size_and_rate(self, processes):
        process = processes.start_module("nutmegdrum_testing.fake_platform")
        control = Control(process.wait_ready())
        control.post({"weights": {"m/2": 5}})
        assert control.get("/v1/weights/m/2") == {"bytes": 5, "rate_bytes_per_s": 1 << 30}

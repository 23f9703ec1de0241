import itertools
import socket
from concurrent.futures import ThreadPoolExecutor

import pytest
from nutmegdrum_testing.callers import RunningStream
from nutmegdrum_testing.deployment import MODEL, Deployment, Options
from nutmegdrum_testing.link import Direction
from nutmegdrum_testing.waiting import wait_for

COUNT = 150
LONG_COUNT = 500
RESUME_LIMIT_MS = 5_000
RESET_LIMIT_MS = 1_500
SILENCE_MEDIAN_MS = 2_000


class StreamDeployment(Deployment):
    """Entry daemons and engines without state replicas, which streams do not need."""

    def wait_ready(self, timeout_s=30.0):
        for daemon in self.entries:
            wait_for(lambda address=daemon.address("callers"): listens(address), timeout_s)


def listens(address):
    host, _, port = address.rpartition(":")
    try:
        socket.create_connection((host, int(port)), 1).close()
    except OSError:
        return False
    return True


def deploy(**options):
    return StreamDeployment(Options(states=0, plugins=["http_engine"], **options))


def run_streams(caller, count, entry=0, at_least=10, **options):
    """Start streams and wait until each has at least `at_least` tokens."""
    streams = [
        RunningStream(caller, MODEL, f"prompt {number}", COUNT, entry=entry, **options)
        for number in range(count)
    ]
    wait_for(lambda: all(stream.count >= at_least for stream in streams), 30)
    return streams


def finish(streams):
    """Wait for all streams, check each token, and return the sorted longest gaps, in ms."""
    results = [stream.join() for stream in streams]
    for result in results:
        result.check(COUNT)
    return sorted(max(result.gaps_ms()) for result in results)


def resume(caller, streams, *entries):
    """Resume cut streams at other entry VMs; return the longest gap between tokens, in ms."""
    results = [stream.join() for stream in streams]
    assert all(result.ended == "cut" for result in results)
    with ThreadPoolExecutor(len(results)) as pool:
        futures = [
            pool.submit(caller.reconnect, result, MODEL, COUNT, entry=entry)
            for result, entry in zip(results, itertools.cycle(entries), strict=False)
        ]
    for future in futures:
        future.result().check(COUNT)
    return max(max(result.gaps_ms()) for result in results)


class TestEngines:
    def test_killed_engine(self):
        with deploy(entries=3, engines=3) as deployment:
            streams = run_streams(deployment.caller(), 12)
            deployment.engines[0].process.kill()
            assert finish(streams)[-1] < RESET_LIMIT_MS

    def test_paused_engine_that_comes_back(self):
        with deploy(entries=3, engines=3) as deployment:
            streams = run_streams(deployment.caller(), 12)
            engine = deployment.engines[0].process
            engine.pause()
            counts = [stream.count for stream in streams]
            pairs = list(zip(streams, counts, strict=True))
            wait_for(lambda: all(stream.count > count + 5 for stream, count in pairs), 30)
            engine.resume()
            gaps = finish(streams)
            assert gaps[-1] < RESUME_LIMIT_MS
            assert gaps[len(gaps) // 2] < SILENCE_MEDIAN_MS

    def test_two_engines_lost_one_after_the_other(self):
        with deploy(entries=3, engines=3) as deployment:
            streams = run_streams(deployment.caller(), 9)
            deployment.engines[0].process.kill()
            deployment.engines[1].process.pause()
            assert finish(streams)[-1] < RESUME_LIMIT_MS

    def test_silent_link_to_an_engine(self):
        with deploy(entries=1, engines=2, engine_links=True) as deployment:
            streams = run_streams(deployment.caller(), 6)
            deployment.engine_link("e1").silence(Direction.BACK)
            assert finish(streams)[-1] < RESUME_LIMIT_MS

    def test_stream_fails_with_a_problem_if_no_engine_is_left(self):
        with deploy(entries=1, engines=1) as deployment:
            [stream] = run_streams(deployment.caller(), 1)
            deployment.engines[0].process.kill()
            result = stream.join()
            assert result.ended == "error"
            assert result.problem.verdict == "may-have-run"


class TestEntryDaemons:
    def test_killed_entry_daemon(self):
        with deploy(entries=3, engines=2) as deployment:
            caller = deployment.caller()
            streams = run_streams(caller, 4)
            deployment.entries[0].running.kill()
            assert resume(caller, streams, 1, 2) < RESUME_LIMIT_MS

    def test_engine_and_entry_daemon_killed_together(self):
        with deploy(entries=3, engines=3) as deployment:
            caller = deployment.caller()
            streams = run_streams(caller, 4)
            deployment.engines[0].process.kill()
            deployment.entries[0].running.kill()
            assert resume(caller, streams, 1) < RESUME_LIMIT_MS

    def test_second_entry_daemon_killed_right_after_the_first(self):
        with deploy(entries=4, engines=2) as deployment:
            caller = deployment.caller()
            [stream] = run_streams(caller, 1)
            deployment.entries[0].running.kill()
            result = stream.join()
            again = RunningStream(
                caller,
                MODEL,
                result.prompt,
                COUNT,
                entry=1,
                headers={"Last-Event-ID": result.last_event_id},
            )
            wait_for(lambda: again.count > 5)
            deployment.entries[1].running.kill()
            rest = again.join()
            result.tokens += rest.tokens
            result.indices += rest.indices
            result.generation = rest.generation
            caller.reconnect(result, MODEL, COUNT, entry=2)
            result.check(COUNT)

    def test_holder_killed_and_then_the_owner(self):
        with deploy(entries=4, engines=2) as deployment:
            caller = deployment.caller()
            streams = run_streams(caller, 4)
            deployment.entries[1].running.kill()
            counts = [stream.count for stream in streams]
            pairs = list(zip(streams, counts, strict=True))
            wait_for(lambda: all(stream.count > count for stream, count in pairs))
            deployment.entries[0].running.kill()
            assert resume(caller, streams, 3) < RESUME_LIMIT_MS

    def test_paused_owner_emits_nothing_after_a_takeover(self):
        with deploy(entries=3, engines=2) as deployment:
            caller = deployment.caller()
            [stream] = run_streams(caller, 1)
            owner = deployment.entries[0].running
            owner.pause()
            counts = itertools.pairwise(iter(lambda: stream.count, -1))
            wait_for(lambda: len(set(next(counts))) == 1)
            seen = stream.count
            headers = {"Last-Event-ID": stream.result.last_event_id}
            other = caller.generate(MODEL, "prompt 0", COUNT, entry=1, headers=headers)
            assert other.ended == "done", other.problem
            owner.resume()
            former = stream.join()
            assert former.ended == "error"
            assert former.problem.reason == "stale-epoch"
            former.tokens = former.tokens[:seen] + other.tokens
            former.ended, former.indices = "done", former.indices[:seen] + other.indices
            former.check(COUNT)

    def test_partitioned_owner_ends_its_stream_after_the_partition_heals(self):
        with deploy(entries=3, engines=2, peer_links=True) as deployment:
            caller = deployment.caller()
            former = RunningStream(caller, MODEL, "p", LONG_COUNT)
            wait_for(lambda: former.count >= 10)
            links = [link for pair, link in deployment.links.items() if "n1" in pair]
            for link in links:
                link.silence()
            seen = former.count - 5
            headers = {"Last-Event-ID": f"{former.result.generation}:{seen - 1}"}
            other = RunningStream(caller, MODEL, "p", LONG_COUNT, entry=1, headers=headers)
            wait_for(lambda: other.count > 5)
            for link in links:
                link.heal()
            result = former.join()
            assert (result.ended, result.problem.reason) == ("error", "stale-epoch")
            whole = other.join()
            whole.tokens = result.tokens[:seen] + whole.tokens
            whole.indices = result.indices[:seen] + whole.indices
            whole.check(LONG_COUNT)


class TestKeys:
    def test_resend_at_another_vm_joins_the_running_generation(self):
        with deploy(entries=3, engines=2) as deployment:
            caller = deployment.caller()
            headers = {"Idempotency-Key": "k"}
            [stream] = run_streams(caller, 1, headers=headers)
            resend = caller.generate(MODEL, "prompt 0", COUNT, entry=1, headers=headers)
            resend.check(COUNT)
            assert resend.tokens == stream.join().tokens
            stream.result.check(COUNT)
            started = [
                engine.control.state()["counters"]["requests"] for engine in deployment.engines
            ]
            assert sum(started) == 1

    def test_resend_after_the_owner_was_killed(self):
        with deploy(entries=3, engines=2) as deployment:
            caller = deployment.caller()
            headers = {"Idempotency-Key": "k"}
            [stream] = run_streams(caller, 1, headers=headers)
            deployment.entries[0].running.kill()
            seen = stream.join().tokens
            resend = caller.generate(MODEL, "prompt 0", COUNT, entry=2, headers=headers)
            resend.check(COUNT)
            assert resend.tokens[: len(seen)] == seen

    def test_key_with_another_body_is_a_conflict(self):
        with deploy(entries=2, engines=1) as deployment:
            caller = deployment.caller()
            headers = {"Idempotency-Key": "k"}
            caller.generate(MODEL, "one", 5, headers=headers).check(5)
            other = caller.generate(MODEL, "two", 5, entry=1, headers=headers)
            assert (other.status, other.problem.reason) == (422, "key-conflict")


class TestCancel:
    def test_cancel_at_any_vm_ends_the_stream_and_the_attempt(self):
        with deploy(entries=3, engines=1) as deployment:
            caller = deployment.caller()
            [stream] = run_streams(caller, 1)
            generation = stream.result.generation
            assert deployment.caller("w2").cancel(generation, 1) == 404
            assert caller.cancel(generation, entry=1) == 204
            assert stream.join().ended == "error"
            control = deployment.engines[0].control
            wait_for(lambda: control.state()["running"] == 0)

    def test_another_workspace_cannot_resume(self):
        with deploy(entries=3, engines=1) as deployment:
            [stream] = run_streams(deployment.caller(), 1)
            other = deployment.caller("w2").reconnect(
                type(stream.result)(
                    prompt="prompt 0", generation=stream.result.generation, indices=[3]
                ),
                MODEL,
                COUNT,
                entry=1,
            )
            assert other.status == 404
            finish([stream])

    def test_stream_of_a_disconnected_caller_is_cancelled_after_the_grace_period(self):
        settings = {"streams": {"caller_grace": "300ms"}}
        with deploy(entries=2, engines=1, settings=settings) as deployment:
            control = deployment.engines[0].control
            body = b'{"model":"m","prompt":"p","max_tokens":20000,"stream":true}'
            host, _, port = deployment.entries[0].address("callers").rpartition(":")
            with socket.create_connection((host, int(port))) as conn:
                conn.sendall(
                    b"POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key-w1\r\n"
                    b"Content-Length: %d\r\n\r\n%b" % (len(body), body)
                )
                wait_for(lambda: conn.recv(1_000))
            wait_for(lambda: control.state()["running"] == 0)


@pytest.mark.parametrize("entry", [0, 1])
def test_resume_of_an_unknown_generation_is_refused(entry):
    with deploy(entries=2, engines=1) as deployment:
        headers = {"Last-Event-ID": "0" * 32 + ".1:3"}
        result = deployment.caller().generate(MODEL, "p", 5, entry=entry, headers=headers)
        assert (result.status, result.problem.verdict) == (404, "may-have-run")

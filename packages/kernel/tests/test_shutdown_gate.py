"""Requests at the gate of an entry VM that is shutting down."""

import io
import random
import threading
from types import SimpleNamespace

import msgspec
import pytest
from nutmegdrum import shutdown_gate, sse
from nutmegdrum.completion_handler import CompletionHandler
from nutmegdrum.generations import Answer
from nutmegdrum.messages import Finish, FinishReason, Token
from nutmegdrum.peer_exchange import CallerRequest
from nutmegdrum.problems import problem_headers, problem_of
from nutmegdrum.service_tally import ServiceTally
from nutmegdrum.session import ReadBatch
from nutmegdrum.shutdown import Phase, Shutdown
from nutmegdrum.shutdown_gate import ShutdownGate, body_is_complete
from nutmegdrum.wsgi import Response, StreamedResponse
from nutmegdrum_coord.clock import ManualClock
from nutmegdrum_coord.ids import GenerationId
from nutmegdrum_coord.verdict import BACKEND_LOST, Refusal, Verdict
from nutmegdrum_testing.waiting import wait_for

NOTICE_MS = 3_000
TIMEOUT_MS = 60_000
HAND_OVER_MS = 50_000


class World:
    """Gate on a clock of its own; the app's answer to each path is in `answers`."""

    def __init__(self):
        self.began_ms = 0
        self.clock = ManualClock(1_000)
        self.shutdown = Shutdown(NOTICE_MS, TIMEOUT_MS)
        self.gate = ShutdownGate(self._app, self.clock, self.shutdown, lambda: 0)
        self.answers = {}
        self.served = []
        self.headers = {}
        self.statuses = {}
        self.draining = threading.Thread(target=self.gate.drain)

    def _app(self, environ, start_response):
        return self.answers[environ["PATH_INFO"]](environ).send(start_response)

    def ask(self, path, method="POST", **environ):
        """Return the body of the answer as the server gets it."""

        def start(status, headers):
            self.statuses[path] = status
            self.headers[path] = dict(headers)

        environ = {"REQUEST_METHOD": method, "PATH_INFO": path, "CONTENT_LENGTH": "2", **environ}
        return self.gate({"wsgi.input": io.BytesIO(b"{}"), **environ}, start)

    def serve(self, path, during):
        """Serve `path`; `during` is called while its body is read."""

        def answer(environ):
            during()
            try:
                body_is_complete(environ)
            except Refusal as refusal:
                problem = problem_of(refusal)
                return Response(503, msgspec.json.encode(problem), problem_headers(problem))
            self.served.append(path)
            return Response(200, b"whole")

        self.answers[path] = answer

    def begin(self):
        self.began_ms = self.clock.elapsed_ms()
        self.draining.start()
        wait_for(lambda: self.gate.phase is Phase.NOTICE)

    def advance_to(self, elapsed_ms, phase):
        """Move the clock to `elapsed_ms` after the signal."""
        self.clock.advance(self.began_ms + elapsed_ms - self.clock.elapsed_ms())
        wait_for(lambda: self.gate.phase is phase)

    def end(self):
        self.clock.advance(TIMEOUT_MS)
        self.draining.join(8)
        assert not self.draining.is_alive()


@pytest.fixture
def world():
    return World()


@pytest.fixture
def lines(monkeypatch):
    found = []
    monkeypatch.setattr(
        shutdown_gate, "log_change", lambda subject, **details: found.append((subject, details))
    )
    return lambda: [details for subject, details in found if subject == "request-at-shutdown"]


def stream_of(*chunks, generation="g1"):
    headers = [("Nutmegdrum-Generation", generation)]

    def answer(environ):
        body_is_complete(environ)
        return StreamedResponse(200, headers, iter(chunks))

    return answer


class TestRequestsCompleteAfterTheNotice:
    @pytest.mark.parametrize(
        ("elapsed_ms", "phase"),
        [(NOTICE_MS, Phase.DRAINING), (HAND_OVER_MS, Phase.HANDING_OVER)],
    )
    def test_are_refused_as_not_run_before_they_are_served(self, world, elapsed_ms, phase):
        world.serve("/late", during=lambda: world.advance_to(elapsed_ms, phase))
        world.begin()
        problem = msgspec.json.decode(b"".join(world.ask("/late")))
        assert world.statuses["/late"].startswith("503")
        assert (problem["reason"], problem["verdict"]) == ("shutting-down", "not-run")
        assert world.headers["/late"]["Connection"] == "close"
        assert world.served == []
        world.end()

    def test_are_refused_also_if_their_heads_came_before_the_signal(self, world):
        def stop():
            world.begin()
            world.advance_to(NOTICE_MS, Phase.DRAINING)

        world.serve("/late", during=stop)
        body = world.ask("/late")
        assert world.statuses["/late"].startswith("503")
        assert world.headers["/late"]["Connection"] == "close"
        assert world.served == []
        body.close()
        world.end()

    def test_those_complete_within_it_are_served(self, world):
        world.serve("/s", during=lambda: world.advance_to(NOTICE_MS - 1, Phase.NOTICE))
        world.begin()
        assert b"".join(world.ask("/s")) == b"whole"
        world.end()


class Generation:
    """Stream through the completion handler, of a generation whose rest can be set to have come."""

    def __init__(self):
        self.has_ended = False
        self.failure = None
        self._handler = CompletionHandler(
            SimpleNamespace(start=self._start),
            random.Random(1),
            ServiceTally(),
            SimpleNamespace(answer=lambda service, req, own: own(), resume=lambda *args: None),
        )

    def _start(self, workspace, req, last_event_id, passed_on):
        return Answer(GenerationId("g1"), req, self._items(), lambda: self.has_ended)

    def _items(self):
        yield ReadBatch(1, [Token(0, "red")])
        if self.failure is not None:
            raise self.failure
        yield ReadBatch(1, [Token(1, "beet")])
        yield ReadBatch(1, [Finish(FinishReason.STOP, 2)])

    def answer(self, environ):
        body = b'{"model": "m", "prompt": "p", "stream": true}'
        body_is_complete(environ)
        req = CallerRequest("POST", "/v1/completions", {}, body, 0, resumable=True)
        return self._handler.answer(SimpleNamespace(id="w"), False, req)


class TestStreamsOfSlowCallers:
    @pytest.fixture
    def generation(self, world):
        generation = Generation()
        world.answers["/s"] = generation.answer
        return generation

    @pytest.fixture
    def stream(self, world, generation):
        return world.ask("/s")

    def test_are_delivered_whole_if_their_generation_has_ended(
        self, world, generation, stream, lines
    ):
        chunks = iter(stream)
        got = next(chunks)
        world.begin()
        world.advance_to(HAND_OVER_MS, Phase.HANDING_OVER)
        generation.has_ended = True
        got += b"".join(chunks)
        stream.close()
        assert b"beet" in got
        assert got.endswith(sse.DONE)
        world.end()
        assert lines() == []

    def test_have_their_last_event_if_the_finish_has_been_taken(self, world, stream, lines):
        chunks = iter(stream)
        got = b"".join(next(chunks) for _ in range(3))
        assert b"finish_reason" in got
        world.begin()
        world.advance_to(HAND_OVER_MS, Phase.HANDING_OVER)
        assert b"".join(chunks) == sse.DONE
        stream.close()
        world.end()
        assert lines() == []

    def test_are_handed_over_while_their_generation_runs(self, world, stream, lines):
        chunks = iter(stream)
        next(chunks)
        world.begin()
        world.advance_to(HAND_OVER_MS, Phase.HANDING_OVER)
        assert list(chunks) == []
        stream.close()
        assert [line["outcome"] for line in lines()] == ["handed-over"]
        world.end()

    def test_that_fail_are_not_counted_as_handed_over(self, world, generation, lines):
        generation.failure = Refusal(BACKEND_LOST, Verdict.MAY_HAVE_RUN)
        stream = world.ask("/s")
        world.begin()
        chunks = iter(stream)
        next(chunks)
        got = next(chunks)
        world.advance_to(HAND_OVER_MS, Phase.HANDING_OVER)
        assert list(chunks) == []
        stream.close()
        assert b"backend-lost" in got
        world.end()
        assert lines() == []

    def test_are_handed_over_also_if_the_time_is_up_when_an_event_has_been_taken(
        self, world, stream, lines
    ):
        chunks = iter(stream)
        next(chunks)
        world.begin()
        world.end()
        assert list(chunks) == []
        stream.close()
        assert [line["outcome"] for line in lines()] == ["ended", "handed-over"]


class TestLinesAboutRequests:
    def test_a_stream_that_is_handed_over_has_one(self, world, lines):
        world.answers["/s"] = stream_of(b"a", b"b", b"c")
        stream = world.ask("/s", HTTP_X_REQUEST_ID="r1")
        chunks = iter(stream)
        next(chunks)
        world.clock.advance(400)
        world.begin()
        world.advance_to(HAND_OVER_MS, Phase.HANDING_OVER)
        assert list(chunks) == []
        stream.close()
        assert lines() == [
            {
                "outcome": "handed-over",
                "phase": "handing-over",
                "method": "POST",
                "path": "/s",
                "request": "r1",
                "generation": "g1",
                "complete_after_signal_ms": -400,
                "ended_after_signal_ms": HAND_OVER_MS,
                "answer_begun": True,
            }
        ]
        world.end()

    def test_each_request_that_is_open_at_the_timeout_has_one(self, world, lines):
        world.answers["/p"] = stream_of(b"a")
        bodies = [world.ask("/p") for _ in range(60)]
        world.begin()
        world.end()
        assert [line["outcome"] for line in lines()] == ["ended"] * len(bodies)
        assert not any(line["answer_begun"] for line in lines())

    def test_a_request_whose_body_is_incomplete_has_no_time(self, world, lines):
        world.answers["/p"] = lambda environ: StreamedResponse(200, [], iter([b"a"]))
        world.ask("/p")
        world.begin()
        world.end()
        assert [line["complete_after_signal_ms"] for line in lines()] == [None]

    def test_requests_that_the_listener_left_have_another(self, world, lines):
        world.answers["/p"] = stream_of(b"a")
        body = world.ask("/p")
        world.begin()
        world.end()
        world.gate.log_left()
        body.close()
        world.gate.log_left()
        assert [line["outcome"] for line in lines()] == ["ended", "left"]

    def test_requests_that_have_ended_have_none(self, world, lines):
        world.answers["/p"] = lambda environ: Response(200, b"whole")
        body = world.ask("/p")
        world.begin()
        assert list(body) == [b"whole"]
        body.close()
        world.end()
        assert lines() == []

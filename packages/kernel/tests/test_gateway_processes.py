import threading

import msgspec
import pytest
import urllib3
from nutmegdrum_testing.callers import StreamResult
from nutmegdrum_testing.deployment import Deployment, Options, key_of
from nutmegdrum_testing.faults import Fault, FaultKind
from nutmegdrum_testing.waiting import wait_for

MAX_STREAMS = 2
MAX_BODY_BYTES = 64 << 10
TIMEOUT_S = 30.0
RECOVERY_DEADLINE_MS = 5_000
OPTIONS = Options(
    states=1,
    entries=1,
    engines=1,
    engine_options=("--token-ms", "50"),
    settings={"callers": {"max_streams": MAX_STREAMS, "max_body": "64KiB"}},
)


@pytest.fixture(scope="module")
def deployment():
    with Deployment(OPTIONS) as running:
        wait_for(lambda: running.entries[0].metric("nutmegdrum_view_fresh") == 1)
        yield running


def post(deployment, body, path="/v1/completions", key=None):
    url = f"http://{deployment.entries[0].address('callers')}{path}"
    headers = {"Authorization": f"Bearer {key or key_of('w1')}"}
    return urllib3.request(
        "POST", url, body=body, headers=headers, timeout=TIMEOUT_S, retries=False
    )


def body(**fields):
    return msgspec.json.encode({"model": "m", "prompt": "p", "max_tokens": 3} | fields)


class TestInvalidRequests:
    @pytest.mark.parametrize(
        ("sent", "path", "key", "status", "reason"),
        [
            (body(), "/v1/completions", "wrong", 401, "unauthenticated"),
            (b"{", "/v1/completions", None, 400, "bad-request"),
            (body(max_tokens="3"), "/v1/completions", None, 400, "bad-request"),
            (body(max_tokens=0), "/v1/completions", None, 400, "bad-request"),
            (body(prompt=""), "/v1/completions", None, 400, "bad-request"),
            (body(), "/v1/chat/completions", None, 400, "bad-request"),
            (body(), "/nowhere", None, 404, "not-found"),
            (body(model="none"), "/v1/completions", None, 404, "not-found"),
        ],
    )
    def test_problem_document_says_not_run(self, deployment, sent, path, key, status, reason):
        response = post(deployment, sent, path, key)
        problem = response.json()
        assert (response.status, problem["reason"]) == (status, reason)
        assert response.headers["Content-Type"] == "application/problem+json"
        assert response.headers["Nutmegdrum-Verdict"] == problem["verdict"] == "not-run"

    def test_unknown_model_is_named_in_the_problem(self, deployment):
        problem = post(deployment, body(model="none")).json()
        assert "none" in problem["detail"]
        assert "retry_after_ms" not in problem

    def test_wrong_type_names_the_path_of_the_key(self, deployment):
        assert "$.max_tokens" in post(deployment, body(max_tokens="3")).json()["detail"]

    def test_large_body_is_refused(self, deployment):
        assert post(deployment, b" " * (MAX_BODY_BYTES + 1)).status == 413


class TestNonStreamingResponse:
    def test_answer_without_streaming_has_all_tokens(self, deployment):
        answer = post(deployment, body()).json()
        assert answer["usage"]["completion_tokens"] == 3
        assert answer["choices"][0]["finish_reason"] == "length"

    def test_chat_answers_with_a_message(self, deployment):
        messages = [{"role": "user", "content": "hello"}]
        sent = body(messages=messages)
        answer = post(deployment, sent, "/v1/chat/completions").json()
        assert answer["choices"][0]["message"]["role"] == "assistant"


class TestBusyEngines:
    def test_request_is_refused_at_once_as_not_run(self, deployment):
        control = deployment.engines[0].control
        control.set_faults(Fault(kind=FaultKind.NO_SLOT))
        refused = deployment.caller().generate("m", "busy", 3)
        control.set_faults()
        assert refused.problem.verdict == "not-run"
        assert int(refused.headers["Retry-After"]) >= 1
        assert refused.total_ms < RECOVERY_DEADLINE_MS / 2


class TestMaxStreams:
    def test_next_stream_is_refused_at_once_and_probes_are_answered(self, deployment):
        caller = deployment.caller()
        running = [StreamResult(prompt=f"long {number}") for number in range(MAX_STREAMS)]
        threads = [
            threading.Thread(target=caller.generate, args=("m", r.prompt, 100), kwargs={"into": r})
            for r in running
        ]
        for thread in threads:
            thread.start()
        wait_for(lambda: all(r.tokens for r in running), TIMEOUT_S)
        refused = caller.generate("m", "one too many", 100)
        probe = deployment.entries[0].ops("/readyz")
        assert not any(r.ended == "done" for r in running)
        assert refused.ended == "refused"
        assert refused.problem.verdict == "not-run"
        assert int(refused.headers["Retry-After"]) >= 1
        assert probe.status == 200
        for thread in threads:
            thread.join()
        for result in running:
            result.check(100)

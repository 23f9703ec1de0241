import io
import socket
from hashlib import sha256
from types import SimpleNamespace

import pytest
from nutmegdrum.gateway import Gateway
from nutmegdrum.service_tally import ServiceTally
from nutmegdrum.settings import WorkspaceSettings
from nutmegdrum.shutdown_gate import CALL
from nutmegdrum.units import Address
from nutmegdrum.wsgi import HttpListener
from nutmegdrum_coord.verdict import OVERLOADED, SHUTTING_DOWN, Refusal, Verdict


def headers_of_refusal(sent, **environ):
    """Return the headers of a generation's refusal, by lower-case name."""
    refusal = Refusal(OVERLOADED, Verdict.NOT_RUN, 1_000)
    refusal.sent = sent

    def refuse(*args):
        raise refusal

    workspace = WorkspaceSettings(id="w", key_sha256=sha256(b"k").hexdigest())
    entry = SimpleNamespace(
        cfg=SimpleNamespace(workspaces=[workspace]),
        clock=SimpleNamespace(elapsed_ms=lambda: 0),
        generations=SimpleNamespace(start=refuse),
        passing_on=SimpleNamespace(answer=lambda service, req, own: own()),
        rng=SimpleNamespace(getrandbits=lambda bits: 1),
        tally=ServiceTally(),
    )
    body = b'{"model": "m", "prompt": "p"}'
    sent_headers = {}
    answer = Gateway(entry)(
        {
            "REQUEST_METHOD": "POST",
            "PATH_INFO": "/v1/completions",
            "HTTP_AUTHORIZATION": "Bearer k",
            "CONTENT_LENGTH": str(len(body)),
            "wsgi.input": io.BytesIO(body),
            **environ,
        },
        lambda status, headers: sent_headers.update(headers),
    )
    assert b"overloaded" in b"".join(answer)
    return {name.lower(): value for name, value in sent_headers.items()}


class TestRefusalOfPassedOnRequest:
    @pytest.mark.parametrize(
        ("sent", "environ", "marked"),
        [
            (True, {"HTTP_NUTMEGDRUM_PASSED_ON": "n2"}, True),
            (False, {"HTTP_NUTMEGDRUM_PASSED_ON": "n2"}, False),
            (True, {}, False),
        ],
    )
    def test_tells_the_other_vm_whether_servers_got_it(self, sent, environ, marked):
        headers = headers_of_refusal(sent, **environ)
        assert ("nutmegdrum-sent" in headers) is marked
        assert headers["nutmegdrum-verdict"] == "not-run"


class RefusingCall:
    """Request that is complete after the notice of a shutdown."""

    def complete(self):
        raise Refusal(SHUTTING_DOWN, Verdict.NOT_RUN, 1_000)


class Gatewayed:
    """Gateway whose components note what reaches them."""

    def __init__(self):
        self.reached = []
        self.status = ""
        workspace = WorkspaceSettings(id="w", key_sha256=sha256(b"k").hexdigest())
        self.gateway = Gateway(
            SimpleNamespace(
                cfg=SimpleNamespace(workspaces=[workspace]),
                clock=SimpleNamespace(elapsed_ms=lambda: 0),
                generations=SimpleNamespace(
                    start=self.note, cancel=lambda *args: self.reached.append("cancel")
                ),
                plain=SimpleNamespace(find_route=lambda path: SimpleNamespace(service="s")),
                admission=SimpleNamespace(admit=self.note),
                passing_on=SimpleNamespace(answer=self.note),
                rng=SimpleNamespace(getrandbits=lambda bits: 1),
                tally=ServiceTally(),
            )
        )

    def note(self, *args):
        self.reached.append(args)
        raise Refusal(OVERLOADED, Verdict.NOT_RUN, 1_000)

    def ask(self, method, path):
        """Return the answer to a request that the gate turns away once it is complete."""

        def start(status, headers):
            self.status = status

        body = b'{"model": "m", "prompt": "p"}'
        environ = {
            "REQUEST_METHOD": method,
            "PATH_INFO": path,
            "HTTP_AUTHORIZATION": "Bearer k",
            "CONTENT_LENGTH": str(len(body)),
            "wsgi.input": io.BytesIO(body),
            CALL: RefusingCall(),
        }
        return b"".join(self.gateway(environ, start))


class TestRequestsCompleteAfterTheNotice:
    @pytest.mark.parametrize("path", ["/v1/completions", "/v1/chat/completions", "/farm/beets"])
    def test_reach_nothing(self, path):
        world = Gatewayed()
        assert b"shutting-down" in world.ask("POST", path)
        assert world.status.startswith("503")
        assert world.reached == []

    def test_cancellations_are_accepted(self):
        world = Gatewayed()
        assert world.ask("DELETE", "/v1/generations/g1") == b""
        assert world.status.startswith("204")
        assert world.reached == ["cancel"]


class TestMalformedBody:
    def test_is_refused_with_its_status(self):
        with socket.socket() as sock:
            sock.bind(("127.0.0.1", 0))
            port = sock.getsockname()[1]
        listener = HttpListener(Address(f"127.0.0.1:{port}"), Gatewayed().gateway, threads=2)
        listener.start()
        with socket.create_connection(("127.0.0.1", port), 8) as caller:
            caller.sendall(
                b"POST /v1/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer k\r\n"
                b"Transfer-Encoding: chunked\r\n\r\nzz\r\n"
            )
            assert caller.recv(4_096).startswith(b"HTTP/1.1 400")
        listener.stop()

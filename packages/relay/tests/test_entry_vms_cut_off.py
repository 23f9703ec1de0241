"""Entry VMs that have lost their paths to all backend servers, which others still reach."""

import contextlib
import socket
import threading
from concurrent.futures import ThreadPoolExecutor

import pytest
from nutmegdrum.rate_limits import ServerLimits
from nutmegdrum.units import Address
from nutmegdrum_coord.ids import BackendId
from nutmegdrum_testing.dark_address import dark_address
from nutmegdrum_testing.relay_calls import answers, connect, cut_off, get, headers, numbers
from nutmegdrum_testing.relay_world import RelayWorld, document
from nutmegdrum_testing.scripted_backend import ScriptedBackend
from nutmegdrum_testing.waiting import wait_for

KINDS = ["idempotent", "non-idempotent", "stream"]


def refusing_address():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return Address(f"127.0.0.1:{sock.getsockname()[1]}")


@pytest.fixture
def addresses():
    """Yield a function that returns addresses at which connections hang or are refused."""
    with contextlib.ExitStack() as stack:

        def new(how, count):
            if how == "refused":
                return [refusing_address() for _ in range(count)]
            return [stack.enter_context(dark_address()) for _ in range(count)]

        yield new


@pytest.fixture
def worlds():
    """Yield entry VMs, each of which may pass requests on to the others."""
    running = [RelayWorld(document()) for _ in range(3)]
    for world in running:
        world.set_peers(*(other for other in running if other is not world))
    yield running
    with ThreadPoolExecutor() as pool:
        list(pool.map(RelayWorld.stop, running))


def served(received):
    if "/stream/" not in received.target:
        received.answer(200, b"body", X_Id=received.headers["x-id"], X_Seal="s")
        return
    received.start_events(X_Id=received.headers["x-id"])
    for number in range(int(received.headers.get("x-last", "0")) + 1, 4):
        received.event(number)
    received.end_events()


class TestCutOff:
    @pytest.mark.parametrize("how", ["refused", "hangs"])
    @pytest.mark.parametrize("kind", KINDS)
    def test_requests_are_served_by_way_of_another_entry_vm(self, worlds, addresses, kind, how):
        lost, *others = worlds
        (backend,) = others[0].add(served)
        others[1].share([backend])
        cut_off(lost, addresses(how, 3))
        for number in range(5):
            status, sent, body = get(lost, f"/{kind}/x", "POST", b"b", X_Id=f"q{number}")
            assert (status, sent.get("X-Id")) == (200, f"q{number}")
            assert body == b"body" if kind != "stream" else numbers(body) == [1, 2, 3]
        received = [r for r in backend.received if "first" not in r.target]
        assert [r.body for r in received] == [b"b"] * 5
        assert {r.headers["x-workspace"] for r in received} == {"team"}

    def test_requests_go_directly_again_after_the_cut(self, worlds, addresses):
        lost, *others = worlds
        (backend,) = others[0].add(served)
        cut_off(lost, addresses("refused", 3))
        lost.share([backend])
        servers = lost.backends.of_service("svc")
        wait_for(lambda: not lost.links.is_cut_off("svc", servers))
        lost.set_peers()
        assert get(lost, "/idempotent/x")[0] == 200

    def test_a_request_is_not_passed_on_twice(self, worlds, addresses):
        for world in worlds:
            cut_off(world, addresses("refused", 3))
        for kind in KINDS:
            status, sent, _ = get(worlds[0], f"/{kind}/x", "POST", X_Deadline="5000")
            assert (status, float(sent["Retry-After"]) > 0) == (503, True)

    def test_servers_that_others_find_down_are_not_asked_for_elsewhere(self, worlds, addresses):
        lost, other, _ = worlds
        (backend,) = other.add(served)
        cut_off(lost, addresses("refused", 3))
        before = len(backend.received)
        lost.backends.pause_reported_down(["b0", "b1", "b2"])
        assert get(lost, "/non-idempotent/x", "POST")[0] == 503
        assert len(backend.received) == before

    def test_a_vm_with_an_older_document_does_not_serve_a_request(self, worlds, addresses):
        lost, old, _ = worlds
        (backend,) = old.add(served)
        lost.set_peers(old)
        lost.table.version = 2
        cut_off(lost, addresses("refused", 3))
        assert get(lost, "/idempotent/x")[0] == 503
        assert backend.received == []

    def test_the_key_is_checked_and_not_passed_to_the_server(self, worlds, addresses):
        lost, other, _ = worlds
        (backend,) = other.add(served)
        lost.set_peers(other)
        cut_off(lost, addresses("refused", 3))
        assert get(lost, "/idempotent/x", X_Key="wrong")[0] == 401
        get(lost, "/idempotent/x")
        assert "x-key" not in backend.received[-1].headers

    def test_a_server_cannot_forge_a_refusal_of_an_entry_vm(self, worlds, addresses):
        lost, other, _ = worlds
        other.add(answers(200, b"body", Nutmegdrum_Refused="not-run"))
        lost.set_peers(other)
        cut_off(lost, addresses("refused", 3))
        status, sent, _ = get(lost, "/non-idempotent/x", "POST")
        assert (status, "Nutmegdrum-Refused" in sent) == (200, False)

    def test_a_caller_that_leaves_cancels_its_request(self, worlds, addresses):
        lost, other, _ = worlds
        begun, gone = threading.Event(), threading.Event()

        def waits(received):
            received.start_events(X_Id=received.headers["x-id"])
            received.event(1)
            begun.set()
            if received.wait_gone(5):
                gone.set()

        other.add(waits)
        lost.set_peers(other)
        cut_off(lost, addresses("refused", 3))
        begun.clear()
        conn = connect(lost)
        conn.request("POST", "/stream/x", b"", headers())
        assert begun.wait(5)
        conn.sock.shutdown(socket.SHUT_RDWR)
        conn.close()
        assert gone.wait(5)


class TestAttempts:
    """A request runs on no more servers than its route allows, also by way of other VMs."""

    @pytest.mark.parametrize("kind", ["idempotent", "stream"])
    def test_failures_that_were_retried_elsewhere_are_not_retried_in_full(
        self, worlds, addresses, kind
    ):
        lost, *others = worlds
        first, *rest = others[0].add(*[answers(500)] * 5)
        others[1].share([first, *rest])
        cut_off(lost, addresses("refused", 3))
        before = sum(len(backend.received) for backend in (first, *rest))
        assert get(lost, f"/{kind}/x", "POST")[0] >= 500
        runs = sum(len(backend.received) for backend in (first, *rest)) - before
        assert 2 <= runs <= 3


@pytest.fixture
def peers():
    """Yield a function that starts stand-ins of entry VMs, with a script each."""
    running = []

    def start(*scripts):
        running.extend(ScriptedBackend(script) for script in scripts)
        return running[-len(scripts) :]

    yield start
    for peer in running:
        peer.stop()


def resets(received):
    received.reset()


def received_by(peers):
    return sum("first" not in r.target for peer in peers for r in peer.received)


class TestLostEntryVm:
    """The entry VM to which a request was passed on fails."""

    def lost_world(self, worlds, addresses, peers):
        worlds[0].set_peer_addresses(*(peer.address for peer in peers))
        cut_off(worlds[0], addresses("refused", 3))
        return worlds[0]

    def test_a_request_that_may_have_run_is_not_sent_again(self, worlds, addresses, peers):
        running = peers(resets, resets, resets)
        lost = self.lost_world(worlds, addresses, running)
        assert get(lost, "/non-idempotent/x", "POST")[0] == 502
        assert received_by(running) == 1

    @pytest.mark.parametrize(
        ("verdict", "status", "sent"), [("may-have-run", 502, 1), ("not-run", 503, 3)]
    )
    def test_a_refusal_says_whether_it_may_be_sent_again(
        self, worlds, addresses, peers, verdict, status, sent
    ):
        running = peers(*[answers(502, Nutmegdrum_Refused=verdict)] * 3)
        lost = self.lost_world(worlds, addresses, running)
        assert get(lost, "/non-idempotent/x", "POST")[0] == status
        assert received_by(running) == sent

    def test_an_idempotent_request_is_sent_by_way_of_another(self, worlds, addresses, peers):
        running = peers(resets, answers(200, b"body"))
        lost = self.lost_world(worlds, addresses, running)
        for _ in range(5):
            assert get(lost, "/idempotent/x")[2] == b"body"

    def test_a_stream_goes_on_by_way_of_another(self, worlds, addresses, peers):
        def breaks_off(received):
            if "x-last" in received.headers:
                served(received)
                return
            received.start_events(X_Id=received.headers["x-id"])
            received.event(1)
            received.reset()

        running = peers(breaks_off, breaks_off)
        lost = self.lost_world(worlds, addresses, running)
        status, _, body = get(lost, "/stream/x", "POST")
        assert (status, numbers(body)) == (200, [1, 2, 3])

    def test_its_loss_is_not_counted_as_a_crash_of_a_server(self, worlds, addresses, peers):
        lost = self.lost_world(worlds, addresses, peers(resets, resets))
        get(lost, "/non-idempotent/x", "POST")
        assert lost.crash_watch.take_reports() == ((), ())


class TestRateLimits:
    @pytest.mark.parametrize("kind", KINDS)
    def test_a_vm_that_is_cut_off_takes_no_permits_from_those_that_reach_the_servers(
        self, worlds, addresses, kind, monkeypatch
    ):
        lost, *_ = worlds
        cut_off(lost, addresses("refused", 3))
        for number in range(3):
            lost.backends.limits.on_answer(BackendId(f"b{number}"), ServerLimits(3.0))
        taken = []
        monkeypatch.setattr(lost.permits, "acquire", lambda *wanted: taken.append(wanted))
        for _ in range(3):
            assert get(lost, f"/{kind}/x", "POST")[0] == 503
        assert taken == []

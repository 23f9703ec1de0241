"""Detection of entry VMs that have lost their paths to the backend servers."""

import random
import socket

import pytest
from nutmegdrum.units import Address
from nutmegdrum_coord.clock import ManualClock, SystemClock
from nutmegdrum_relay.backends import Backends
from nutmegdrum_relay.links import FAILURE_VALID, FAILURES_CUT_OFF, LinkProber, Links
from nutmegdrum_relay.upstream import UpstreamPool
from nutmegdrum_testing.relay_calls import answers
from nutmegdrum_testing.relay_world import SERVICE, listed
from nutmegdrum_testing.scripted_backend import ScriptedBackend
from nutmegdrum_testing.waiting import wait_for


def servers_of(count, clock):
    backends = Backends(clock)
    backends.set_listing([listed(f"b{n}", Address(f"127.0.0.1:{n + 1}")) for n in range(count)])
    return backends.of_service(SERVICE)


class TestLinks:
    @pytest.fixture
    def clock(self):
        return ManualClock(10_000)

    @pytest.fixture
    def links(self, clock):
        return Links(clock)

    @pytest.mark.parametrize(("count", "needed"), [(1, 1), (3, 3), (6, 6), (78, FAILURES_CUT_OFF)])
    def test_all_of_a_few_servers_or_several_of_many_must_fail(self, links, clock, count, needed):
        servers = servers_of(count, clock)
        for backend in servers[: needed - 1]:
            links.on_connect(backend, connected=False)
        assert not links.is_cut_off(SERVICE, servers)
        links.on_connect(servers[needed - 1], connected=False)
        assert links.is_cut_off(SERVICE, servers)

    def test_one_connection_ends_it(self, links, clock):
        servers = servers_of(3, clock)
        for backend in servers:
            links.on_connect(backend, connected=False)
        links.on_connect(servers[0], connected=True)
        assert not links.is_cut_off(SERVICE, servers)

    def test_failures_count_for_a_while_only(self, links, clock):
        servers = servers_of(2, clock)
        links.on_connect(servers[0], connected=False)
        clock.advance(FAILURE_VALID)
        links.on_connect(servers[1], connected=False)
        assert not links.is_cut_off(SERVICE, servers)

    def test_a_service_whose_servers_are_not_listed_any_more_is_not_cut_off(self, links, clock):
        servers = servers_of(1, clock)
        links.on_connect(servers[0], connected=False)
        assert links.is_cut_off(SERVICE, servers)
        assert links.cut_off_services() == {SERVICE}
        clock.advance(FAILURE_VALID)
        assert links.cut_off_services() == frozenset()

    def test_a_service_without_servers_is_not_cut_off(self, links):
        assert not links.is_cut_off(SERVICE, [])


class TestSilence:
    @pytest.mark.parametrize(("answered", "suspected"), [(True, []), (False, [SERVICE])])
    def test_a_request_that_takes_long_is_no_sign_of_a_cut(self, answered, suspected):
        clock = ManualClock(10_000)
        links = Links(clock)
        slow, other = servers_of(2, clock)
        links.on_answer(other)
        sent_ms = clock.elapsed_ms()
        clock.advance(100)
        if answered:
            links.on_answer(other)
        clock.advance(1_000)
        links.on_silence(slow, sent_ms)
        assert links.take_suspected() == suspected


class TestProber:
    """The first failure is enough to find out about the other servers, and the end of a cut."""

    def start(self, addresses):
        clock = SystemClock()
        backends = Backends(clock)
        backends.set_listing([listed(f"b{n}", address) for n, address in enumerate(addresses)])
        links = Links(clock)
        prober = LinkProber(random.Random(1), links, backends.of_service, UpstreamPool(clock))
        prober.start()
        servers = backends.of_service(SERVICE)
        return links, servers, prober

    def test_a_cut_is_found_after_one_failure_and_its_end_without_requests(self):
        with socket.socket() as listener:
            listener.bind(("127.0.0.1", 0))
            address = Address(f"127.0.0.1:{listener.getsockname()[1]}")
            links, servers, prober = self.start([address, Address("127.0.0.1:1")])
            links.on_connect(servers[1], connected=False)
            wait_for(lambda: links.is_cut_off(SERVICE, servers))
            listener.listen()
            wait_for(lambda: not links.is_cut_off(SERVICE, servers))
            prober.stop()

    def test_a_crashed_server_is_no_cut(self):
        sound = ScriptedBackend(answers(200))
        links, servers, prober = self.start([sound.address, Address("127.0.0.1:1")])
        links.on_connect(servers[1], connected=False)
        wait_for(lambda: links.is_reached(SERVICE))
        assert not links.is_cut_off(SERVICE, servers)
        prober.stop()
        sound.stop()

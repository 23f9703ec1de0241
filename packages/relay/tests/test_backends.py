import pytest
from nutmegdrum.units import Address
from nutmegdrum_coord.clock import ManualClock
from nutmegdrum_relay.backends import (
    FIRST_PAUSE,
    MAX_PAUSE,
    REPLACED_VALID,
    REPORTED_PAUSE,
    Backends,
    Health,
)
from nutmegdrum_relay.shared_listing import ListingPublisher
from nutmegdrum_relay.views import Work
from nutmegdrum_testing.relay_world import SERVICE, listed

ONE = Address("10.0.0.1:80")
TWO = Address("10.0.0.2:80")
THREE = Address("10.0.0.3:80")
SOUND = [listed("a", ONE), listed("b", TWO)]


@pytest.fixture
def clock():
    return ManualClock(1_000)


@pytest.fixture
def backends(clock):
    backends = Backends(clock)
    backends.set_listing([listed("a", ONE), listed("b", TWO)])
    return backends


def named(backends, name):
    return next(b for b in backends.of_service(SERVICE) if b.id == name)


def ids(backends, service=SERVICE):
    return [b.id for b in backends.of_service(service)]


def foreign(name, address, service="elsewhere"):
    """Return an entry of another writer, whose service no routing document names."""
    return listed(name, address)._replace(service=service)


class TestListing:
    def test_draining_backend_servers_are_excluded(self, backends):
        backends.set_listing([listed("a", ONE, leaving=True), listed("b", TWO)])
        assert [b.id for b in backends.of_service(SERVICE)] == ["b"]

    def test_work_is_kept_while_a_backend_server_is_listed(self, backends):
        backends.add(named(backends, "a"), Work(5, 6))
        backends.set_listing([listed("a", ONE), listed("b", TWO)])
        assert backends.own_work() == {"a": Work(5, 6)}

    def test_a_newer_server_at_the_same_address_replaces_the_older(self, backends):
        # Copies were sent to crashed ids that were still listed (ksh-fleet, trouble-1).
        old = named(backends, "a")
        backends.set_listing([listed("a", ONE), listed("b", TWO), listed("c", ONE)])
        assert [b.id for b in backends.of_service(SERVICE)] == ["b", "c"]
        assert backends.successor(old).id == "c"

    def test_the_successor_at_an_address_belongs_to_the_same_service(self, backends):
        old = named(backends, "a")
        other = listed("c", ONE)._replace(service="other")
        backends.set_listing([listed("b", TWO), other])
        assert backends.successor(old) is old


class TestSuccessors:
    def test_a_predecessor_returns_if_its_successor_leaves_the_list_first(self, backends):
        # Guards against sound servers that stayed out of use while they were listed (review/10).
        old = named(backends, "a")
        backends.set_listing([*SOUND, listed("c", ONE)])
        backends.set_listing(SOUND)
        assert ids(backends) == ["a", "b"]
        assert named(backends, "a") is old

    def test_a_predecessor_returns_once_another_server_answers_for_its_successor(self, backends):
        backends.set_listing([*SOUND, listed("c", ONE)])
        backends.on_replaced(named(backends, "c"))
        assert ids(backends) == ["a", "b"]

    def test_a_successor_stays_when_its_predecessor_leaves_the_list(self, backends):
        backends.set_listing([*SOUND, listed("c", ONE)])
        backends.set_listing([listed("b", TWO), listed("c", ONE)])
        assert ids(backends) == ["b", "c"]

    def test_the_latest_of_several_successors_is_used(self, backends):
        backends.set_listing([*SOUND, listed("d", ONE)])
        backends.set_listing([*SOUND, listed("d", ONE), listed("c", ONE)])
        assert ids(backends) == ["b", "c"]

    def test_a_successor_of_another_service_replaces_at_once(self, backends):
        backends.set_services([SERVICE, "other"])
        backends.set_listing([*SOUND, foreign("c", ONE, "other")])
        assert (ids(backends), ids(backends, "other")) == (["b"], ["c"])

    def test_a_displaced_server_is_not_reported_down(self, backends):
        backends.set_listing([*SOUND, listed("c", ONE)])
        assert backends.found_down() == ()
        backends.on_replaced(named(backends, "c"))
        assert backends.found_down() == ("c",)


class TestServersFoundReplaced:
    @pytest.fixture
    def replaced(self, backends):
        backends.on_replaced(named(backends, "a"))
        return backends

    def test_is_used_again_if_it_is_listed_long_after(self, replaced, clock):
        clock.advance(REPLACED_VALID - 1)
        replaced.set_listing(SOUND)
        assert ids(replaced) == ["b"]
        clock.advance(1)
        replaced.set_listing(SOUND)
        assert ids(replaced) == ["a", "b"]

    def test_is_not_used_again_without_a_newer_list(self, replaced, clock):
        read_ms = clock.elapsed_ms()
        clock.advance(2 * REPLACED_VALID)
        replaced.set_listing(SOUND, read_ms)
        assert ids(replaced) == ["b"]

    def test_is_used_again_by_a_list_of_the_leader_that_has_not_changed(self, clock):
        backends, publisher = Backends(clock), ListingPublisher(clock, "leader")
        publisher.publish(SOUND)
        backends.set_shared_listing(publisher.for_entry(""))
        backends.on_replaced(named(backends, "a"))
        for at_ms, used in [(REPLACED_VALID - 1, ["b"]), (1, ["a", "b"])]:
            clock.advance(at_ms)
            publisher.publish(SOUND)
            backends.set_shared_listing(publisher.for_entry(backends.listing_name))
            assert ids(backends) == used

    def test_is_used_at_once_at_another_address(self, replaced):
        replaced.set_listing([listed("a", THREE), listed("b", TWO)])
        assert ids(replaced) == ["a", "b"]


class TestEntriesOfAnotherWriter:
    """Guards against entries that name no server and take sound ones out of use (review/10)."""

    @pytest.fixture
    def backends(self, backends):
        backends.set_services([SERVICE, "other"])
        return backends

    def test_a_new_id_at_the_address_of_a_server_does_not_displace_it(self, backends):
        known = backends.of_service(SERVICE)
        backends.set_listing([*SOUND, foreign("x", ONE), foreign("y", TWO)])
        assert backends.of_service(SERVICE) == known
        assert backends.found_down() == ()
        backends.set_listing(SOUND)
        assert backends.of_service(SERVICE) == known

    @pytest.mark.parametrize("service", ["elsewhere", "a service before all others"])
    @pytest.mark.parametrize("address", [ONE, THREE])
    @pytest.mark.parametrize("leaving", [False, True])
    def test_a_servers_own_id_does_not_hide_it(self, backends, service, address, leaving):
        known = backends.of_service(SERVICE)
        entry = foreign("a", address, service)._replace(leaving=leaving)
        for listing in ([entry, *SOUND], [*SOUND, entry], SOUND):
            backends.set_listing(listing)
            assert backends.of_service(SERVICE) == known

    def test_do_not_hide_that_a_server_drains(self, backends):
        draining = [listed("a", ONE, leaving=True), listed("b", TWO)]
        backends.set_listing([*draining, foreign("a", ONE)])
        assert ids(backends) == ["b"]

    def test_that_were_listed_before_the_first_document_displace_none_after_it(self, clock):
        backends = Backends(clock)
        backends.set_listing(SOUND)
        backends.set_listing([*SOUND, foreign("x", ONE), foreign("b", THREE)])
        backends.set_services([SERVICE])
        assert ids(backends) == ["a", "b"]

    def test_count_once_a_document_names_their_service(self, backends):
        backends.set_listing([*SOUND, foreign("x", ONE)])
        backends.set_services([SERVICE, "elsewhere"])
        assert (ids(backends), ids(backends, "elsewhere")) == (["b"], ["x"])

    def test_a_service_that_a_document_drops_keeps_its_servers_for_requests_under_way(
        self, backends
    ):
        known = backends.of_service(SERVICE)
        backends.set_services(["other"])
        assert backends.of_service(SERVICE) == known
        backends.set_services([SERVICE])
        assert backends.of_service(SERVICE) == known


class TestPauses:
    def test_pauses_double_up_to_the_maximum_and_end(self, backends, clock):
        backend = named(backends, "a")
        for expected in (FIRST_PAUSE, 2 * FIRST_PAUSE, 4 * FIRST_PAUSE, MAX_PAUSE, MAX_PAUSE):
            backends.on_down(backend, "test")
            clock.advance(expected - 1)
            assert backend.health(clock.elapsed_ms()) is Health.PAUSED
            clock.advance(1)
            assert backend.health(clock.elapsed_ms()) is Health.UP

    def test_a_success_resets_the_pause(self, backends, clock):
        backend = named(backends, "a")
        backends.on_down(backend, "test")
        clock.advance(FIRST_PAUSE)
        backends.on_answer(backend, failed=False)
        backends.on_down(backend, "test")
        assert backend.pause_ms == FIRST_PAUSE

    def test_servers_reported_down_are_paused_but_not_reported_again(self, backends, clock):
        backends.pause_reported_down(["a", "unknown"])
        backend = named(backends, "a")
        assert backend.health(clock.elapsed_ms()) is Health.PAUSED
        assert backends.found_down() == ()
        clock.advance(REPORTED_PAUSE)
        assert backend.health(clock.elapsed_ms()) is Health.UP

    def test_servers_found_down_are_reported(self, backends):
        backends.on_down(named(backends, "a"), "test")
        assert backends.found_down() == ("a",)

    def test_servers_of_a_service_that_is_cut_off_are_not_reported(self, backends):
        backend, *_ = backends.of_service(SERVICE)
        backends.on_down(backend, "no-connection")
        assert backends.found_down({SERVICE}) == ()

    def test_a_replaced_backend_server_stays_excluded_while_the_list_may_lag(self, backends):
        backends.on_replaced(named(backends, "a"))
        backends.set_listing([listed("a", ONE), listed("b", TWO)])
        assert [b.id for b in backends.of_service(SERVICE)] == ["b"]

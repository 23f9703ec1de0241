import pytest
from nutmegdrum.packing import pack, unpack
from nutmegdrum.units import Address
from nutmegdrum_coord.clock import ManualClock
from nutmegdrum_relay.backends import LISTING_VALID, Backends
from nutmegdrum_relay.shared_listing import ListingPublisher
from nutmegdrum_relay.views import ControlView
from nutmegdrum_testing.relay_world import SERVICE, listed

ONE = listed("a", Address("10.0.0.1:80"))
TWO = listed("b", Address("10.0.0.2:80"))


@pytest.fixture
def clock():
    return ManualClock(1_000)


@pytest.fixture
def publisher(clock):
    return ListingPublisher(clock, "leader")


class TestListingPublisher:
    def test_nothing_before_a_reading(self, publisher):
        assert publisher.for_entry("") is None

    def test_the_list_is_sent_once_and_its_age_after_that(self, publisher, clock):
        publisher.publish([TWO, ONE])
        first = publisher.for_entry("")
        assert first.listed == (ONE, TWO)
        clock.advance(70)
        again = publisher.for_entry(first.name)
        assert (again.listed, again.age_ms) == (None, 70)

    def test_only_a_change_has_a_new_name(self, publisher):
        publisher.publish([ONE])
        first = publisher.for_entry("").name
        publisher.publish([ONE])
        assert publisher.for_entry(first).listed is None
        publisher.publish([ONE, TWO])
        assert publisher.for_entry(first).listed == (ONE, TWO)

    def test_another_leader_has_other_names(self, publisher, clock):
        publisher.publish([ONE])
        other = ListingPublisher(clock, "other")
        other.publish([TWO])
        assert other.for_entry(publisher.for_entry("").name).listed == (TWO,)


class TestEncoding:
    def test_a_list_goes_to_entry_vms_and_back(self, publisher):
        # ksh-fleet, quiet-1: a time in the list could not be decoded, and the thread that
        # followed documents ended.
        publisher.publish([ONE, TWO._replace(leaving=True, warming_up=True)])
        view = ControlView(fresh=True, version=0, listing=publisher.for_entry(""))
        assert unpack(pack(view), ControlView) == view


class TestEntrySide:
    def test_an_entry_vm_reads_by_itself_when_no_leader_has_read_lately(self, publisher, clock):
        backends = Backends(clock)
        assert backends.needs_listing()
        publisher.publish([ONE])
        backends.set_shared_listing(publisher.for_entry(""))
        assert [b.id for b in backends.of_service(SERVICE)] == ["a"]
        clock.advance(LISTING_VALID)
        assert not backends.needs_listing()
        backends.set_shared_listing(publisher.for_entry(backends.listing_name))
        clock.advance(1)
        assert backends.needs_listing()
        publisher.publish([ONE])
        backends.set_shared_listing(publisher.for_entry(backends.listing_name))
        assert not backends.needs_listing()

    def test_an_own_reading_makes_the_leader_send_its_list_again(self, publisher, clock):
        backends = Backends(clock)
        publisher.publish([ONE])
        backends.set_shared_listing(publisher.for_entry(""))
        backends.set_listing([ONE, TWO])
        assert publisher.for_entry(backends.listing_name).listed == (ONE,)

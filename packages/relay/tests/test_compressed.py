import json
import random
import zlib

import pytest
from nutmegdrum.packing import pack
from nutmegdrum.units import Address
from nutmegdrum_coord.clock import ManualClock
from nutmegdrum_coord.ids import IncarnationId, VmId
from nutmegdrum_relay.backends import Backends
from nutmegdrum_relay.compressed import MAX_INFLATED, compress, decompress
from nutmegdrum_relay.crash_watch import CrashWatch
from nutmegdrum_relay.fleet_work import Reporter
from nutmegdrum_relay.shared_listing import ListingPublisher
from nutmegdrum_relay.version_gate import VersionGate
from nutmegdrum_relay.views import ControlView, SharedListing
from nutmegdrum_testing.relay_world import SERVICE, listed


class TestCompressed:
    @pytest.mark.parametrize("data", [b"", b"x", b"name" * 5_000])
    def test_round_trip(self, data):
        assert decompress(compress(data)) == data

    @pytest.mark.parametrize("data", [b"x", compress(b"name" * 99)[:-4]])
    def test_corrupt_or_truncated_data_is_refused(self, data):
        with pytest.raises(ValueError):
            decompress(data)

    def test_data_that_inflates_too_much_is_refused(self):
        with pytest.raises(ValueError):
            decompress(zlib.compress(bytes(MAX_INFLATED + 1)))


class TestSizeOfAView:
    """Size of a message, which at the users' largest site is sent to 191 entry VMs."""

    def test_of_a_document(self):
        route = {"host": "h.example", "kind": "streaming", "timeout_ms": 25_000, "service": "s"}
        routes = [{**route, "name": f"r-{n}", "path_prefix": f"/p{n}/"} for n in range(44)]
        tenants = [{"name": f"t{n}", "api_keys": [f"key-{n}-{n * 7919}"]} for n in range(40)]
        source = json.dumps({"version": 1, "routes": routes, "tenants": tenants}).encode()
        view = ControlView(fresh=True, version=1, compressed_source=compress(source))
        assert view.source == source
        assert len(pack(view)) < len(source) / 4

    def test_of_the_list(self):
        servers = [listed(f"i-{n * 7919:010x}", Address(f"10.0.64.{n}:8327")) for n in range(161)]
        publisher = ListingPublisher(ManualClock(), "leader")
        publisher.publish(servers)
        shared = publisher.for_entry("")
        assert shared.listed == tuple(sorted(servers))
        assert len(pack(shared)) < len(pack(tuple(servers))) / 4


class TestUnreadableListing:
    def test_is_ignored_and_the_rest_of_the_answer_is_applied(self):
        class Client:
            def report_to_leader(self, report, timeout):
                damaged = SharedListing(name="leader/2", age_ms=0, compressed=b"x")
                return ControlView(fresh=True, version=0, work={}, listing=damaged)

        clock = ManualClock(1_000)
        backends = Backends(clock)
        backends.set_listing([listed("b", Address("10.0.0.1:80"))])
        gate = VersionGate(clock, random.Random(1))
        watch = CrashWatch(clock)
        vm, start = VmId("e"), IncarnationId("1")
        reporter = Reporter(vm, start, clock, Client(), backends, gate, watch)
        assert reporter.fetch_others_work(0)
        assert [b.id for b in backends.of_service(SERVICE)] == ["b"]

import random

import pytest
from nutmegdrum.units import PPM, Address, Duration
from nutmegdrum_coord.clock import ManualClock
from nutmegdrum_relay.backends import Backends
from nutmegdrum_relay.version_gate import SHARE_LEASE, VersionGate
from nutmegdrum_relay.version_tally import TallyKey
from nutmegdrum_relay.views import VersionShare, VersionShares
from nutmegdrum_testing.relay_world import SERVICE, listed

WAIT = Duration(500)


class World:
    """Version gate with four backend servers of each version."""

    def __init__(self, versions=("v1", "v2")):
        self.clock = ManualClock(10_000)
        self.backends = Backends(self.clock)
        self.backends.set_listing(
            listed(f"{version}-{n}", Address(f"10.0.{v}.{n}:80"), version=version)
            for v, version in enumerate(versions)
            for n in range(4)
        )
        self.gate = VersionGate(self.clock, random.Random(3))

    def shares(self, share_ppm, number=1, trial="v2", barred=()):
        share = VersionShare(SERVICE, trial, share_ppm, barred)
        self.gate.update_shares(VersionShares(number, (share,)))
        self.gate.renew_lease(self.clock.elapsed_ms(), WAIT)

    def versions(self, count=400, resend=False):
        """Return how many of `count` requests are eligible for each version."""
        seen = {}
        for _ in range(count):
            eligible = self.gate.eligible(SERVICE, self.backends.of_service(SERVICE), resend)
            versions = {backend.listed.version for backend in eligible}
            key = "/".join(sorted(versions))
            seen[key] = seen.get(key, 0) + 1
        return seen


@pytest.fixture
def world():
    return World()


class TestShares:
    def test_without_a_rollout_all_versions_are_eligible(self, world):
        assert world.versions() == {"v1/v2": 400}

    def test_a_share_of_new_requests_goes_to_the_version_under_trial(self, world):
        world.shares(PPM // 20)
        seen = world.versions(2_000)
        assert seen.keys() == {"v1", "v2"}
        assert 60 <= seen["v2"] <= 140

    def test_a_resent_request_goes_to_the_previous_versions(self, world):
        world.shares(PPM // 2)
        assert world.versions(resend=True) == {"v1": 400}

    def test_with_the_whole_share_nothing_goes_to_the_previous_versions(self, world):
        world.shares(PPM)
        assert world.versions() == {"v2": 400}
        assert world.versions(resend=True) == {"v2": 400}

    def test_a_barred_version_gets_nothing_even_if_it_is_the_only_one(self, world):
        world.shares(0, trial="", barred=("v2",))
        assert world.versions() == {"v1": 400}
        alone = World(versions=("v2",))
        alone.shares(0, trial="", barred=("v2",))
        assert alone.versions() == {"": 400}

    def test_stale_shares_are_ignored(self, world):
        world.shares(0, number=5, trial="", barred=("v2",))
        world.shares(PPM, number=4)
        assert world.versions() == {"v1": 400}

    def test_without_previous_versions_the_one_under_trial_gets_everything(self):
        # The previous versions are stopped once the rollout has completed.
        world = World(versions=("v2",))
        world.shares(PPM // 20)
        assert world.versions() == {"v2": 400}

    def test_a_share_uses_as_few_backend_servers_as_it_needs(self, world):
        world.shares(PPM // 20)
        ids = set()
        for _ in range(400):
            eligible = world.gate.eligible(SERVICE, world.backends.of_service(SERVICE), False)
            ids |= {b.id for b in eligible if b.listed.version == "v2"}
        assert ids == {"v2-0"}

    def test_a_version_whose_backend_servers_are_paused_gets_nothing(self, world):
        world.shares(PPM // 2)
        for backend in world.backends.of_service(SERVICE):
            if backend.listed.version == "v2":
                world.backends.on_down(backend, "no-connection")
        assert world.versions() == {"v1": 400}


class TestLease:
    def test_a_partitioned_entry_vm_returns_to_the_previous_versions(self, world):
        world.shares(PPM)
        world.clock.advance(WAIT + SHARE_LEASE - 1)
        assert world.versions() == {"v2": 400}
        world.clock.advance(1)
        assert world.versions() == {"v1": 400}

    def test_a_late_answer_renews_the_lease_from_the_time_of_sending(self, world):
        world.shares(PPM)
        sent_ms = world.clock.elapsed_ms()
        world.clock.advance(WAIT + SHARE_LEASE)
        world.gate.renew_lease(sent_ms, WAIT)
        assert world.versions() == {"v1": 400}

    def test_shares_without_a_lease_are_not_used(self, world):
        # After a power loss state replicas send the shares on their disks before an election.
        world.gate.update_shares(VersionShares(3, (VersionShare(SERVICE, "v2", PPM),)))
        assert world.versions() == {"v1": 400}


class TestTallyKey:
    def test_only_services_with_a_version_under_trial_are_counted(self, world):
        (backend, *_), route = world.backends.of_service(SERVICE), "r"
        assert world.gate.tally_key(route, backend) is None
        world.shares(PPM // 20)
        new = next(b for b in world.backends.of_service(SERVICE) if b.listed.version == "v2")
        assert world.gate.tally_key(route, backend) == TallyKey(SERVICE, route, "")
        assert world.gate.tally_key(route, new) == TallyKey(SERVICE, route, "v2")
        world.shares(0, number=2, trial="", barred=("v2",))
        assert world.gate.tally_key(route, new) is None

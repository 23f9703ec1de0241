import random

import pytest
from nutmegdrum.messages import LoadedVersion, LoadReport, LossKind
from nutmegdrum.plugins import Registry
from nutmegdrum.routing import SUBSET_SIZE, Router
from nutmegdrum.routing_query import RouteQuery
from nutmegdrum.settings import parse_settings
from nutmegdrum.units import Address
from nutmegdrum.view import BackendView, ModelView, TrialView, View
from nutmegdrum_coord.clock import ManualClock
from nutmegdrum_coord.verdict import NO_BACKEND, NOT_FOUND, OVERLOADED

SETTINGS = b"""{
  "deployment": "d", "vm": {"id": "e1", "data_centre": "dc", "region": "r"}, "roles": ["entry"],
  "listen": {"ops": "127.0.0.1:0", "peers": "127.0.0.1:0", "callers": "127.0.0.1:0"},
  "state_replicas": [], "services": [{"name": "desk", "kind": "plain"}]}"""
GRANT_MS = 1_500
LEASE_MS = 2_000


def backend(name, version="1", **options):
    loaded = [LoadedVersion("m", version)] if version else []
    return BackendView(
        id=name,
        address=Address("127.0.0.1:1"),
        service="llm",
        data_centre="dc",
        loaded=loaded,
        **options,
    )


def model(share_ppm=0):
    trial = TrialView(version="2", share_ppm=share_ppm, grant_ms=GRANT_MS) if share_ppm else None
    return ModelView(name="m", service="llm", settled="1", trial=trial)


class Routes:
    def __init__(self, backends, share_ppm=0, seed=1):
        self.clock = ManualClock()
        cfg = parse_settings(SETTINGS)
        self.router = Router(cfg, self.clock, random.Random(seed), Registry())
        self.set(backends, share_ppm)

    def set(self, backends, share_ppm=0):
        view = View(position=1, generation=1, note=1, models=[model(share_ppm)], backends=backends)
        self.router.set_view(view, self.clock.elapsed_ms())

    def choose(self, model="m", **options):
        query = RouteQuery(model=model, workspace="w", prompt="p", generation="g", **options)
        return self.router.choose(query)

    def ids(self, count=100, **options):
        return [self.choose(**options).backend.id for _ in range(count)]

    def versions(self, count):
        return [getattr(self.choose(), "version", None) for _ in range(count)]


class TestEligibility:
    def test_leaving_backend_server_gets_no_new_work(self):
        routes = Routes([backend("b1"), backend("b2", leaving=True)])
        assert set(routes.ids()) == {"b1"}

    def test_excluded_and_wrongly_loaded_backend_servers_are_not_chosen(self):
        routes = Routes([backend("b1"), backend("b2"), backend("b3", "9"), backend("b4", "")])
        assert set(routes.ids(excluded=frozenset({"b1"}))) == {"b2"}

    def test_backend_servers_without_a_report_are_the_fallback_for_the_settled_version(self):
        routes = Routes([backend("b1", "")])
        assert routes.choose().backend.id == "b1"
        assert routes.choose(version="2") is NO_BACKEND
        assert routes.choose(adapter="a") is NO_BACKEND

    def test_an_unknown_model_is_not_found_while_the_view_is_fresh(self):
        routes = Routes([backend("b1")])
        assert routes.choose(model="none") is NOT_FOUND
        routes.clock.advance(LEASE_MS)
        assert routes.choose(model="none") is NO_BACKEND

    def test_service_without_backend_servers_is_not_unknown(self):
        assert Routes([]).choose(model="desk") is NO_BACKEND

    def test_backend_server_with_another_role_gets_no_work(self):
        routes = Routes([backend("b1"), backend("b2")])
        report = LoadReport(sequence=1, running=0, queued=0, slots=4, role="spare")
        routes.router.on_load_report("b2", report)
        assert set(routes.ids()) == {"b1"}

    def test_isolated_work_waits_for_a_backend_server_without_another_suspect(self):
        routes = Routes([backend("b1"), backend("b2")])
        routes.router.started("b1", isolated=True)
        assert set(routes.ids(isolated=True)) == {"b2"}
        routes.router.started("b2", isolated=True)
        assert routes.choose(isolated=True) is OVERLOADED
        assert routes.choose().backend.id in {"b1", "b2"}
        routes.router.finished("b1", True, isolated=True)
        assert set(routes.ids(isolated=True)) == {"b1"}

    def test_each_vm_uses_a_subset_of_many(self):
        routes = Routes([backend(f"b{n}") for n in range(400)])
        assert len(set(routes.ids(2_000))) <= SUBSET_SIZE


class TestSuspicion:
    def test_suspicion_doubles_with_each_loss(self):
        routes = Routes([backend("b1"), backend("b2")])
        for suspicion_ms in (1_000, 2_000, 4_000):
            routes.router.lost("b2", LossKind.SILENT)
            routes.clock.advance(suspicion_ms - 1)
            assert set(routes.ids()) == {"b1"}
            routes.clock.advance(1)
            assert set(routes.ids()) == {"b1", "b2"}

    def test_report_ends_the_suspicion_after_a_reset_but_not_after_a_timeout(self):
        routes = Routes([backend("b1"), backend("b2")])
        report = LoadReport(sequence=1, running=0, queued=0, slots=4)
        routes.router.lost("b1", LossKind.RESET)
        routes.router.lost("b2", LossKind.SILENT)
        routes.router.on_load_report("b1", report)
        routes.router.on_load_report("b2", report)
        assert routes.router.suspected() == ["b2"]

    def test_if_all_are_suspected_the_earliest_to_expire_is_chosen(self):
        routes = Routes([backend("b1"), backend("b2")])
        routes.router.lost("b2", LossKind.SILENT)
        routes.clock.advance(100)
        routes.router.lost("b1", LossKind.SILENT)
        assert set(routes.ids()) == {"b2"}


class TestLoad:
    def test_own_work_counts_before_it_is_reported(self):
        routes = Routes([backend("b1"), backend("b2")])
        for _ in range(40):
            routes.router.started(routes.choose().backend.id)
        loads = [routes.router.load(name) for name in ("b1", "b2")]
        assert abs(loads[0] - loads[1]) < 0.2

    def test_load_of_other_vms_is_taken_from_reports(self):
        routes = Routes([backend("b1"), backend("b2")])
        for name, running in (("b1", 10), ("b2", 0)):
            report = LoadReport(sequence=1, running=running, queued=0, slots=16)
            routes.router.on_load_report(name, report)
        assert set(routes.ids()) == {"b2"}


class TestTrialShare:
    SHARE_PPM = 20_000

    def routes(self, seed=1, settled=2):
        backends = [backend(f"b{n}") for n in range(settled)] + [backend("t1", "2")]
        return Routes(backends, self.SHARE_PPM, seed)

    @pytest.mark.parametrize("seed", range(20))
    def test_trial_gets_at_most_its_share_and_one(self, seed):
        versions = self.routes(seed).versions(1_000)
        assert 19 <= versions.count("2") <= 21

    def test_settled_requests_never_spill_to_the_trial(self):
        routes = self.routes()
        routes.versions(1_000)
        routes.set([backend("t1", "2")], self.SHARE_PPM)
        assert routes.versions(10_000).count("2") <= 1

    def test_trial_ends_with_its_grant(self):
        routes = self.routes()
        routes.clock.advance(GRANT_MS)
        assert "2" not in routes.versions(1_000)
        routes.router.renew_grants(routes.clock.elapsed_ms())
        assert "2" in routes.versions(1_000)

    def test_trial_without_backend_servers_does_not_affect_the_settled_version(self):
        routes = self.routes()
        routes.set([backend("b1")], self.SHARE_PPM)
        assert set(routes.versions(1_000)) == {"1"}


class TestService:
    def test_a_model_belongs_to_its_service_and_a_plain_service_is_its_own(self):
        router = Routes([backend("b")]).router
        assert [router.service_of(name) for name in ("m", "desk")] == ["llm", "desk"]

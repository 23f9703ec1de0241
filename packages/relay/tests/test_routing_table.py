import random
from collections import Counter

from nutmegdrum_relay.documents import (
    Route,
    RouteKind,
    RoutingDocument,
    Service,
    Target,
    Workspace,
)
from nutmegdrum_relay.routing_table import RoutingTable, choose_service


def route(name, host, prefix, **changes):
    fields = {"kind": RouteKind.IDEMPOTENT, "targets": (Target(service="a"),), "timeout": 1}
    return Route(name=name, host=host, prefix=prefix, **{**fields, **changes})


TABLE = RoutingTable(
    RoutingDocument(
        version=1,
        routes=(
            route("short", "h", "/a/"),
            route("long", "h", "/a/b/", priority=4),
            route("open", "h", "/open/", public=True),
            route("other", "i", "/"),
        ),
        services=(Service(name="a"), Service(name="b")),
        workspaces=(Workspace(id="w", keys=("k1", "k2"), priority=2), Workspace(id="x")),
    )
)


class TestRoutes:
    def test_longest_prefix_of_the_host_wins(self):
        assert TABLE.route("h", "/a/b/c").name == "long"
        assert TABLE.route("H", "/a/bc").name == "short"
        assert TABLE.route("i", "/a/b/c").name == "other"

    def test_unknown_paths_and_hosts_have_no_route(self):
        assert TABLE.route("h", "/a") is None
        assert TABLE.route("j", "/a/") is None


class TestWorkspaces:
    def test_each_key_names_its_workspace(self):
        assert TABLE.workspace("k1") == TABLE.workspace("k2")
        assert TABLE.workspace("k3") is None

    def test_public_routes_need_no_key(self):
        assert TABLE.needs_key(TABLE.route("h", "/a/"))
        assert not TABLE.needs_key(TABLE.route("h", "/open/"))

    def test_without_workspaces_no_route_needs_a_key(self):
        table = RoutingTable(RoutingDocument(version=1, routes=(route("r", "h", "/"),)))
        assert not table.needs_key(table.route("h", "/"))

    def test_the_workspaces_priority_overrides_the_routes(self):
        long = TABLE.route("h", "/a/b/")
        assert TABLE.priority(long, TABLE.workspace("k1")) == 2
        assert TABLE.priority(long, None) == 4


class TestSplits:
    def test_services_are_chosen_by_weight(self):
        split = route(
            "r",
            "h",
            "/s/",
            targets=(Target(service="a", weight=90), Target(service="b", weight=10)),
        )
        rng = random.Random(1)
        chosen = Counter(choose_service(TABLE, split, rng).name for _ in range(2_000))
        assert 140 < chosen["b"] < 260

"""Lookup of routes and workspaces in one version of the routing document."""

import random
from collections import defaultdict

from nutmegdrum_coord.ids import ServiceName

from nutmegdrum_relay.documents import Route, RoutingDocument, Service, Workspace


class RoutingTable:
    """Immutable index of a routing document; a new version gets a new table.

    Parameters
    ----------
    document : RoutingDocument
        Validated document.
    """

    def __init__(self, document: RoutingDocument):
        self.document = document
        self.version = document.version
        self.limits = document.limits
        self.services: dict[ServiceName, Service] = {s.name: s for s in document.services}
        self._routes: dict[str, list[Route]] = defaultdict(list)
        for route in document.routes:
            self._routes[route.host.lower()].append(route)
        for routes in self._routes.values():
            routes.sort(key=lambda route: len(route.prefix), reverse=True)
        self._workspaces = {
            key: workspace for workspace in document.workspaces or () for key in workspace.keys
        }

        self._priorities = service_priorities(document)

    def priorities(self, service: ServiceName) -> tuple[int, ...]:
        """Return the priorities of a service whose routes differ in priority; else none."""
        return self._priorities.get(service, ())

    def route(self, host: str, path: str) -> Route | None:
        """Return the route of `host` with the longest prefix of `path`, or None."""
        for route in self._routes.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None

    def needs_key(self, route: Route) -> bool:
        """Return whether requests of `route` must present a workspace's key."""
        return self.document.workspaces is not None and not route.public

    def workspace(self, key: str) -> Workspace | None:
        """Return the workspace with this key, or None."""
        return self._workspaces.get(key)

    def priority(self, route: Route, workspace: Workspace | None) -> int:
        """Return a request's priority; the workspace's overrides the route's."""
        if workspace is not None and workspace.priority is not None:
            return workspace.priority
        return route.priority


def service_priorities(document: RoutingDocument) -> dict[ServiceName, tuple[int, ...]]:
    """Return the different priorities of requests to services whose routes differ in priority.

    Priorities of workspaces alone are left to the engines, which admit urgent requests first: with
    admission control for these too, less was served in time on svk-router.
    """
    workspaces = document.workspaces or ()
    overrides = {each.priority for each in workspaces if each.priority is not None}
    inherits = document.workspaces is None or any(each.priority is None for each in workspaces)
    priorities: dict[ServiceName, set[int]] = defaultdict(set)
    for route in document.routes:
        for target in route.targets:
            # A request of a public route may have no key.
            priorities[target.service] |= overrides
            if inherits or route.public:
                priorities[target.service].add(route.priority)
    routes: dict[ServiceName, set[int]] = defaultdict(set)
    for route in document.routes:
        for target in route.targets:
            routes[target.service].add(route.priority)
    return {
        service: tuple(sorted(ranks))
        for service, ranks in priorities.items()
        if len(routes[service]) > 1
    }


def choose_service(table: RoutingTable, route: Route, rng: random.Random) -> Service:
    """Return one of the route's services, drawn at random by weight."""
    names = [target.service for target in route.targets]
    weights = [target.weight for target in route.targets]
    return table.services[rng.choices(names, weights)[0]]

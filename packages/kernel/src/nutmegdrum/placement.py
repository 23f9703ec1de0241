"""Placement of model versions on backend servers."""

from collections import Counter
from collections.abc import Sequence

import msgspec
from nutmegdrum_coord.clock import ElapsedMs, WallMs
from nutmegdrum_coord.ids import BackendId, DataCentre, VersionName

from nutmegdrum.fleet import Fleet, FleetMember
from nutmegdrum.messages import LoadedVersion
from nutmegdrum.moves import Move, MoveKind, MoveState
from nutmegdrum.releases import ModelState, Releases
from nutmegdrum.units import PPM

MIN_TRIAL_BACKENDS = 2
"""Minimum number of backend servers of a trial; if one is lost, another has the version."""

FIRST = WallMs(0)
"""Complete-by time of loads that restore a settled version; earlier than that of any move."""


class Load(msgspec.Struct, frozen=True, order=True, kw_only=True):
    """Required load of a version on a backend server; ordered by complete-by time."""

    complete_by: WallMs
    version: LoadedVersion
    backend: BackendId


def backends_needed(share_ppm: int, backends: int) -> int:
    """Return how many of `backends` servers must run a version to serve a share of traffic."""
    needed = -(-backends * share_ppm // PPM)
    return min(backends, max(needed, MIN_TRIAL_BACKENDS))


def backends_required(share_ppm: int, backends: int) -> int:
    """Return how many backend servers must run a version before it gets the share.

    A fifth of the needed ones may be missing, so that backend servers that restart with empty
    memory do not block a move.
    """
    wanted = backends_needed(share_ppm, backends)
    return max(min(wanted, MIN_TRIAL_BACKENDS), wanted - wanted // 5)


def holds(member: FleetMember, model: ModelState, version: VersionName) -> bool:
    """Return whether a backend server has loaded a version with all adapters of the model."""
    wanted = {LoadedVersion(model.name, version)}
    wanted |= {LoadedVersion(model.name, version, adapter) for adapter in model.adapters}
    return wanted <= set(member.loaded)


def ready_backends(
    fleet: Fleet, model: ModelState, version: VersionName, now_ms: ElapsedMs
) -> list[FleetMember]:
    """Return the reachable backend servers that can serve `version` with all adapters."""
    return [
        member
        for member in fleet.serving(model.service)
        if member.reachable(now_ms) and (model.plain or holds(member, model, version))
    ]


class Placement:
    """Target set of versions for each backend server, computed from the releases and the fleet.

    Parameters
    ----------
    releases : Releases
        Models and moves.
    fleet : Fleet
        Backend servers.
    now_ms : ElapsedMs
        The leader's monotonic time.
    """

    def __init__(self, releases: Releases, fleet: Fleet, now_ms: ElapsedMs):
        self._releases = releases
        self._fleet = fleet
        self._now_ms = now_ms
        self.wanted: dict[BackendId, dict[LoadedVersion, WallMs]] = {}
        for model in releases.models.values():
            if not model.plain:
                self._place_model(model)

    def loads(self) -> list[Load]:
        """Return the loads that are still missing, earliest complete-by time first."""
        missing = [
            Load(complete_by=complete_by, version=version, backend=backend)
            for backend, versions in self.wanted.items()
            for version, complete_by in versions.items()
            if version not in self._fleet.members[backend].loaded
        ]
        return sorted(missing)

    def unloads(self) -> list[tuple[BackendId, LoadedVersion]]:
        """Return the versions to unload from reachable backend servers that are not leaving."""
        known = set(self._releases.models) | {m.model for m in self._releases.moves.values()}
        return [
            (backend, version)
            for backend, member in sorted(self._fleet.members.items())
            if member.reachable(self._now_ms) and not (member.leaving or member.gone)
            for version in sorted(member.loaded, key=lambda v: (v.adapter == "", v))
            if version.model in known and version not in self.wanted.get(backend, {})
        ]

    def _place_model(self, model: ModelState) -> None:
        members = self._fleet.serving(model.service)
        moves = [move for move in self._releases.open_moves() if move.model == model.name]
        adding = [m for m in moves if m.kind is MoveKind.ADD and m.state is MoveState.LOADING]
        if model.serving:
            self._add_model(members, model, model.settled, FIRST)
        for move in adding:
            if move.adapter:
                version = LoadedVersion(model.name, model.settled, move.adapter)
            else:
                version = LoadedVersion(model.name, move.version)
            self._add_version(members, version, move.complete_by)
        for move in moves:
            if move.kind is MoveKind.CHANGE and move.state is not MoveState.PLANNED:
                chosen = self._choose(members, move)
                self._add_model(chosen, model, move.version, move.complete_by)
                for add in adding:
                    version = LoadedVersion(model.name, move.version, add.adapter)
                    self._add_version(chosen, version, add.complete_by)

    def _add_model(
        self,
        members: Sequence[FleetMember],
        model: ModelState,
        version: VersionName,
        complete_by: WallMs,
    ) -> None:
        self._add_version(members, LoadedVersion(model.name, version), complete_by)
        for adapter in model.adapters:
            self._add_version(members, LoadedVersion(model.name, version, adapter), complete_by)

    def _add_version(
        self, members: Sequence[FleetMember], version: LoadedVersion, complete_by: WallMs
    ) -> None:
        for member in members:
            wanted = self.wanted.setdefault(member.cfg.id, {})
            wanted[version] = min(complete_by, wanted.get(version, complete_by))

    def _choose(self, members: Sequence[FleetMember], move: Move) -> list[FleetMember]:
        count = backends_needed(_share_to_prepare(move), len(members))
        version = LoadedVersion(move.model, move.version)
        holding = [member for member in members if version in member.loaded]
        chosen = holding[:]
        others = [member for member in members if version not in member.loaded]
        per_data_centre: Counter[DataCentre] = Counter(member.cfg.data_centre for member in chosen)
        while len(chosen) < count and others:
            best = min(others, key=lambda member: self._cost(member, per_data_centre))
            others.remove(best)
            chosen.append(best)
            per_data_centre[best.cfg.data_centre] += 1
        return chosen

    def _cost(
        self, member: FleetMember, per_data_centre: Counter[DataCentre]
    ) -> tuple[bool, int, BackendId]:
        return (
            not member.reachable(self._now_ms),
            per_data_centre[member.cfg.data_centre],
            member.cfg.id,
        )


def _share_to_prepare(move: Move) -> int:
    if move.state is MoveState.LOADING or move.paused:
        return move.share_steps[0]
    return move.share_steps[min(move.step + 1, len(move.share_steps) - 1)]


def remaining_loads(releases: Releases, fleet: Fleet) -> list[Load]:
    """Return all loads that open moves need until they complete, by complete-by time."""
    loads = []
    for move in releases.open_moves():
        model = releases.models.get(move.model)
        if move.kind is MoveKind.WITHDRAW or move.adapter or model is None or model.plain:
            continue
        version = LoadedVersion(move.model, move.version)
        loads += [
            Load(complete_by=move.complete_by, version=version, backend=member.cfg.id)
            for member in fleet.serving(move.service)
            if version not in member.loaded
        ]
    return sorted(loads)

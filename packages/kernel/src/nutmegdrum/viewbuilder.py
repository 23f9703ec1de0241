"""Construction of the entry VMs' views from the replicated state and the fleet."""

from collections.abc import Sequence

import msgspec
from nutmegdrum_coord.clock import ElapsedMs
from nutmegdrum_coord.ids import FencingNumber, Fingerprint, VersionName
from nutmegdrum_coord.parts import CompositeState
from nutmegdrum_coord.quarantine import Quarantine

from nutmegdrum.fleet import Fleet, FleetMember
from nutmegdrum.messages import LoadedVersion
from nutmegdrum.releases import ModelState, Releases
from nutmegdrum.view import BackendView, ModelView, QuarantineView, TrialView, View

_GENERATION_BITS = 32

EXPIRY_TOLERANCE_MS = 1_000
"""Difference up to which two expiry times of a quarantine are equal, in ms."""


def build_view(
    state: CompositeState,
    fleet: Fleet,
    grant_ms: int,
    generation: int = 0,
    quarantines: Sequence[QuarantineView] = (),
) -> View:
    """Return the view of `state` and `fleet`.

    Parameters
    ----------
    grant_ms : int
        Time in ms for which a trial's share is valid after receipt.
    """
    releases = state.parts[Releases.name]
    models = [_model_view(m, releases, grant_ms) for m in releases.models.values() if m.serving]
    quarantine = state.parts.get(Quarantine.name)
    members = [member for member in fleet.members.values() if not member.gone]
    return View(
        position=state.position,
        generation=generation,
        note=releases.newest,
        models=models,
        backends=[_backend_view(member, models) for member in members],
        quarantines=list(quarantines),
        suspects=quarantine.suspects() if quarantine is not None else [],
        suspect_parts=_suspected_parts(state),
        knows_leaving=fleet.knows_leaving,
    )


def _suspected_parts(state: CompositeState) -> list[Fingerprint]:
    quarantine: Quarantine | None = state.parts.get(Quarantine.name)
    return quarantine.suspected_parts() if quarantine is not None else []


def _model_view(model: ModelState, releases: Releases, grant_ms: int) -> ModelView:
    move = releases.trial_of(model.name)
    trial = None
    if move is not None and move.share_ppm > 0:
        trial = TrialView(version=move.version, share_ppm=move.share_ppm, grant_ms=grant_ms)
    return ModelView(
        name=model.name,
        service=model.service,
        settled=model.settled,
        trial=trial,
        adapters=list(model.adapters),
    )


def _backend_view(member: FleetMember, models: Sequence[ModelView]) -> BackendView:
    return BackendView(
        id=member.cfg.id,
        address=member.cfg.address,
        service=member.cfg.service,
        data_centre=member.cfg.data_centre,
        leaving=member.leaving,
        loaded=[version for version in member.loaded if _usable(version, models)],
    )


def _usable(version: LoadedVersion, models: Sequence[ModelView]) -> bool:
    for model in models:
        if model.name == version.model:
            versions: set[VersionName] = {model.settled}
            if model.trial is not None:
                versions.add(model.trial.version)
            known = not version.adapter or version.adapter in model.adapters
            return known and version.version in versions
    return False


class ViewCache:
    """Cache of the newest view, which gets a new generation only when its content changes.

    Generations increase with each change, also across changes of leader.

    Parameters
    ----------
    fencing : FencingNumber
        Term of the leader that builds the views.
    grant_ms : int
        Time in ms for which a trial's share is valid after receipt.
    """

    def __init__(self, fencing: FencingNumber, grant_ms: int):
        self._generation = int(fencing) << _GENERATION_BITS
        self._grant_ms = grant_ms
        self._revisions: tuple[int, int, list[Fingerprint]] = (-1, -1, [])
        self._expiries: dict[Fingerprint, int] = {}
        self._last: View | None = None

    def view(
        self,
        now_ms: ElapsedMs,
        state: CompositeState,
        fleet: Fleet,
        quarantines: Sequence[QuarantineView],
    ) -> View:
        """Return the view as of `now_ms`; the ageing of a quarantine does not count as a change."""
        releases: Releases = state.parts[Releases.name]
        revisions = (releases.revision, fleet.revision, _suspected_parts(state))
        expiries = {entry.fingerprint: now_ms + entry.remaining_ms for entry in quarantines}
        same_expiries = self._same_expiries(expiries)
        if self._last is not None and same_expiries and revisions == self._revisions:
            return self._last
        self._revisions = revisions
        self._expiries = expiries
        view = build_view(state, fleet, self._grant_ms, quarantines=quarantines)
        return self._number(view, same_expiries)

    def _same_expiries(self, expiries: dict[Fingerprint, int]) -> bool:
        if expiries.keys() != self._expiries.keys():
            return False
        return all(
            abs(expiry - self._expiries[fingerprint]) <= EXPIRY_TOLERANCE_MS
            for fingerprint, expiry in expiries.items()
        )

    def _number(self, view: View, same_expiries: bool) -> View:
        last = self._last
        if last is not None and same_expiries:
            same = msgspec.structs.replace(
                view,
                generation=last.generation,
                position=last.position,
                quarantines=last.quarantines,
            )
            if same == last:
                return last
        self._generation += 1
        self._last = msgspec.structs.replace(view, generation=self._generation)
        return self._last

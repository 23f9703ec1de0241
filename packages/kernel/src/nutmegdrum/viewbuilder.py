"""Build the view that entry VMs hold from the replicated state and the fleet."""

from collections.abc import Sequence

import msgspec
from nutmegdrum_coord.ids import FencingNumber, VersionName
from nutmegdrum_coord.parts import PartedState
from nutmegdrum_coord.quarantine import Quarantine

from nutmegdrum.fleet import Fleet, FleetMember
from nutmegdrum.messages import LoadedVersion
from nutmegdrum.releases import ModelState, Releases
from nutmegdrum.view import BackendView, ModelView, QuarantineView, TrialView, View

_GENERATION_BITS = 32


def build_view(
    state: PartedState,
    fleet: Fleet,
    grant_ms: int,
    generation: int = 0,
    quarantines: Sequence[QuarantineView] = (),
) -> View:
    """Return the view of `state` and `fleet`.

    Parameters
    ----------
    grant_ms : int
        Time that a trial's share lasts after receipt, in ms.
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
    )


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


class ViewNumbering:
    """Number views, so that each change gets a higher generation, over changes of leader too.

    Parameters
    ----------
    fencing : FencingNumber
        Term of the leader that builds the views.
    """

    def __init__(self, fencing: FencingNumber):
        self._generation = int(fencing) << _GENERATION_BITS
        self._last: View | None = None

    def number(self, view: View) -> View:
        """Return `view` with its generation, the last one's if only the position differs."""
        last = self._last
        if last is not None:
            same = msgspec.structs.replace(view, generation=last.generation, position=last.position)
            if same == last:
                return last
        self._generation += 1
        self._last = msgspec.structs.replace(view, generation=self._generation)
        return self._last

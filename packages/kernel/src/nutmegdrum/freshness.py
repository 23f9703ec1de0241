"""View of an entry VM and the lease that limits its use by age."""

from collections.abc import Collection
from typing import NamedTuple

import msgspec
from nutmegdrum_coord.clock import ElapsedMs
from nutmegdrum_coord.ids import BackendId

from nutmegdrum.view import HeartbeatAnswer, View


class Freshness(NamedTuple):
    """State of the freshness lease at one point in time.

    Attributes
    ----------
    fresh : bool
        Whether the lease is valid; without it, only settled versions are used and leaving backend
        servers get no new work.
    remaining_ms : int
        Remaining time of the lease, in ms.
    """

    fresh: bool
    remaining_ms: int


class LeasedView:
    """View of one entry VM and the lease under which it may be used.

    A lease counts from the time at which the answered heartbeat was sent, on this VM's monotonic
    clock, so a late answer never extends it.
    """

    def __init__(self) -> None:
        self._view: View | None = None
        self._renewed_ms: ElapsedMs | None = None
        self._lease_ms = 0

    @property
    def known(self) -> View | None:
        """Return the newest view regardless of its age."""
        return self._view

    def on_answer(self, sent_ms: ElapsedMs, answer: HeartbeatAnswer) -> bool:
        """Apply a heartbeat answer and return whether the view changed.

        A view older than the known one is ignored; an answer that is not fresh may update the view
        but does not renew the lease.
        """
        changed = answer.view is not None and self._update(answer.view)
        is_older = answer.view is not None and not changed and not self._is_current(answer.view)
        if (
            answer.fresh
            and not is_older
            and (self._renewed_ms is None or sent_ms > self._renewed_ms)
        ):
            self._renewed_ms = sent_ms
            self._lease_ms = answer.lease_ms
        return changed

    def on_peer_view(self, view: View) -> bool:
        """Apply a view from a peer without renewing the lease; return whether it was newer."""
        return self._update(view)

    def freshness(self, now_ms: ElapsedMs) -> Freshness:
        """Return the state of the lease at `now_ms`."""
        if self._renewed_ms is None:
            return Freshness(False, 0)
        remaining = self._renewed_ms + self._lease_ms - now_ms
        return Freshness(remaining > 0, max(0, remaining))

    def usable(self, now_ms: ElapsedMs, leaving: Collection[BackendId] = ()) -> View | None:
        """Return the part of the view that may be used for new requests at `now_ms`.

        A grant is valid for `grant_ms` after the last renewal, but not longer than the lease.

        Parameters
        ----------
        leaving : collection of BackendId
            Leaving backend servers that this VM knows from another source, such as the platform's
            list, which a VM without a lease reads itself.
        """
        view = self._view
        if view is None:
            return None
        fresh = self.freshness(now_ms).fresh
        models = []
        for model in view.models:
            trial = model.trial
            if trial is not None and not (fresh and self._granted(now_ms, trial.grant_ms)):
                model = msgspec.structs.replace(model, trial=None)
            models.append(model)
        return msgspec.structs.replace(
            view,
            models=models,
            backends=[b for b in view.backends if not (b.leaving or b.id in leaving)],
        )

    def _granted(self, now_ms: ElapsedMs, grant_ms: int) -> bool:
        return self._renewed_ms is not None and now_ms - self._renewed_ms < grant_ms

    def _is_current(self, view: View) -> bool:
        return self._view is not None and view.generation == self._view.generation

    def _update(self, view: View) -> bool:
        if self._view is not None and view.generation <= self._view.generation:
            return False
        self._view = view if view.knows_leaving else self._with_known_leaving(view)
        return True

    def _with_known_leaving(self, view: View) -> View:
        """Return `view` with the backend servers that the known one shows as leaving."""
        if self._view is None:
            return view
        leaving = {backend.id for backend in self._view.backends if backend.leaving}
        backends = [
            msgspec.structs.replace(b, leaving=b.leaving or b.id in leaving) for b in view.backends
        ]
        return msgspec.structs.replace(view, backends=backends)

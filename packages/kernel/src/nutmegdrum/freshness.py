"""What an entry VM may do by the age of what it knows."""

from collections.abc import Collection
from typing import NamedTuple

import msgspec
from nutmegdrum_coord.clock import ElapsedMs
from nutmegdrum_coord.ids import BackendId

from nutmegdrum.view import HeartbeatAnswer, View


class Freshness(NamedTuple):
    """Permissions of an entry VM at one moment.

    Attributes
    ----------
    fresh : bool
        Whether the freshness lease lasts; without it only settled versions are used, and nothing
        new goes to leaving backend servers.
    remaining_ms : int
        Time that the lease still lasts, in ms.
    """

    fresh: bool
    remaining_ms: int


class LeasedView:
    """View of one entry VM and the lease that says what of it may be used.

    Leases count from the sending of the heartbeat that was answered, by this VM's monotonic
    clock, so that a late answer never lengthens them.
    """

    def __init__(self) -> None:
        self._view: View | None = None
        self._renewed_ms: ElapsedMs | None = None
        self._lease_ms = 0

    @property
    def known(self) -> View | None:
        """Return the newest view whatever its age."""
        return self._view

    def on_answer(self, sent_ms: ElapsedMs, answer: HeartbeatAnswer) -> bool:
        """Take in a heartbeat's answer and return whether the view changed.

        A view older than the known one is ignored; an answer that is not fresh brings a view but
        renews no lease.
        """
        changed = answer.view is not None and self._take(answer.view)
        behind = answer.view is not None and not changed and not self._same(answer.view)
        if answer.fresh and not behind and (self._renewed_ms is None or sent_ms > self._renewed_ms):
            self._renewed_ms = sent_ms
            self._lease_ms = answer.lease_ms
        return changed

    def on_peer_view(self, view: View) -> bool:
        """Take in a view from a peer, which renews no lease; return whether it was newer."""
        return self._take(view)

    def freshness(self, now_ms: ElapsedMs) -> Freshness:
        """Return what is allowed at `now_ms`."""
        if self._renewed_ms is None:
            return Freshness(False, 0)
        remaining = self._renewed_ms + self._lease_ms - now_ms
        return Freshness(remaining > 0, max(0, remaining))

    def usable(self, now_ms: ElapsedMs, leaving: Collection[BackendId] = ()) -> View | None:
        """Return the part of the view that may be used for new requests at `now_ms`.

        A grant lasts `grant_ms` from the last renewal, at most as long as the lease.

        Parameters
        ----------
        leaving : collection of BackendId
            Backend servers that this VM knows to be leaving from another source, such as the
            platform's list that a VM without a lease reads by itself.
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

    def _same(self, view: View) -> bool:
        return self._view is not None and view.generation == self._view.generation

    def _take(self, view: View) -> bool:
        if self._view is not None and view.generation <= self._view.generation:
            return False
        self._view = view
        return True

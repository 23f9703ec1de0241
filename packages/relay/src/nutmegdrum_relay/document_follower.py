"""Keeps an entry VM's routing table up to date with the state replicas."""

import threading
from collections.abc import Callable

from nutmegdrum.errors import UserError
from nutmegdrum.units import Duration

from nutmegdrum_relay.decisions import log_decision
from nutmegdrum_relay.documents import RoutingDocument
from nutmegdrum_relay.fleet_work import Reporter
from nutmegdrum_relay.loop import Loop
from nutmegdrum_relay.routing_table import RoutingTable
from nutmegdrum_relay.views import ControlView

RETRY = Duration(200)
"""Pause after an answer without news that came at once, as from a replica that does not lead."""

AT_ONCE = Duration(0)
_MS_PER_S = 1_000


class DocumentFollower:
    """Thread that asks the state replicas for newer versions, and puts them in force.

    Parameters
    ----------
    decode : callable
        Decodes a document's source; raises `UserError` if it is invalid.
    changed : callable
        Called with each new table once it is in force.
    """

    def __init__(
        self,
        reporter: Reporter,
        decode: Callable[[bytes], RoutingDocument],
        wait: Duration,
        changed: Callable[[RoutingTable], None],
    ):
        self._reporter = reporter
        self._decode = decode
        self._wait_ms = int(wait)
        self._changed = changed
        self._reached = True
        self.table: RoutingTable | None = None
        self._first = threading.Event()
        self._loop = Loop("documents", lambda: AT_ONCE if self.poll() else RETRY)
        self.start = self._loop.start
        self.stop = self._loop.stop

    def wait_for_table(self, timeout: Duration) -> RoutingTable | None:
        """Return the table in force; wait for the first one for `timeout` at most."""
        self._first.wait(timeout / _MS_PER_S)
        return self.table

    def report_wait(self) -> Duration:
        """Return for how long the next report may wait for its answer."""
        return Duration(self._wait_ms)

    def version(self) -> int:
        """Return the version in force; 0 for none."""
        return self.table.version if self.table is not None else 0

    def poll(self) -> bool:
        """Ask once, and return whether a leader answered."""
        version = self.version()
        view = self._reporter.report(version, self._wait_ms)
        self._note_reached(view)
        if view is None:
            return False
        if view.fresh:
            self._wait_ms = view.wait_ms
        if view.version > version and view.compressed_source:
            self._put_in_force(view)
        return view.fresh

    def _note_reached(self, view: ControlView | None) -> None:
        reached = view is not None and view.fresh
        if reached != self._reached:
            self._reached = reached
            log_decision("state_leader_regained" if reached else "state_leader_lost")

    def _put_in_force(self, view: ControlView) -> None:
        try:
            table = RoutingTable(self._decode(view.source))
        except (UserError, ValueError) as exc:
            log_decision("document_unreadable", version=view.version, error=str(exc))
            return
        self.table = table
        self._first.set()
        self._changed(table)
        log_decision("document_in_force", version=table.version, fresh=view.fresh)

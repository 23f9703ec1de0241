"""Poll of the state replicas that keeps an entry VM's routing table up to date."""

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

RETRY_PAUSE = Duration(200)
"""Pause between polls without a leader; other replicas answer at once instead of waiting."""

NO_PAUSE = Duration(0)
_MS_PER_S = 1_000


class DocumentFollower:
    """Thread that polls the state replicas for newer documents and applies them.

    Parameters
    ----------
    decode : callable
        Decodes a document's source; raises `UserError` if it is invalid.
    wait : Duration
        Long-poll time until a leader sets another one.
    changed : callable
        Called with each new table after it is applied.
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
        self._has_leader = True
        self.table: RoutingTable | None = None
        self._first_applied = threading.Event()
        self._loop = Loop("documents", lambda: NO_PAUSE if self.poll() else RETRY_PAUSE)
        self.start = self._loop.start
        self.stop = self._loop.stop

    def wait_for_table(self, timeout: Duration) -> RoutingTable | None:
        """Return the current table; wait at most `timeout` for the first one."""
        self._first_applied.wait(timeout / _MS_PER_S)
        return self.table

    def report_wait(self) -> Duration:
        """Return the long-poll time of the next report."""
        return Duration(self._wait_ms)

    def version(self) -> int:
        """Return the current version; 0 for none."""
        return self.table.version if self.table is not None else 0

    def poll(self) -> bool:
        """Poll once, and return whether a leader answered."""
        version = self.version()
        view = self._reporter.report(version, self._wait_ms)
        self._log_leader_change(view)
        if view is None:
            return False
        if view.fresh:
            self._wait_ms = view.wait_ms
        if view.version > version and view.compressed_source:
            self._apply(view)
        return view.fresh

    def _log_leader_change(self, view: ControlView | None) -> None:
        has_leader = view is not None and view.fresh
        if has_leader != self._has_leader:
            self._has_leader = has_leader
            log_decision("state_leader_regained" if has_leader else "state_leader_lost")

    def _apply(self, view: ControlView) -> None:
        try:
            table = RoutingTable(self._decode(view.source))
        except (UserError, ValueError) as exc:
            log_decision("document_unreadable", version=view.version, error=str(exc))
            return
        self.table = table
        self._first_applied.set()
        self._changed(table)
        log_decision("document_in_force", version=table.version, fresh=view.fresh)

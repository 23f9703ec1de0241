"""Client of the state replicas, whose addresses are discovered at run time."""

import threading
from collections.abc import Callable, Iterable

import msgspec
from nutmegdrum.packing import pack, unpack
from nutmegdrum.permits import Permit, PermitRequest
from nutmegdrum.rpc import PeerUnreachable, RpcClient
from nutmegdrum.units import Address, Duration
from nutmegdrum_coord import verdict as v

from nutmegdrum_relay.decisions import log_decision
from nutmegdrum_relay.views import ControlView, EntryReport

ANSWER_MARGIN = Duration(500)
"""Added to the long-poll time for the time-out of a report; several round trips."""


PERMIT_TIMEOUT = Duration(100)
"""Wait for the leader's answer before an entry VM uses its own part of a rate limit; many round
trips between data centres."""


class ControlClient:
    """Sends reports to the state replicas; thread-safe.

    Parameters
    ----------
    seeds : iterable of Address
        Peer addresses of the replicas in the settings, used besides those learned from answers.
    """

    def __init__(self, rpc: RpcClient, seeds: Iterable[Address]):
        self._rpc = rpc
        self._lock = threading.Lock()
        self._seeds = tuple(seeds)
        self._learned: tuple[Address, ...] = ()
        self._leader: Address | None = None

    def set_seeds(self, seeds: Iterable[Address]) -> None:
        """Replace the seeds."""
        with self._lock:
            self._seeds = tuple(seeds)

    def report(
        self,
        report: EntryReport,
        renew: Callable[[EntryReport], EntryReport] = lambda report: report,
    ) -> ControlView | None:
        """Report to the leader, or without one to all replicas, and return the newest answer.

        Other replicas may be stale, so their answers are used only if no leader answers. Returns
        None if no replica answers.

        Parameters
        ----------
        renew : callable
            Updates the report for each further replica, as the wait for the one before takes time.
        """
        best: ControlView | None = None
        for number, address in enumerate(self._candidates()):
            if number:
                report = renew(report)
            view = self._send(address, report, report.wait_ms + ANSWER_MARGIN)
            if view is None:
                continue
            if view.fresh:
                self._learn(address, view)
                return view
            if best is None or view.version > best.version:
                best = view
        self._learn(None, best)
        return best

    def report_to_leader(self, report: EntryReport, timeout: Duration) -> ControlView | None:
        """Report to the last known leader; return None if there is none, or it does not answer."""
        with self._lock:
            leader = self._leader
        if leader is None:
            return None
        view = self._send(leader, report, int(timeout))
        return view if view is not None and view.fresh else None

    def request_permit(self, request: PermitRequest) -> Permit | None:
        """Ask the last known leader for a permit; return None if there is none, or no answer."""
        with self._lock:
            leader = self._leader
        if leader is None:
            return None
        try:
            data = self._rpc.call(
                leader, "request_permit", pack(request), timeout_ms=int(PERMIT_TIMEOUT)
            )
            return unpack(data, Permit)
        except (PeerUnreachable, v.Refusal) as exc:
            log_decision("permit_unanswered", leader=leader, error=str(exc))
        except msgspec.MsgspecError as exc:
            log_decision("permit_unreadable", leader=leader, error=str(exc))
        return None

    def _send(self, address: Address, report: EntryReport, timeout_ms: int) -> ControlView | None:
        try:
            data = self._rpc.call(address, "heartbeat", pack(report), timeout_ms=timeout_ms)
        except (PeerUnreachable, v.Refusal):
            return None
        try:
            return unpack(data, ControlView)
        except msgspec.MsgspecError as exc:
            log_decision("view_unreadable", replica=address, error=str(exc))
            return None

    def _candidates(self) -> list[Address]:
        with self._lock:
            known = [*self._learned, *self._seeds]
            first = [self._leader] if self._leader is not None else []
        return list(dict.fromkeys(first + known))

    def _learn(self, leader: Address | None, view: ControlView | None) -> None:
        with self._lock:
            self._leader = leader
            if view is not None and view.replicas:
                self._learned = view.replicas

"""Routing that refuses quarantined requests and isolates suspects."""

import msgspec
from nutmegdrum_coord.ids import Fingerprint
from nutmegdrum_coord.verdict import OVERLOADED, Reason, Refusal, Verdict

from nutmegdrum.crashguard import CrashGuard, ReservationResult
from nutmegdrum.fingerprints import generation_fingerprint, prompt_parts
from nutmegdrum.routing_query import Choice, RouteQuery, Routing
from nutmegdrum.wrapped_routing import WrappedRouting


class GuardedRouting(WrappedRouting):
    """Routing that gives each suspect a backend server without other suspects.

    Parameters
    ----------
    guard : CrashGuard
        Tracks the suspects of all entry VMs.
    """

    def __init__(self, router: Routing, guard: CrashGuard):
        super().__init__(router)
        self._guard = guard

    def choose(self, query: RouteQuery) -> Choice | Reason:
        """Return a backend server and version, or the reason why there is none.

        Raises
        ------
        Refusal
            `QUARANTINED` if the request is known to crash backend servers.
        """
        fingerprint = generation_fingerprint(query.workspace, query.model, query.prompt)
        parts = prompt_parts(query.model, query.prompt)
        try:
            self._guard.check(fingerprint, parts)
            if not self._guard.suspected(fingerprint):
                return self._router.choose(msgspec.structs.replace(query, isolated=False))
            isolated = msgspec.structs.replace(query, isolated=True)
            return self._reserve(isolated, fingerprint, parts)
        except Refusal as refusal:
            if query.excluded:
                refusal.verdict = Verdict.MAY_HAVE_RUN
            raise

    def _reserve(
        self, query: RouteQuery, fingerprint: Fingerprint, parts: tuple[Fingerprint, ...]
    ) -> Choice | Reason:
        while True:
            choice = self._router.choose(query)
            if isinstance(choice, Reason):
                return choice
            step = self._guard.reserve(fingerprint, choice.backend.id, parts)
            if step is ReservationResult.RUN:
                return choice
            if step is ReservationResult.WAIT:
                return OVERLOADED
            excluded = query.excluded | {choice.backend.id}
            query = msgspec.structs.replace(query, excluded=excluded)

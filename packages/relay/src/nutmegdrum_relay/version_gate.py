"""Which versions of a service a request may be sent to on this entry VM.

Answers the load of a roll-out: while a version is tried, a stated share of new requests goes to
it and all others go to the versions before. A request that has to be sent again never goes to the
version under trial, and neither does one of an entry VM that the state leader cannot reach.
"""

import random
import threading
from collections.abc import Sequence

from nutmegdrum.units import PPM, Duration
from nutmegdrum_coord.clock import Clock
from nutmegdrum_coord.ids import ServiceName, VersionName

from nutmegdrum_relay.backends import Backend, Health
from nutmegdrum_relay.decisions import log_decision
from nutmegdrum_relay.documents import RouteName
from nutmegdrum_relay.version_tally import TallyKey, VersionTally
from nutmegdrum_relay.views import VersionShare, VersionShares

SHARE_LEASE = Duration(1_500)
"""Time after a report's sending for which a share holds, beyond the time that the report may wait
for its answer; two answers may be lost before an entry VM goes back to the old version."""

SETTLED = VersionName("")
"""Stands for all versions that are not under trial."""


class VersionGate:
    """Shares in force on this entry VM, and the lease on them; thread-safe.

    Attributes
    ----------
    tally : VersionTally
        Counts of the versions of services with a trial.
    """

    def __init__(self, clock: Clock, rng: random.Random):
        self._clock = clock
        self._rng = rng
        self._lock = threading.Lock()
        self._shares = VersionShares()
        self._by_service: dict[ServiceName, VersionShare] = {}
        self._lease_until_ms = 0
        self.tally = VersionTally()

    @property
    def number(self) -> int:
        """Return the number of the shares in force."""
        return self._shares.number

    def update_shares(self, shares: VersionShares | None) -> None:
        """Put newer shares in force."""
        with self._lock:
            if shares is None or shares.number <= self._shares.number:
                return
            self._shares = shares
            self._by_service = {share.service: share for share in shares.shares}
        log_decision(
            "version_shares_in_force",
            number=shares.number,
            shares={s.service: f"{s.trial} {s.share_ppm} ppm" for s in shares.shares},
            barred={s.service: s.barred for s in shares.shares if s.barred},
        )

    def renew_lease(self, sent_ms: int, wait: Duration) -> None:
        """Renew the lease by a leader's answer to a report that was sent at `sent_ms`."""
        self._lease_until_ms = max(self._lease_until_ms, sent_ms + wait + SHARE_LEASE)

    def tally_key(self, route: RouteName, backend: Backend) -> TallyKey | None:
        """Return what an attempt counts for; None if its service has no version under trial."""
        share = self._by_service.get(backend.listed.service)
        if share is None or not share.trial:
            return None
        version = share.trial if backend.listed.version == share.trial else SETTLED
        return TallyKey(backend.listed.service, route, version)

    def eligible(
        self, service: ServiceName, backends: Sequence[Backend], resend: bool
    ) -> Sequence[Backend]:
        """Return the backend servers that a request may be sent to now.

        Parameters
        ----------
        again : bool
            Whether the request, or a copy of its run, goes beside another attempt.
        """
        share = self._by_service.get(service)
        if share is None:
            return backends
        sound = [b for b in backends if b.listed.version not in share.barred]
        tried = [b for b in sound if share.trial and b.listed.version == share.trial]
        settled = [b for b in sound if not share.trial or b.listed.version != share.trial]
        if not settled:
            # The versions before are stopped only once the roll-out is complete.
            return tried
        now_ms = self._clock.elapsed_ms()
        if not tried or now_ms >= self._lease_until_ms:
            return settled
        if share.share_ppm >= PPM:
            return tried
        up = [b for b in tried if b.health(now_ms) is Health.UP]
        if up and not resend and self._rng.random() * PPM < share.share_ppm:
            return _loaded(up, share.share_ppm)
        return settled


def _loaded(backends: list[Backend], share_ppm: int) -> list[Backend]:
    """Return as many backend servers as the share needs, the same ones on each entry VM.

    Spread over all of them, a version's faults under load would show only with all traffic.
    """
    count = -(-len(backends) * share_ppm // PPM)
    return sorted(backends, key=lambda b: b.id)[:count]

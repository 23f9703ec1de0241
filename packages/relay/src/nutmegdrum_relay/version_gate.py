"""Traffic split between versions of a service on this entry VM.

During a rollout a share of new requests goes to the version under trial and all others go to the
previous versions. A resent request never goes to the version under trial, and neither does any
request of an entry VM that has lost contact with the state leader.
"""

import random
import threading
from collections.abc import Sequence

from nutmegdrum.units import PPM, Duration
from nutmegdrum_coord.clock import Clock
from nutmegdrum_coord.ids import ServiceName

from nutmegdrum_relay.backends import Backend, Health
from nutmegdrum_relay.decisions import log_decision
from nutmegdrum_relay.documents import RouteName
from nutmegdrum_relay.version_tally import SETTLED, TallyKey, VersionTally
from nutmegdrum_relay.views import VersionShare, VersionShares

SHARE_LEASE = Duration(1_500)
"""Lease on a share, counted from the sending of a report and added to the time that the report may
wait for its answer; two answers may be lost before an entry VM returns to the previous versions."""


class VersionGate:
    """Shares of versions under trial on this entry VM, with their lease; thread-safe.

    Attributes
    ----------
    tally : VersionTally
        Results of attempts by version, for services with a version under trial.
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
        """Return the revision number of the shares in force."""
        return self._shares.number

    def update_shares(self, shares: VersionShares | None) -> None:
        """Replace the shares if `shares` is newer."""
        with self._lock:
            if shares is None or shares.number <= self._shares.number:
                return
            self._shares = shares
            self._by_service = {share.service: share for share in shares.shares}
        self.tally.retain({share.service: share.trial for share in shares.shares})
        log_decision(
            "version_shares_in_force",
            number=shares.number,
            shares={s.service: f"{s.trial} {s.share_ppm} ppm" for s in shares.shares},
            barred={s.service: s.barred for s in shares.shares if s.barred},
        )

    def renew_lease(self, sent_ms: int, wait: Duration) -> None:
        """Renew the lease after a leader's answer to a report that was sent at `sent_ms`."""
        self._lease_until_ms = max(self._lease_until_ms, sent_ms + wait + SHARE_LEASE)

    def tally_key(self, route: RouteName, backend: Backend) -> TallyKey | None:
        """Return the key that an attempt counts under; None without a version under trial."""
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
        resend : bool
            Whether the request was sent before, or only a copy of its run is to be placed.
        """
        share = self._by_service.get(service)
        if share is None:
            return backends
        usable = [b for b in backends if b.listed.version not in share.barred]
        on_trial = [b for b in usable if share.trial and b.listed.version == share.trial]
        settled = [b for b in usable if not share.trial or b.listed.version != share.trial]
        if not settled:
            # The previous versions are stopped only after the rollout has completed.
            return on_trial
        now_ms = self._clock.elapsed_ms()
        if not on_trial or now_ms >= self._lease_until_ms:
            return settled
        if share.share_ppm >= PPM:
            return on_trial
        up = [b for b in on_trial if b.health(now_ms) is Health.UP]
        if up and not resend and self._rng.random() * PPM < share.share_ppm:
            return _smallest_set(up, share.share_ppm)
        return settled


def _smallest_set(backends: list[Backend], share_ppm: int) -> list[Backend]:
    """Return as many backend servers as the share needs, the same ones on each entry VM.

    If the share were spread over all of them, faults that need load would show only at full
    traffic.
    """
    count = -(-len(backends) * share_ppm // PPM)
    return sorted(backends, key=lambda b: b.id)[:count]

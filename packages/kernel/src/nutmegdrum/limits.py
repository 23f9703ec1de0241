"""Rate limits of workspaces, scaled to one entry VM's share."""

from collections.abc import Mapping

from nutmegdrum_coord.ids import WorkspaceId
from nutmegdrum_coord.verdict import LIMIT_REACHED, Refusal, Verdict

from nutmegdrum.settings import WorkspaceSettings
from nutmegdrum.units import PPM

BURST_MS = 5_000
"""Time over which an unused rate accumulates in a token bucket, in ms."""

MIN_RETRY_MS = 250
"""Shortest backoff hint of a refusal, in ms."""

_MS_PER_S = 1_000


class TokenBucket:
    """Token bucket that admits a request while its balance is positive.

    A request may cost more than the bucket holds; later ones then wait until the balance is
    positive again. Large requests are thus possible but not free.
    """

    def __init__(self, now_ms: int):
        self._balance = 0.0
        self._filled_ms = now_ms - BURST_MS

    def wait_ms(self, per_s: float, now_ms: int) -> int:
        """Return the time until the next request may be admitted at a rate of `per_s`, in ms."""
        self._fill(per_s, now_ms)
        if self._balance > 0:
            return 0
        return int(-self._balance / max(per_s, 1e-6) * _MS_PER_S) + 1

    def spend(self, amount: float) -> None:
        """Subtract `amount` from the balance; a negative amount is a refund."""
        self._balance -= amount

    def _fill(self, per_s: float, now_ms: int) -> None:
        earned = (now_ms - self._filled_ms) * per_s / _MS_PER_S
        full = per_s * BURST_MS / _MS_PER_S
        self._balance = min(full, self._balance + earned)
        self._filled_ms = now_ms


class WorkspaceLimits:
    """Limits of one workspace at this entry VM.

    Attributes
    ----------
    share_ppm : int
        This VM's share of the workspace's limits, in ppm.
    streams : int
        Number of the workspace's open streams at this VM.
    """

    def __init__(self, cfg: WorkspaceSettings, share_ppm: int, now_ms: int):
        self.cfg = cfg
        self.share_ppm = share_ppm
        self.streams = 0
        self._tokens = TokenBucket(now_ms)
        self._requests = TokenBucket(now_ms)

    def check(self, stream: bool, now_ms: int) -> None:
        """Check a request against the limits.

        Raises
        ------
        Refusal
            `LIMIT_REACHED`, not run, with the time after which the limits allow the request.
        """
        if stream and self.streams >= max(1, self._scaled(self.cfg.max_streams)):
            detail = "the workspace has reached its limit of concurrent streams"
            raise Refusal(LIMIT_REACHED, Verdict.NOT_RUN, _MS_PER_S, detail)
        wait_ms = max(
            self._tokens.wait_ms(self._scaled(self.cfg.tokens_per_s), now_ms),
            self._requests.wait_ms(self._scaled(self.cfg.requests_per_s), now_ms),
        )
        if wait_ms > 0:
            detail = "the workspace exceeds its limit of tokens or requests per second"
            raise Refusal(LIMIT_REACHED, Verdict.NOT_RUN, max(MIN_RETRY_MS, wait_ms), detail)

    def spend(self, tokens: int) -> None:
        """Charge an admitted request of up to `tokens` tokens."""
        self._tokens.spend(tokens)
        self._requests.spend(1)

    def refund(self, tokens: int) -> None:
        """Refund tokens that a request has not used."""
        self._tokens.spend(-tokens)

    def _scaled(self, limit: int) -> float:
        return limit * self.share_ppm / PPM


def equal_share_ppm(entry_vms: int) -> int:
    """Return the share of each of `entry_vms` VMs while their usage is unknown, in ppm."""
    return PPM // max(1, entry_vms)


def limits_of(
    workspaces: list[WorkspaceSettings], share_ppm: int, now_ms: int
) -> Mapping[WorkspaceId, WorkspaceLimits]:
    """Return the limits of all workspaces at one entry VM."""
    return {cfg.id: WorkspaceLimits(cfg, share_ppm, now_ms) for cfg in workspaces}

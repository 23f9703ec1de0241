"""Rate limits of workspaces, as the part of them that one entry VM may use."""

from collections.abc import Mapping

from nutmegdrum_coord.ids import WorkspaceId
from nutmegdrum_coord.verdict import LIMIT_REACHED, Refusal, Verdict

from nutmegdrum.settings import WorkspaceSettings
from nutmegdrum.units import PPM

BURST_MS = 5_000
MIN_RETRY_MS = 250
_MS_PER_S = 1_000


class TokenBucket:
    """Bucket that admits while it is not overdrawn.

    One request may cost more than the bucket holds; the next one then waits until the debt is
    paid, so that large requests are neither impossible nor free.
    """

    def __init__(self, now_ms: int):
        self._balance = 0.0
        self._filled_ms = now_ms - BURST_MS

    def wait_ms(self, per_s: float, now_ms: int) -> int:
        """Return the time until the next request may be admitted at a rate of `per_s`."""
        self._fill(per_s, now_ms)
        if self._balance > 0:
            return 0
        return int(-self._balance / max(per_s, 1e-6) * _MS_PER_S) + 1

    def spend(self, amount: float) -> None:
        """Take `amount` out; a negative one is given back."""
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
        Part of the workspace's limits that this VM may use.
    streams : int
        Streams that the workspace has here now.
    """

    def __init__(self, cfg: WorkspaceSettings, share_ppm: int, now_ms: int):
        self.cfg = cfg
        self.share_ppm = share_ppm
        self.streams = 0
        self._tokens = TokenBucket(now_ms)
        self._requests = TokenBucket(now_ms)

    def check(self, stream: bool, now_ms: int) -> None:
        """Refuse a request that is beyond the limits.

        Raises
        ------
        Refusal
            `LIMIT_REACHED`, not run, with the time after which the limits allow it.
        """
        if stream and self.streams >= max(1, self._scaled(self.cfg.max_streams)):
            detail = "the workspace has as many streams as it may"
            raise Refusal(LIMIT_REACHED, Verdict.NOT_RUN, _MS_PER_S, detail)
        wait_ms = max(
            self._tokens.wait_ms(self._scaled(self.cfg.tokens_per_s), now_ms),
            self._requests.wait_ms(self._scaled(self.cfg.requests_per_s), now_ms),
        )
        if wait_ms > 0:
            detail = "the workspace is over its tokens or requests a second"
            raise Refusal(LIMIT_REACHED, Verdict.NOT_RUN, max(MIN_RETRY_MS, wait_ms), detail)

    def spend(self, tokens: int) -> None:
        """Count an admitted request of up to `tokens` tokens."""
        self._tokens.spend(tokens)
        self._requests.spend(1)

    def refund(self, tokens: int) -> None:
        """Give back tokens that a request did not use after all."""
        self._tokens.spend(-tokens)

    def _scaled(self, limit: int) -> float:
        return limit * self.share_ppm / PPM


def equal_share_ppm(entry_vms: int) -> int:
    """Return the share of each of `entry_vms` VMs while nothing is known of their use."""
    return PPM // max(1, entry_vms)


def limits_of(
    workspaces: list[WorkspaceSettings], share_ppm: int, now_ms: int
) -> Mapping[WorkspaceId, WorkspaceLimits]:
    """Return the limits of all workspaces."""
    return {cfg.id: WorkspaceLimits(cfg, share_ppm, now_ms) for cfg in workspaces}

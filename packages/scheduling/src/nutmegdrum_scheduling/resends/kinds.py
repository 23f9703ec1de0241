"""Reasons to send a request again."""

from enum import Enum

RETRY_SHARE = 0.5
"""Share of the budget that retries may use; the rest is left to recoveries."""


class Resend(Enum):
    """Reason to send a request again."""

    RETRY = "retry"
    RECOVERY = "recovery"

    @property
    def share(self) -> float:
        """Return the share of the budget that resends of this kind may use."""
        return 1.0 if self is Resend.RECOVERY else RETRY_SHARE

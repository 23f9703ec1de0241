"""Permission to send a request again, from the retry budget of its service."""

from nutmegdrum.retries import Resend, RetryBudget

from nutmegdrum_relay.pending_request import PendingRequest


class Resends:
    """Asks the retry budget for each send of a request but its first; thread-safe.

    Whatever makes a request be sent again, the backend servers get it once more: retries,
    recoveries of streams, rejections and requests that are passed on draw on one budget.
    """

    def __init__(self, budget: RetryBudget):
        self._budget = budget

    def on_request(self, pending: PendingRequest) -> None:
        """Count a request; the entry VM that passed it on has counted it already."""
        if not pending.passed_on:
            self._budget.on_request(pending.service.name)

    def allows(self, pending: PendingRequest, kind: Resend) -> bool:
        """Return whether a request may be sent now; a permission holds until it is sent."""
        if pending.sends and not pending.may_send_again:
            pending.may_send_again = self._budget.take(pending.service.name, kind)
        return not pending.sends or pending.may_send_again

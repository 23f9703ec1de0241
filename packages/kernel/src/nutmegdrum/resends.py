"""Retry budget for requests that name a model or a plain service."""

from collections.abc import Callable

from nutmegdrum_coord.clock import ElapsedMs
from nutmegdrum_coord.ids import ModelName, ServiceName
from nutmegdrum_scheduling.resends.budget import RetryBudget
from nutmegdrum_scheduling.resends.kinds import Resend

from nutmegdrum.recovery_queue import SleepFunction


class Resends:
    """Access to the retry budget of the services behind models; thread-safe.

    Parameters
    ----------
    service_of : callable
        Returns the service that provides a model; a plain service's name stands for itself.
    """

    def __init__(
        self,
        budget: RetryBudget,
        service_of: Callable[[ModelName], ServiceName] = ServiceName,
    ):
        self._budget = budget
        self._service_of = service_of

    def on_request(self, name: str) -> None:
        """Count a caller's request, at the entry VM that got it from the caller."""
        self._budget.on_request(self._service_of(ModelName(name)))

    def take(self, name: str, kind: Resend) -> bool:
        """Return whether a request may be sent again; if so, count it."""
        return self._budget.take(self._service_of(ModelName(name)), kind)

    def wait(
        self,
        name: str,
        kind: Resend,
        deadline: ElapsedMs,
        sleep: SleepFunction,
        is_ended: Callable[[], bool],
    ) -> bool:
        """Wait until a request may be sent again; return False at `deadline`, or if it ends."""
        service = self._service_of(ModelName(name))
        return self._budget.wait(service, kind, deadline, sleep, is_ended)

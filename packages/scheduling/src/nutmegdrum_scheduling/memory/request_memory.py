"""Part of the byte budget that one request's response uses."""

from typing import NamedTuple

from nutmegdrum_coord.clock import Duration

from nutmegdrum_scheduling.memory.accounts import Account, Kind
from nutmegdrum_scheduling.memory.budget import MemoryBudget


class RequestMemory(NamedTuple):
    """A request's account in its budget."""

    budget: MemoryBudget
    account: Account

    def reserve(self, count: int, timeout: Duration) -> bool:
        """Charge bytes of a response; wait for room, and return whether there was any in time."""
        return self.budget.reserve(self.account, count, timeout)

    def release(self, count: int) -> None:
        """Return bytes of a response that is not kept."""
        self.budget.release(self.account, Kind.RESPONSE, count)

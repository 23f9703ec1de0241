"""Capacity of a service, and the part of it that is in use."""

from typing import NamedTuple


class Amount(NamedTuple):
    """Slots and KV cache tokens; 0 tokens for servers that are no engines."""

    slots: float = 0.0
    tokens: float = 0.0

    def plus(self, other: "Amount") -> "Amount":
        """Return the sum of both."""
        return Amount(self.slots + other.slots, self.tokens + other.tokens)

    def minus(self, other: "Amount") -> "Amount":
        """Return the difference."""
        return Amount(self.slots - other.slots, self.tokens - other.tokens)


class ServiceLoad(NamedTuple):
    """What an entry VM knows of a service when it decides on a request.

    Attributes
    ----------
    capacity : Amount
        Capacity of the servers that are up.
    others : Amount
        Work of other entry VMs' requests there; without meaning unless `others_known`.
    others_known : bool
        Whether others' work is recent. If not, this VM uses only its share of the capacity.
    share : float
        This VM's share of the capacity, 0 to 1.
    others_queued : tuple of int
        Requests that wait at other entry VMs, by rank of their priority.
    age_ms : int
        Age of others' work, in ms.
    """

    capacity: Amount
    others: Amount = Amount()
    others_known: bool = True
    share: float = 1.0
    others_queued: tuple[int, ...] = ()
    age_ms: int = 0

    @property
    def is_known(self) -> bool:
        """Return whether anything is known of the capacity that this VM may use.

        A VM that has just started has heard neither of others' work nor of a share.
        """
        return self.capacity.slots > 0 and (self.others_known or self.share > 0)

    def fits(self, need: Amount) -> float:
        """Return how many requests like this one the whole capacity holds."""
        return min(
            total / each for total, each in zip(self.capacity, need, strict=True) if each > 0
        )

    def room(self, own: Amount, need: Amount, limit: float) -> float:
        """Return how many requests like this one fit beside the work; negative beyond capacity.

        Parameters
        ----------
        own : Amount
            Work of this VM's requests.
        limit : float
            Part of the capacity that the request may use, above 1 for slightly more.
        """
        part = limit if self.others_known else limit * self.share
        used = own.plus(self.others) if self.others_known else own
        return min(
            (part * total - busy) / each
            for total, busy, each in zip(self.capacity, used, need, strict=True)
            if each > 0
        )

    def queued_up_to(self, rank: int) -> int:
        """Return the requests of this rank, or a more urgent one, that wait at other VMs."""
        return sum(self.others_queued[: rank + 1]) if self.others_known else 0

"""What placement needs to know of a backend server."""

from typing import Protocol

from nutmegdrum_coord.clock import Duration
from nutmegdrum_coord.ids import BackendId, DataCentre


class ServerWork(Protocol):
    """Work of requests on a server, in tokens."""

    @property
    def unread(self) -> int:
        """Return the prompt tokens of requests without a first event yet."""
        ...

    @property
    def resident(self) -> int:
        """Return the KV cache tokens that requests and copies of runs occupy at their end."""
        ...

    @property
    def copied(self) -> int:
        """Return the part of `resident` that belongs to copies."""
        ...


class Server(Protocol):
    """One incarnation of a backend server, as an entry VM sees it.

    Attributes
    ----------
    requests : int
        Number of this VM's requests in progress there.
    failure_rate : float
        Moving average of failed exchanges, 0 to 1.
    usual_pace : float
        Time that it usually takes, relative to other servers; 1 if unknown.
    """

    id: BackendId
    data_centre: DataCentre
    requests: int
    failure_rate: float
    usual_pace: float

    @property
    def warming_up(self) -> bool:
        """Return whether it is still slow after its start."""
        ...

    @property
    def slots(self) -> int:
        """Return the requests that it runs at once; 0 if unknown."""
        ...

    def slowness_factor(self, now_ms: int, over: Duration) -> float:
        """Return the time that it takes over the next `over` ms, relative to its usual one."""
        ...

    def is_up(self, now_ms: int) -> bool:
        """Return whether it may get requests now."""
        ...

    def total_work(self) -> ServerWork:
        """Return the known work of all entry VMs' requests there."""
        ...

    def reported_requests(self, now_ms: int) -> int:
        """Return the requests that it reports, running and waiting; 0 without a valid report."""
        ...

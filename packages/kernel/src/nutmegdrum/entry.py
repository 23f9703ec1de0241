"""Entry role of a daemon: serves callers and keeps its view of the state fresh."""

import random

from nutmegdrum_coord.clock import Clock
from nutmegdrum_coord.ids import IncarnationId

from nutmegdrum.admission import Admission
from nutmegdrum.gateway import Gateway
from nutmegdrum.generations import Generations
from nutmegdrum.heartbeat import Heartbeater
from nutmegdrum.plain import PlainPath
from nutmegdrum.plugins import Kind, Registry
from nutmegdrum.relay import Relay
from nutmegdrum.routing import Router
from nutmegdrum.rpc import RpcClient
from nutmegdrum.settings import Settings
from nutmegdrum.state_client import StateClient
from nutmegdrum.ticker import Ticker
from nutmegdrum.wsgi import HttpListener

BACKEND_PROTOCOL = "http"
DRAIN_POLL_S = 0.05


class EntryRole:
    """All that one entry VM does.

    Parameters
    ----------
    registry : Registry
        Loaded plug-ins; one must provide the backend servers' protocol.
    incarnation : IncarnationId
        Identity of this start of the daemon.
    """

    def __init__(
        self,
        cfg: Settings,
        clock: Clock,
        rng: random.Random,
        rpc: RpcClient,
        registry: Registry,
        incarnation: IncarnationId,
    ):
        self.cfg = cfg
        self.clock = clock
        self.rng = rng
        self.registry = registry
        protocol = registry.get(Kind.BACKEND_PROTOCOL, BACKEND_PROTOCOL)
        self.router = Router(cfg, clock, rng, registry)
        self.admission = Admission(cfg)
        self.state = StateClient(rpc, cfg.state_replicas)
        relay = Relay(cfg, clock, rng, protocol, self.router.choose, registry)
        self.generations = Generations(clock, self.admission, relay, random.SystemRandom())
        self.plain = PlainPath(cfg, clock, self.router, self.state)
        self.heartbeater = Heartbeater(cfg, clock, self.state, self.router, incarnation)
        self._ticker = Ticker("heartbeat", cfg.control.heartbeat, self.heartbeater.beat)
        self._listener = HttpListener(
            cfg.listen.callers,
            Gateway(self),
            threads=cfg.callers.max_streams + cfg.callers.spare_threads,
            idle_timeout_ms=cfg.callers.idle_timeout,
            max_body=cfg.callers.max_body,
            max_headers=cfg.callers.max_headers,
        )

    def start(self) -> None:
        """Open the callers' listener and start to report.

        Raises
        ------
        OSError
            If the address cannot be bound.
        """
        self._ticker.start()
        self._listener.start()

    def not_ready(self) -> str:
        """Return why this VM should get no callers, or an empty string."""
        return "" if self.heartbeater.has_view() else "no view of the state yet"

    def drain(self) -> None:
        """Wait until streams have ended, at most as long as the settings say."""

    def stop(self) -> None:
        """Close the callers' listener."""
        self._ticker.stop()
        self._listener.stop()

"""Routing by load alone: the least loaded of a few backend servers drawn at random."""

from nutmegdrum.balancing import DEFAULT_CHOICES, SampledBalancer
from nutmegdrum.plugins import Kind, Plugin, Registry


class LeastLoaded(Plugin):
    """Plug-in that provides `SampledBalancer`, with its sample size as the option `choices`."""

    def __init__(self) -> None:
        super().__init__()
        self.config.update(choices=DEFAULT_CHOICES)

    def register(self, registry: Registry) -> None:
        """Register the balancer."""
        registry.provide(Kind.ROUTING, self.name, SampledBalancer(self.config["choices"]))

"""Base class of plug-ins, and the registry through which the kernel uses them.

The kernel imports no plug-in directly. The settings name the modules to load; the plug-in in
each module registers the behaviour that it provides and listeners for events.
"""

import importlib
from collections import defaultdict
from collections.abc import Callable, Mapping
from enum import Enum
from typing import Any

from nutmegdrum.errors import UserError

PLUGIN_PACKAGE = "nutmegdrum_plugins"


class Kind(Enum):
    """Kind of behaviour that a plug-in can provide."""

    ROUTING = "routing"
    ROLLOUT_JUDGE = "rollout-judge"
    ADMISSION = "admission"
    BACKEND_PROTOCOL = "backend-protocol"


class Event(Enum):
    """Event that a plug-in can listen to."""

    STREAM_RECOVERED = "stream-recovered"
    BACKEND_LOST = "backend-lost"
    BACKEND_ANSWERED = "backend-answered"


class Registry:
    """Registry of the behaviour and listeners of loaded plug-ins."""

    def __init__(self) -> None:
        self._provided: dict[Kind, dict[str, Any]] = defaultdict(dict)
        self._listeners: dict[Event, list[Callable[..., None]]] = defaultdict(list)

    def provide(self, kind: Kind, name: str, behaviour: Any) -> None:
        """Register `behaviour` under `name`.

        Raises
        ------
        UserError
            If the name is taken.
        """
        if name in self._provided[kind]:
            raise UserError(f"two plug-ins provide {kind.value} `{name}`")
        self._provided[kind][name] = behaviour

    def get(self, kind: Kind, name: str) -> Any:
        """Return the behaviour registered under `name`.

        Raises
        ------
        UserError
            If no loaded plug-in provides it.
        """
        try:
            return self._provided[kind][name]
        except KeyError:
            raise UserError(f"no loaded plug-in provides {kind.value} `{name}`") from None

    def all(self, kind: Kind) -> dict[str, Any]:
        """Return all registered behaviour of one kind, by name."""
        return dict(self._provided[kind])

    def listen(self, event: Event, listener: Callable[..., None]) -> None:
        """Register `listener`, which is called whenever `event` is sent."""
        self._listeners[event].append(listener)

    def send(self, event: Event, **details: Any) -> None:
        """Call the listeners of `event` in order of registration."""
        for listener in self._listeners[event]:
            listener(**details)


class Plugin:
    """Base class of plug-ins.

    A subclass sets the defaults of its options in `__init__` with `self.config.update(...)` and
    overrides `register`.
    """

    def __init__(self, name: str | None = None):
        self.name = name or self.__module__.rpartition(".")[2]
        self.config: dict[str, Any] = {}

    def configure(self, options: Mapping[str, Any]) -> None:
        """Override the defaults with options from the settings.

        Raises
        ------
        UserError
            If an option is unknown or its type differs from that of the default.
        """
        for key, value in options.items():
            path = f"$.plugin_settings.{self.name}.{key}"
            if key not in self.config:
                known = ", ".join(sorted(self.config))
                raise UserError(f"Expected one of {known} - at `{path}`")
            if type(value) is not type(self.config[key]):
                expected = type(self.config[key]).__name__
                raise UserError(f"Expected `{expected}` - at `{path}`")
            self.config[key] = value

    def register(self, registry: Registry) -> None:
        """Register the plug-in's behaviour and listeners."""


def load_plugins(names: list[str], options: Mapping[str, Mapping[str, Any]]) -> Registry:
    """Load the plug-in modules `names` and return a registry with their behaviour.

    A name without a dot is a module of `nutmegdrum_plugins`.

    Raises
    ------
    UserError
        If a module is missing, has no plug-in, or an option is wrong.
    """
    registry = Registry()
    for name in names:
        module_name = name if "." in name else f"{PLUGIN_PACKAGE}.{name}"
        plugin = _instantiate(module_name)
        plugin.configure(options.get(name, {}))
        plugin.register(registry)
    return registry


def _instantiate(module_name: str) -> Plugin:
    try:
        module = importlib.import_module(module_name)
    except ModuleNotFoundError as exc:
        raise UserError(f"plug-in `{module_name}` cannot be loaded: {exc}") from None
    for value in vars(module).values():
        if isinstance(value, type) and issubclass(value, Plugin) and value is not Plugin:
            return value()
    raise UserError(f"module `{module_name}` has no plug-in")

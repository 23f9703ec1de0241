"""Differences between a routing document and the one in force."""

from collections.abc import Callable, Hashable, Iterator, Mapping, Sequence
from enum import Enum
from typing import Any, TypeVar

import msgspec
from nutmegdrum.units import Duration, Size

from nutmegdrum_relay.documents import Route, RoutingDocument, Target, Workspace
from nutmegdrum_relay.findings import Finding, Severity

_Item = TypeVar("_Item")


def changes(old: RoutingDocument, new: RoutingDocument) -> Iterator[Finding]:
    """Return what a document with another source changes when it replaces `old`.

    Paths are those of `new`; what is removed is reported at its list. Routes are compared by host
    and prefix, services and workspaces by name. The order of entries means nothing.
    """
    yield _version_finding(old.version, new.version)
    yield from _list_changes("$.routes", old.routes, new.routes, _route_key, _named_route)
    yield from _list_changes(
        "$.services", old.services, new.services, lambda s: s.name, lambda s: f"`{s.name}`"
    )
    if (old.workspaces is None) != (new.workspaces is None):
        message = "requests need no key" if new.workspaces is None else "requests need a key"
        yield _change("$.workspaces", message)
    yield from _list_changes(
        "$.workspaces",
        old.workspaces or (),
        new.workspaces or (),
        lambda w: w.id,
        lambda w: f"`{w.id}`",
    )
    yield from _field_changes("$.limits", old.limits, new.limits, "")


def _version_finding(old: int, new: int) -> Finding:
    if new > old:
        return _change("$.version", f"{old} becomes {new}")
    if new == old:
        message = f"another document with version {old} is in force: this one would be refused"
    else:
        message = f"version {old} is in force: a lower one would be acknowledged and not used"
    return Finding(Severity.ERROR, "$.version", message)


def _change(path: str, message: str) -> Finding:
    return Finding(Severity.CHANGE, path, message)


def _route_key(route: Route) -> tuple[str, str]:
    return route.host.lower(), route.prefix


def _named_route(route: Route) -> str:
    return f"`{route.name}` ({route.host}{route.prefix})"


def _list_changes(
    path: str,
    old: Sequence[_Item],
    new: Sequence[_Item],
    key: Callable[[_Item], Hashable],
    name: Callable[[_Item], str],
) -> Iterator[Finding]:
    before, after = _first_by_key(old, key), _first_by_key(new, key)
    for place, (_, item) in before.items():
        if place not in after:
            yield _change(path, f"{name(item)} is removed")
    for place, (index, item) in after.items():
        if place not in before:
            yield _change(f"{path}[{index}]", f"{name(item)} is added")
        else:
            yield from _field_changes(f"{path}[{index}]", before[place][1], item, f"{name(item)}: ")


def _first_by_key(
    items: Sequence[_Item], key: Callable[[_Item], Hashable]
) -> Mapping[Hashable, tuple[int, _Item]]:
    """Return the items with their indices; of two with one key the first is used, as in tables."""
    found: dict[Hashable, tuple[int, _Item]] = {}
    for index, item in enumerate(items):
        found.setdefault(key(item), (index, item))
    return found


def _field_changes(
    path: str, old: msgspec.Struct, new: msgspec.Struct, prefix: str
) -> Iterator[Finding]:
    for field in new.__struct_fields__:
        before, after = getattr(old, field), getattr(new, field)
        if before == after:
            continue
        place = f"{path}.{field}"
        if isinstance(before, msgspec.Struct) and isinstance(after, msgspec.Struct):
            yield from _field_changes(place, before, after, prefix)
        elif isinstance(new, Workspace) and field == "keys":
            yield from _key_changes(place, set(before), set(after), prefix)
        elif isinstance(new, Route) and field == "targets":
            if _weights(before) != _weights(after):
                message = f"{_written_targets(before)} becomes {_written_targets(after)}"
                yield _change(place, prefix + message)
        else:
            yield _change(place, f"{prefix}{_written(before)} becomes {_written(after)}")


def _key_changes(path: str, before: set[str], after: set[str], prefix: str) -> Iterator[Finding]:
    """Return how many keys change; keys are secrets, so none is shown."""
    added, removed = len(after - before), len(before - after)
    if added or removed:
        yield _change(path, f"{prefix}keys added: {added}, removed: {removed}")


def _weights(targets: Sequence[Target]) -> dict[str, int]:
    weights: dict[str, int] = {}
    for target in targets:
        weights[target.service] = weights.get(target.service, 0) + target.weight
    return weights


def _written_targets(targets: Sequence[Target]) -> str:
    return ", ".join(f"`{service}` {weight}" for service, weight in _weights(targets).items())


def _written(value: Any) -> str:
    """Return a value as it is written in messages."""
    if value is None:
        return "none"
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, Duration):
        return f"{value} ms"
    if isinstance(value, Size):
        return f"{value} B"
    if isinstance(value, Enum):
        return str(value.value)
    if isinstance(value, msgspec.Struct):
        return " ".join(
            f"{field}={_written(getattr(value, field))}" for field in value.__struct_fields__
        )
    return str(value)

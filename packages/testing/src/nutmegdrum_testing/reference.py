"""Generator of the reference pages on settings and metrics.

`python -m nutmegdrum_testing.reference` writes them; a test checks that they are up to date.
"""

import importlib
import pkgutil
from pathlib import Path
from typing import Any, get_args, get_origin

import msgspec
import nutmegdrum
import nutmegdrum_relay
import nutmegdrum_scheduling
from nutmegdrum.settings import Settings
from nutmegdrum.units import Address, Duration, Size
from nutmegdrum_relay.settings import RelaySettings
from prometheus_client import REGISTRY

FOLDER = Path("docs/reference")
_PREFIX = "nutmegdrum_"
_UNITS = {Duration: "ms", Size: "B"}


def settings_page() -> str:
    """Return the reference page of all settings."""
    return _settings_page("Settings", Settings, "nutmegdrum settings check FILE")


def relay_settings_page() -> str:
    """Return the reference page of all settings of relay daemons."""
    return _settings_page("Relay settings", RelaySettings, "nutmegdrum-relay check FILE")


def _settings_page(title: str, kind: type, check: str) -> str:
    lines = [
        f"# {title}",
        "",
        "One JSON file a daemon. Durations and sizes are written with a unit (`250ms`, `3s`, "
        "`5min`; `64KiB`, `8MiB`), addresses as IP number and port. Unknown keys are refused. "
        f"Check a file with `{check}`.",
        "",
        "Generated from the code by `python -m nutmegdrum_testing.reference`.",
    ]
    _describe(kind, "", lines, set())
    return "\n".join(lines) + "\n"


def metrics_page() -> str:
    """Return the reference page of all metrics."""
    for package in (nutmegdrum, nutmegdrum_relay, nutmegdrum_scheduling):
        for module in pkgutil.walk_packages(package.__path__, f"{package.__name__}."):
            importlib.import_module(module.name)
    lines = [
        "# Metrics",
        "",
        "Served at `/metrics` of the probes' listener, in the format of Prometheus.",
        "",
        "Generated from the code by `python -m nutmegdrum_testing.reference`.",
        "",
        "| metric | type | meaning |",
        "|---|---|---|",
    ]
    families = [f for f in REGISTRY.collect() if f.name.startswith(_PREFIX)]
    for family in sorted(families, key=lambda f: f.name):
        lines.append(f"| `{family.name}` | {family.type} | {family.documentation} |")
    return "\n".join(lines) + "\n"


def _describe(kind: type, path: str, lines: list[str], seen: set[type]) -> None:
    seen.add(kind)
    heading = f"`{path}`" if path else "Top level"
    summary = (kind.__doc__ or "").splitlines()[0]
    lines += ["", f"## {heading}", "", summary, "", "| key | type | default |", "|---|---|---|"]
    nested: list[tuple[str, type]] = []
    for field in msgspec.structs.fields(kind):
        lines.append(f"| `{field.name}` | {_type_name(field.type)} | {_default(field)} |")
        inner = _inner_struct(field.type)
        if inner is not None and inner not in seen:
            suffix = "[]" if get_origin(field.type) in (list, tuple) else ""
            nested.append((f"{path}.{field.name}{suffix}".lstrip("."), inner))
    for inner_path, inner in nested:
        _describe(inner, inner_path, lines, seen)


def _inner_struct(kind: Any) -> type | None:
    for candidate in (kind, *get_args(kind)):
        if isinstance(candidate, type) and issubclass(candidate, msgspec.Struct):
            return candidate
    return None


def _type_name(kind: Any) -> str:
    if kind in (Duration, Size, Address):
        return kind.__name__.lower()
    if get_origin(kind) is not None:
        args = [_type_name(arg) for arg in get_args(kind) if arg not in (type(None), ...)]
        name = getattr(get_origin(kind), "__name__", "")
        return (
            f"{name} of {', '.join(args)}"
            if name in ("list", "dict", "tuple")
            else " or ".join(args)
        )
    if hasattr(kind, "__supertype__"):
        return _type_name(kind.__supertype__)
    if isinstance(kind, type) and hasattr(kind, "__members__"):
        return " or ".join(f"`{member.value}`" for member in kind)
    return getattr(kind, "__name__", str(kind))


def _default(field: msgspec.structs.FieldInfo) -> str:
    if field.required:
        return "required"
    default = field.default
    if default is msgspec.NODEFAULT:
        return "empty"
    if default is None:
        return "none"
    if isinstance(default, msgspec.Struct):
        return "see below"
    if type(default) in _UNITS:
        return f"`{int(default)}{_UNITS[type(default)]}`"
    return f"`{getattr(default, 'value', default)}`"


def main() -> None:
    """Write all reference pages."""
    (FOLDER / "settings.md").write_text(settings_page())
    (FOLDER / "relay-settings.md").write_text(relay_settings_page())
    (FOLDER / "metrics.md").write_text(metrics_page())


if __name__ == "__main__":
    main()

"""Settings that change while a daemon runs: read again, checked whole, then put in force."""

import threading
from collections.abc import Callable
from pathlib import Path

import msgspec
import xxhash
from nutmegdrum.errors import UserError
from nutmegdrum.units import Duration

from nutmegdrum_relay.decisions import log_decision
from nutmegdrum_relay.settings import RelaySettings, parse_relay_settings

CHECK_PERIOD = Duration(1_000)
"""Time between two looks at the file, which may change without a signal; short against the time in
which callers of the state replicas learn new seeds (3 s, the users' bound)."""

RELOADABLE = ("state_seeds", "backend_list", "tolerated_losses")
"""Keys whose new values are in force at once; all others are read at the next start."""

_MS_PER_S = 1_000


class SettingsWatch:
    """Thread that reads the settings file when it has changed.

    Parameters
    ----------
    cfg : RelaySettings
        Settings in force.
    apply : callable
        Puts changed settings in force; no request may be cut by it.
    """

    def __init__(self, path: Path, cfg: RelaySettings, apply: Callable[[RelaySettings], None]):
        self._path = path
        self._cfg = cfg
        self._apply = apply
        self._seen: str | None = None
        self._changed = threading.Event()
        self._thread = threading.Thread(target=self._run, name="settings", daemon=True)

    def start(self) -> None:
        """Start to watch the file."""
        self._thread.start()

    def on_signal(self) -> None:
        """Look at the file now."""
        self._changed.set()

    def check(self) -> None:
        """Read the file if it has changed, and put in force what can be."""
        try:
            data = self._path.read_bytes()
        except OSError as exc:
            self._refuse("unreadable", exc.strerror or str(exc))
            return
        digest = xxhash.xxh64_hexdigest(data)
        if digest == self._seen:
            return
        try:
            cfg = parse_relay_settings(data)
        except UserError as exc:
            self._refuse(digest, str(exc))
            return
        self._seen = digest
        self._put_in_force(cfg)

    def _run(self) -> None:
        while True:
            self._changed.wait(CHECK_PERIOD / _MS_PER_S)
            self._changed.clear()
            self.check()

    def _refuse(self, seen: str, error: str) -> None:
        if seen != self._seen:
            self._seen = seen
            log_decision("settings_refused", file=str(self._path), error=error)

    def _put_in_force(self, cfg: RelaySettings) -> None:
        changed = [
            field.name
            for field in msgspec.structs.fields(cfg)
            if getattr(cfg, field.name) != getattr(self._cfg, field.name)
        ]
        if not changed:
            return
        now = {key: getattr(cfg, key) for key in changed if key in RELOADABLE}
        self._cfg = msgspec.structs.replace(self._cfg, **now)
        if now:
            self._apply(self._cfg)
        log_decision(
            "settings_changed",
            in_force=sorted(now),
            at_next_start=sorted(set(changed) - now.keys()),
        )

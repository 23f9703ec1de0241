"""Reload of the settings file while a daemon runs."""

import threading
from collections.abc import Callable
from pathlib import Path

import msgspec
import xxhash
from nutmegdrum.errors import UserError
from nutmegdrum.units import Duration

from nutmegdrum_relay.decisions import log_decision
from nutmegdrum_relay.settings import RelaySettings, parse_relay_settings

CHECK_INTERVAL = Duration(1_000)
"""Interval of the check of the file, which may change without a signal; short compared with the
time in which clients of the state replicas must use new seeds (3 s, the users' bound)."""

RELOADABLE = ("state_seeds", "backend_list", "tolerated_losses")
"""Keys that are applied at once; all others take effect at the next start."""

_MS_PER_S = 1_000


class SettingsWatch:
    """Thread that reloads the settings file when it has changed.

    Parameters
    ----------
    cfg : RelaySettings
        Current settings.
    apply : callable
        Applies changed settings; must not interrupt requests.
    """

    def __init__(self, path: Path, cfg: RelaySettings, apply: Callable[[RelaySettings], None]):
        self._path = path
        self._cfg = cfg
        self._apply = apply
        self._seen: str | None = None
        self._changed = threading.Event()
        self._thread = threading.Thread(target=self._run, name="settings", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def on_signal(self) -> None:
        """Check the file now, without waiting for the interval."""
        self._changed.set()

    def check(self) -> None:
        """Reload the file if it has changed, and apply its `RELOADABLE` keys."""
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
        self._apply_changes(cfg)

    def _run(self) -> None:
        while True:
            self._changed.wait(CHECK_INTERVAL / _MS_PER_S)
            self._changed.clear()
            self.check()

    def _refuse(self, seen: str, error: str) -> None:
        if seen != self._seen:
            self._seen = seen
            log_decision("settings_refused", file=str(self._path), error=error)

    def _apply_changes(self, cfg: RelaySettings) -> None:
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

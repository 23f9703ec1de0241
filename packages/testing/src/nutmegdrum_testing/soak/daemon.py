"""Relay daemon of the soak, which speaks the stand-in formats."""

import faulthandler
import signal
import sys
from pathlib import Path

from nutmegdrum.logs import start_logging
from nutmegdrum.signals import block_signals
from nutmegdrum_relay.daemon import RelayDaemon
from nutmegdrum_relay.settings import load_relay_settings
from nutmegdrum_relay.settings_watch import SettingsWatch

from nutmegdrum_testing.relay_dialect import PlainDialect


def main() -> None:
    """Run the daemon that the settings file describes."""
    block_signals()
    faulthandler.register(signal.SIGUSR1, sys.stdout)
    path = Path(sys.argv[1])
    cfg = load_relay_settings(path)
    start_logging(cfg.place.name, sys.stdout)
    daemon = RelayDaemon(cfg, PlainDialect())
    watch = SettingsWatch(path, cfg, daemon.apply_settings)
    daemon.start()
    watch.start()
    daemon.run_and_exit(watch)


if __name__ == "__main__":
    main()

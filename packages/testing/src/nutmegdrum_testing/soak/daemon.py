"""Relay daemon of the soak, with the stand-in formats."""

import sys
from pathlib import Path

from nutmegdrum.logs import start_logging
from nutmegdrum_relay.daemon import RelayDaemon
from nutmegdrum_relay.settings import load_relay_settings

from nutmegdrum_testing.relay_dialect import PlainDialect


def main() -> None:
    """Run the daemon that the settings file describes."""
    cfg = load_relay_settings(Path(sys.argv[1]))
    start_logging(cfg.place.name, sys.stdout)
    daemon = RelayDaemon(cfg, PlainDialect())
    daemon.handle_signals()
    daemon.start()
    daemon.run_and_exit()


if __name__ == "__main__":
    main()

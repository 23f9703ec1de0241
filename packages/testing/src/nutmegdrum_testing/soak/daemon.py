"""Relay daemon of the soak, which speaks the stand-in formats."""

import faulthandler
import signal
import sys
from collections.abc import Callable
from pathlib import Path

from nutmegdrum.logs import start_logging
from nutmegdrum.signals import block_signals
from nutmegdrum.units import Address, Duration
from nutmegdrum_relay.daemon import RelayDaemon
from nutmegdrum_relay.settings import load_relay_settings
from nutmegdrum_relay.settings_watch import SettingsWatch
from nutmegdrum_relay.upstream import CONNECT_TIMEOUT, ConnectFailed, Exchange, UpstreamPool

from nutmegdrum_testing.relay_dialect import PlainDialect

CUT_OFF_SUFFIX = ".cut"
"""Suffix of the file beside the settings while the daemon cannot connect to backend servers."""


def cut_off_while(path: Path, reachable: Callable[[Address], bool]) -> None:
    """Refuse new connections to other addresses while the file `path` exists; old ones live on."""
    connect = UpstreamPool.connect

    def connect_unless_cut(
        pool: UpstreamPool, address: Address, timeout: Duration = CONNECT_TIMEOUT
    ) -> Exchange:
        if path.exists() and not reachable(address):
            raise ConnectFailed("cut off")
        return connect(pool, address, timeout)

    UpstreamPool.connect = connect_unless_cut


def main() -> None:
    """Run the daemon that the settings file describes."""
    block_signals()
    faulthandler.register(signal.SIGUSR1, sys.stdout)
    path = Path(sys.argv[1])
    cfg = load_relay_settings(path)
    start_logging(cfg.place.name, sys.stdout)
    cut_off_while(
        path.with_suffix(CUT_OFF_SUFFIX),
        lambda address: address == cfg.backend_list or address.port == cfg.listen.peers.port,
    )
    daemon = RelayDaemon(cfg, PlainDialect())
    watch = SettingsWatch(path, cfg, daemon.apply_settings)
    daemon.start()
    watch.start()
    daemon.run_and_exit(watch)


if __name__ == "__main__":
    main()

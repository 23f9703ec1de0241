"""Handling of signals in a daemon's main thread."""

import signal
from collections.abc import Callable, Mapping

STOP_SIGNALS = frozenset({signal.SIGTERM, signal.SIGINT})


def block_signals() -> None:
    """Block signals so that `wait_for_stop` receives them; call before starting any thread.

    Python runs signal handlers in the main thread, but the system may deliver the signal to
    another thread, for example after a freeze. A main thread that waits for a lock would then
    never run the handler.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, {*STOP_SIGNALS, signal.SIGHUP})


def wait_for_stop(others: Mapping[signal.Signals, Callable[[], None]] | None = None) -> None:
    """Wait for a stop signal.

    Parameters
    ----------
    others : mapping or None
        Functions to call at other signals; these signals must be blocked too.
    """
    others = others or {}
    while (signum := signal.sigwait({*STOP_SIGNALS, *others})) not in STOP_SIGNALS:
        others[signal.Signals(signum)]()

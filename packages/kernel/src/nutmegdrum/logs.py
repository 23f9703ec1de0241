"""Structured logging, used only for changes of state."""

import logging
import sys
from typing import Any, TextIO

import eliot
from eliot.stdlib import EliotHandler


def start_logging(vm: str, stream: TextIO = sys.stderr) -> None:
    """Write log lines as JSON to `stream`, each with the VM's id.

    Log lines of libraries that use the `logging` module are included.
    """
    eliot.add_global_fields(vm=vm)
    eliot.to_file(stream)
    logging.basicConfig(handlers=[EliotHandler()], level=logging.INFO, force=True)


def log_change(subject: str, **details: Any) -> None:
    """Log a change of state."""
    eliot.log_message(message_type=f"nutmegdrum:{subject}", **details)

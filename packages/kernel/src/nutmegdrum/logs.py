"""Structured log lines, written for changes of state only."""

import logging
import sys
from typing import Any, TextIO

import eliot
from eliot.stdlib import EliotHandler


def start_logging(vm: str, stream: TextIO = sys.stderr) -> None:
    """Write log lines as JSON to `stream`, each with the VM's id.

    Lines of libraries that use the standard logging come along.
    """
    eliot.add_global_fields(vm=vm)
    eliot.to_file(stream)
    logging.basicConfig(handlers=[EliotHandler()], level=logging.INFO, force=True)


def log_change(subject: str, **details: Any) -> None:
    """Write one line that says what changed."""
    eliot.log_message(message_type=f"nutmegdrum:{subject}", **details)

"""Processor time, memory and threads of a process, from /proc."""

import os
from pathlib import Path
from typing import NamedTuple

_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_KIB = 1024


class Usage(NamedTuple):
    """Processor time since the start in s, resident memory in bytes, and number of threads."""

    cpu_s: float
    resident_bytes: int
    threads: int


def usage(pid: int) -> Usage:
    """Return the usage of the process `pid` so far."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    status = dict(
        line.split(":", 1) for line in Path(f"/proc/{pid}/status").read_text().splitlines()
    )
    return Usage(
        cpu_s=(int(fields[11]) + int(fields[12])) / _TICKS_PER_S,
        resident_bytes=int(status["VmRSS"].split()[0]) * _KIB,
        threads=int(status["Threads"]),
    )

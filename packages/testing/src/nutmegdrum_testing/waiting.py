"""Polling for conditions, so that no test sleeps for a fixed time."""

import time
from collections.abc import Callable
from typing import TypeVar

T = TypeVar("T")

_POLL_S = 0.01


def wait_for(condition: Callable[[], T], timeout_s: float = 10.0) -> T:
    """Call `condition` repeatedly until it returns a true value, and return that value.

    Raises
    ------
    TimeoutError
        If no call returned a true value within `timeout_s` seconds.
    """
    deadline = time.monotonic() + timeout_s
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() >= deadline:
            name = getattr(condition, "__name__", repr(condition))
            raise TimeoutError(f"{name} did not hold within {timeout_s} s")
        time.sleep(_POLL_S)

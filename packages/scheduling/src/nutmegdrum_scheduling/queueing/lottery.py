"""Draws that are equal for all attempts of one request, at whichever entry VM."""

from hashlib import blake2b

PERIOD_MS = 3_000
"""Time for which a request keeps its draw, in ms; callers that return when told to come back after
about a third of their deadline and draw anew, while one that asks at once has the same draw."""

_DRAWS = 1 << 32


def draw(identity: str, wall_ms: int) -> float:
    """Return a number from 0 to below 1 for a request's content and the present time.

    The periods of different requests begin at different times. Clocks of entry VMs that differ
    let a caller see two draws of one period instead of one.
    """
    digest = blake2b(identity.encode(), digest_size=4).digest()
    period = (wall_ms + int.from_bytes(digest)) // PERIOD_MS
    mixed = blake2b(f"{identity}/{period}".encode(), digest_size=4).digest()
    return int.from_bytes(mixed) / _DRAWS

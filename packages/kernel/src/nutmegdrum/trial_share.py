"""Limit on the share of a route's traffic that one entry VM sends to a version under trial."""

import random

from nutmegdrum.units import PPM


class TrialShare:
    """Credit counter: each routed request adds credit, each request to the trial uses it.

    Only routed requests add credit, so retries of callers while the settled version's backend
    servers are lost do not increase the trial's traffic. In any sequence of requests the trial
    gets at most its share plus one request.

    Parameters
    ----------
    rng : random.Random
        Draws the initial credit, so that not every entry VM sends its first request to the trial.
    """

    def __init__(self, rng: random.Random):
        self._credit_ppm = rng.randrange(PPM)

    def due(self, share_ppm: int) -> bool:
        """Return whether the next request may go to the trial."""
        return share_ppm > 0 and self._credit_ppm + share_ppm >= PPM

    def routed(self, share_ppm: int, to_trial: bool) -> None:
        """Count a request that was routed."""
        self._credit_ppm = min(self._credit_ppm + share_ppm, PPM)
        if to_trial:
            self._credit_ppm -= PPM

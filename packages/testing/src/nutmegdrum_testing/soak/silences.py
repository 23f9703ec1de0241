"""Silences of sound backend servers, and checks of the requests beside them."""

import random
import threading
import time
from collections import deque
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from typing import NamedTuple

from nutmegdrum_testing.link import Network
from nutmegdrum_testing.soak.callers import Callers, Sent
from nutmegdrum_testing.soak.disturbances import SERVERS
from nutmegdrum_testing.soak.engines import Engines

MIN_SILENCE_S, MAX_SILENCE_S = 1.0, 1.4
MIN_PAUSE_S, MAX_PAUSE_S = 0.3, 2.5
"""Bounds on a silence and on the time to the next one, in s."""

SENDS_RATIO, SENDS_SLACK, WINDOW_S = 0.8, 150, 10.0
"""Users' bound on the sends to a service beyond a request's first in any window: ratio of its
requests, and slack."""

END_SLACK_S = 0.2
"""Tolerance in s by which a request may end before its deadline."""


class Silence(NamedTuple):
    """Silence of one or several backend servers, with monotonic times in s."""

    began_s: float
    ended_s: float
    servers: int
    of: int


class Silences:
    """Lets backend servers fall silent and go on, and checks that callers do not notice.

    Parameters
    ----------
    rng : random.Random
        Draws servers, durations and pauses, and whether a silent server accepts connections.
    """

    def __init__(self, network: Network, engines: Engines, callers: Callers, rng: random.Random):
        self._network = network
        self._engines = engines
        self._callers = callers
        self._rng = rng
        self._stopped = threading.Event()
        self.played: list[Silence] = []

    @contextmanager
    def running(self) -> Iterator[None]:
        """Play a series of silences for the time of a `with` block."""
        self._stopped.clear()
        thread = threading.Thread(target=self._run, daemon=True)
        thread.start()
        try:
            yield
        finally:
            self._stopped.set()
            thread.join()

    def _run(self) -> None:
        while not self._stopped.is_set():
            self._play()
            self._stopped.wait(self._rng.uniform(MIN_PAUSE_S, MAX_PAUSE_S))

    def _play(self) -> None:
        links = self._engines.links()
        count = self._rng.choice([1, self._rng.randint(1, len(links)), len(links)])
        silent = self._rng.sample(links, count)
        began_s = time.monotonic()
        for link in silent:
            if self._rng.random() < 0.5:
                link.hang()
            else:
                link.silence()
        until_s = began_s + self._rng.uniform(MIN_SILENCE_S, MAX_SILENCE_S)
        time.sleep(max(0.0, until_s - time.monotonic()))
        self._network.end_silences(silent)
        self.played.append(Silence(began_s, time.monotonic(), count, len(links)))

    def summary(self) -> str:
        """Return the number of silences so far, and the longest."""
        longest_s = max((each.ended_s - each.began_s for each in self.played), default=0.0)
        return f"{len(self.played)} silences up to {longest_s:.2f} s"

    def problems(self, since_s: float) -> list[str]:
        """Return what callers noticed of the silences since a monotonic time in s."""
        lost = [
            f"{sent.request_id} ended with {sent.outcome} after {sent.took_s:.2f} s "
            f"of its {sent.deadline_s} s beside {self._beside(sent)}"
            for sent in self._callers.sent_streams
            if sent.began_s >= since_s and self._is_lost(sent)
        ]
        return [*lost, *_too_many_sends([a for a in self._engines.arrivals if a[0] >= since_s])]

    def _is_lost(self, sent: Sent) -> bool:
        if sent.outcome == "200" or sent.took_s > sent.deadline_s - END_SLACK_S:
            return False
        hit = self._engines.disturbances.hit(
            sent.request_id, (SERVERS, sent.entry), sent.began_s, sent.ended_s
        )
        return bool(self._beside(sent)) and not hit

    def _beside(self, sent: Sent) -> str:
        return ", ".join(
            f"a silence of {each.servers} of {each.of} servers "
            f"{each.began_s - sent.began_s:+.2f} to {each.ended_s - sent.began_s:+.2f} s"
            for each in self.played
            if each.began_s < sent.ended_s and sent.began_s < each.ended_s
        )


def _too_many_sends(arrivals: Sequence[tuple[float, str]]) -> list[str]:
    """Return a problem if requests arrived too often beyond their first time in any window.

    Parameters
    ----------
    arrivals : sequence of tuple
        Monotonic time in s and request id of each arrival at a backend server.
    """
    seen: set[str] = set()
    window: deque[tuple[float, bool]] = deque()
    requests = again = 0
    worst, worst_excess = "", 0.0
    for at_s, request_id in sorted(arrivals):
        is_first = request_id not in seen
        seen.add(request_id)
        window.append((at_s, is_first))
        requests += is_first
        again += not is_first
        while window[0][0] <= at_s - WINDOW_S:
            _, was_first = window.popleft()
            requests -= was_first
            again -= not was_first
        excess = again - SENDS_RATIO * requests - SENDS_SLACK
        if excess > worst_excess:
            worst_excess = excess
            worst = f"{again} sends beyond the first for {requests} requests in {WINDOW_S} s"
    return [worst] if worst else []

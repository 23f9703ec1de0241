"""Faults of the soak, drawn from a seed; faults of different kinds overlap."""

import random
import threading
import time
from collections.abc import Callable, Collection

from nutmegdrum_testing.link import Link
from nutmegdrum_testing.soak.disturbances import SERVERS, entry_target
from nutmegdrum_testing.soak.world import Daemon, SoakWorld

CHANGES = (
    "restart entry",
    "kill replica",
    "restart replica",
    "new document",
    "documents in a row",
    "settings of entry",
    "settings of replica",
)
"""Faults that are no trouble to callers of other entry VMs."""

MIN_PAUSE_S, MAX_PAUSE_S = 0.2, 1.2


class Faults:
    """Draws and injects faults; each one leaves the world in a state that allows the next."""

    def __init__(self, world: SoakWorld, rng: random.Random):
        self._world = world
        self._rng = rng
        self.injected: list[str] = []
        self._locks: dict[str, threading.Lock] = {}
        self._actions: dict[str, Callable[[], None]] = {
            "kill entry": lambda: self._disturb_entry(lambda e: e.kill()),
            "restart entry": lambda: self._disturb_entry(lambda e: e.restart()),
            "pause entry": lambda: self._disturb_entry(lambda e: e.pause(self._short_s())),
            "cut off entry": lambda: self._disturb_entry(lambda e: e.cut_off(self._short_s())),
            "kill replica": lambda: self._replica().kill(),
            "restart replica": lambda: self._replica().restart(),
            "pause replica": lambda: self._replica().pause(self._short_s()),
            "kill all replicas": self._kill_all_replicas,
            "crash engine": world.engines.crash,
            "limit engines": self._limit,
            "silence engine": lambda: self._disturb_engine(self._silence),
            "reset engine": lambda: self._disturb_engine(lambda link: link.reset()),
            "silence callers": lambda: self._disturb_callers(self._silence),
            "reset callers": lambda: self._disturb_callers(lambda link: link.reset()),
            "new document": lambda: world.operator.put_next(),
            "documents in a row": self._documents,
            "roll out": world.roll_outs.play,
            "settings of entry": lambda: self._entry().change_settings(rng.random() < 0.5),
            "settings of replica": lambda: self._replica().change_settings(rng.random() < 0.5),
        }

    def run(self, seconds: float, kinds: Collection[str] = ()) -> None:
        """Inject faults for `seconds`, each on a thread of its own so that they overlap.

        Parameters
        ----------
        kinds : collection of str
            Kinds to draw from; all by default.
        """
        until = time.monotonic() + seconds
        threads = []
        while time.monotonic() < until:
            kind = self._rng.choice(list(kinds or self._actions))
            self.injected.append(kind)
            thread = threading.Thread(target=self._inject, args=(kind,), daemon=True)
            thread.start()
            threads.append(thread)
            time.sleep(self._rng.uniform(MIN_PAUSE_S, MAX_PAUSE_S))
        for thread in threads:
            thread.join(60)

    def _inject(self, kind: str) -> None:
        with self._lock_for(kind):
            try:
                self._actions[kind]()
            except Exception as exc:
                self._world.callers.problems.append(f"{kind}: {exc!r}")

    def _lock_for(self, kind: str) -> threading.Lock:
        """Return the lock that serializes faults on one group of targets."""
        # The last word of a kind names its targets.
        group = kind.split()[-1].rstrip("s")
        return self._locks.setdefault(group, threading.Lock())

    def _entry(self) -> Daemon:
        return self._rng.choice(self._world.entries)

    def _disturb_entry(self, fault: Callable[[Daemon], None]) -> None:
        number = self._rng.randrange(len(self._world.entries))
        with self._world.disturbances.during(entry_target(number)):
            fault(self._world.entries[number])

    def _disturb_callers(self, fault: Callable[[Link], None]) -> None:
        number = self._rng.randrange(len(self._world.entry_links))
        with self._world.disturbances.during(entry_target(number)):
            fault(self._world.entry_links[number])

    def _disturb_engine(self, fault: Callable[[Link], None]) -> None:
        with self._world.disturbances.during(SERVERS):
            fault(self._rng.choice(self._world.engines.links()))

    def _replica(self) -> Daemon:
        return self._rng.choice(self._world.replicas)

    def _short_s(self) -> float:
        return self._rng.uniform(0.1, 2.5)

    def _kill_all_replicas(self) -> None:
        for replica in self._world.replicas:
            replica.kill()

    def _silence(self, link: Link) -> None:
        link.silence()
        time.sleep(self._short_s())
        link.heal()

    def _limit(self) -> None:
        with self._world.disturbances.during(SERVERS):
            self._world.engines.limit_per_s = self._rng.uniform(2.0, 20.0)
            time.sleep(self._short_s())
            self._world.engines.limit_per_s = None

    def _documents(self) -> None:
        for _ in range(5):
            self._world.operator.put_next()

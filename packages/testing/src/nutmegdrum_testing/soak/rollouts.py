"""Rollouts of the soak: good and bad versions, rolled out one after the other during faults."""

import random
import time

from nutmegdrum.moves import MoveState

from nutmegdrum_testing.soak.documents import Operator
from nutmegdrum_testing.soak.engines import Engines

DURATION_MS = 6_000
ORDER_S = 15.0
"""Time-out in s of an order, long enough for replicas that were all killed just before."""

END_S = 40.0
"""Time-out in s of a rollout; with each loss of the leader its samples are collected anew."""

EXPOSURE_SHARE = 0.1
EXPOSURE_SLACK = 50
ROLLBACK_S = 5.0
BAD_ANSWERS = 50
"""Users' bounds on a bad version: it receives at most `EXPOSURE_SHARE` of all requests plus
`EXPOSURE_SLACK`, and none later than `ROLLBACK_S` after its `BAD_ANSWERS`th failure."""

SERVERS = 3


class RollOuts:
    """Orders rollouts, stops the losing version as the platform does, and checks bad versions."""

    def __init__(self, engines: Engines, operator: Operator, rng: random.Random):
        self._engines = engines
        self._operator = operator
        self._rng = rng
        self._number = 1
        self.target = ""
        self.problems: list[str] = []
        self.results: list[str] = []

    def play(self) -> None:
        """Order one rollout, wait for its end, and check it if the version is bad."""
        self._number += 1
        target, bad = f"v{self._number}", self._rng.random() < 0.5
        if not self._order(target):
            return
        ordered_s = time.monotonic()
        self.target = target
        self._engines.start_version(target, SERVERS, bad)
        state = self._wait_for_end(target)
        ended_s = time.monotonic()
        self.results.append(f"{'bad' if bad else 'good'} {state.value if state else 'open'}")
        if state is MoveState.DONE:
            self._engines.stop_versions(lambda version: version != target)
        else:
            time.sleep(1.0)
            self._engines.stop_versions(lambda version: version == target)
        if bad:
            self._check(target, state, ordered_s, ended_s)

    def _order(self, target: str) -> bool:
        until_s = time.monotonic() + ORDER_S
        while not self._operator.start_rollout(target, DURATION_MS):
            if time.monotonic() > until_s:
                self.problems.append(f"the order of {target} was not acknowledged in time")
                return False
            time.sleep(0.2)
        return True

    def _wait_for_end(self, target: str) -> MoveState | None:
        until_s = time.monotonic() + END_S
        while time.monotonic() < until_s:
            rollout = self._operator.rollout()
            if rollout is not None and rollout.target != target:
                self.problems.append(
                    f"{target} was ordered but the leader returned {rollout.target} instead"
                )
                return None
            if rollout is not None and rollout.terminal:
                return rollout.state
            time.sleep(0.05)
        self.problems.append(f"the roll-out of {target} did not end within {END_S:.0f} s")
        return None

    def _check(
        self, target: str, state: MoveState | None, ordered_s: float, ended_s: float
    ) -> None:
        if state is MoveState.DONE:
            self.problems.append(f"bad version {target} was completed")
        until_s = min(ended_s, ordered_s + DURATION_MS / 1_000)
        received = {
            version: [s for s in times if ordered_s <= s <= until_s]
            for version, times in self._engines.received_at_s.items()
        }
        exposed, total = len(received.get(target, [])), sum(map(len, received.values()))
        if exposed > EXPOSURE_SHARE * total + EXPOSURE_SLACK:
            self.problems.append(f"bad version {target} got {exposed} of {total} requests")
        failed = self._engines.failed_at_s.get(target, [])
        if len(failed) > BAD_ANSWERS:
            last_s = self._engines.received_at_s[target][-1]
            if last_s > failed[BAD_ANSWERS - 1] + ROLLBACK_S:
                self.problems.append(
                    f"bad version {target} got requests too late after its failures"
                )

"""Rollouts of the soak: good and bad versions, rolled out one after the other during faults."""

import random
import threading
import time
from collections.abc import Callable

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

BAD_AT_ONCE, TURNS_BAD = 0.35, 0.25
"""Shares of the rollouts whose version is bad at once, and turns bad late in the rollout."""

TURNS_BAD_S = 4.4
LEADER_LOST_S = 0.4
"""Time in s from the order until a version turns bad, and from then until the leader is lost."""

MIN_FAILURES = 15
"""Failures with which a version that has turned bad must not be completed."""


class RollOuts:
    """Orders rollouts, stops the losing version as the platform does, and checks bad versions.

    Parameters
    ----------
    lose_leader : callable
        Kills the state leader.

    """

    def __init__(
        self,
        engines: Engines,
        operator: Operator,
        rng: random.Random,
        lose_leader: Callable[[], None],
    ):
        self._lose_leader = lose_leader
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
        target, drawn = f"v{self._number}", self._rng.random()
        bad = drawn < BAD_AT_ONCE
        turns_bad = BAD_AT_ONCE <= drawn < BAD_AT_ONCE + TURNS_BAD
        if not self._order(target):
            return
        ordered_s = time.monotonic()
        self.target = target
        self._engines.start_version(target, SERVERS, bad)
        turning = threading.Thread(target=self._turn_bad, args=(target, ordered_s), daemon=True)
        if turns_bad:
            turning.start()
        state = self._wait_for_end(target)
        ended_s = time.monotonic()
        kind = "bad" if bad else "turned bad" if turns_bad else "good"
        self.results.append(f"{kind} {state.value if state else 'open'}")
        if turns_bad:
            turning.join()
            self._check_completion(target, state, ended_s)
        if state is MoveState.DONE:
            self._engines.stop_versions(lambda version: version != target)
        else:
            time.sleep(1.0)
            self._engines.stop_versions(lambda version: version == target)
        if bad:
            self._check(target, state, ordered_s, ended_s)

    def _turn_bad(self, target: str, ordered_s: float) -> None:
        time.sleep(max(0.0, ordered_s + TURNS_BAD_S - time.monotonic()))
        self._engines.turn_bad(target)
        time.sleep(LEADER_LOST_S)
        self._lose_leader()

    def _check_completion(self, target: str, state: MoveState | None, ended_s: float) -> None:
        failed = [s for s in self._engines.failed_at_s.get(target, []) if s < ended_s]
        if state is MoveState.DONE and len(failed) >= MIN_FAILURES:
            self.problems.append(
                f"version {target} was completed after {len(failed)} failures in its last part"
            )

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

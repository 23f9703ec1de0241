"""Background traffic of short generations during a test."""

import itertools
import threading
from collections import Counter

from nutmegdrum_testing.callers import Caller


class Traffic:
    """Threads that each send short generations one after another during a `with` block.

    Attributes
    ----------
    ended : Counter
        Number of answers by `StreamResult.ended`.
    problems : list
        Problem documents of the answers that did not end with `done`.

    Raises
    ------
    AssertionError
        At the end of the block, if an answer that ended with `done` was not complete.
    """

    def __init__(self, caller: Caller, model: str, threads: int = 6, tokens: int = 3):
        self.ended: Counter[str] = Counter()
        self.problems: list[object] = []
        self._failed_checks: list[AssertionError] = []
        self._caller = caller
        self._model = model
        self._tokens = tokens
        self._numbers = itertools.count()
        self._stopping = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(index,), daemon=True)
            for index in range(threads)
        ]

    def __enter__(self) -> "Traffic":
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._stopping.set()
        for thread in self._threads:
            thread.join()
        if self._failed_checks:
            raise self._failed_checks[0]

    def _run(self, index: int) -> None:
        entry = index % len(self._caller.addresses)
        while not self._stopping.is_set():
            prompt = f"question {next(self._numbers)}"
            result = self._caller.generate(self._model, prompt, self._tokens, entry=entry)
            self.ended[result.ended] += 1
            if result.ended != "done":
                self.problems.append(result.problem)
                continue
            try:
                result.check(self._tokens)
            except AssertionError as exc:
                self._failed_checks.append(exc)

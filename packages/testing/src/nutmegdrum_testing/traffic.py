"""Steady traffic of short generations, in the background of a test."""

import itertools
import threading
from collections import Counter

from nutmegdrum_testing.callers import Caller


class Traffic:
    """Callers that send one short generation after another while a `with` block runs.

    Attributes
    ----------
    ended : Counter
        Number of answers by how they ended.
    problems : list
        What was said of the answers that did not end well.

    Raises
    ------
    AssertionError
        At the block's end, if an answer that ended well was not whole.
    """

    def __init__(self, caller: Caller, model: str, threads: int = 6, tokens: int = 3):
        self.ended: Counter[str] = Counter()
        self.problems: list[object] = []
        self._broken: list[AssertionError] = []
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
        if self._broken:
            raise self._broken[0]

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
                self._broken.append(exc)

from pathlib import Path

import pytest

ROOT = Path(__file__).parents[3]

pytest_plugins = ["pytester"]

TESTS = """
def test_listed():
    assert False

def test_other():
    assert {other}
"""

ENTRY = """# known failures
test_it.py::test_listed
    pytest test_it.py, seed 0; seen: False; issue 9
"""


@pytest.fixture
def run(pytester: pytest.Pytester):
    def run_tests(other: bool, listed: str = ENTRY):
        pytester.makeconftest((ROOT / "conftest.py").read_text())
        (pytester.path / "KNOWN-RED.txt").write_text(listed)
        pytester.makepyfile(test_it=TESTS.format(other=other))
        return pytester.runpytest("-q")

    return run_tests


class TestKnownRed:
    def test_a_listed_failure_is_printed_and_does_not_fail_the_run(self, run):
        result = run(other=True)
        assert result.ret == 0
        result.stdout.fnmatch_lines(["xfailed: test_it.py::test_listed: pytest*issue 9"])

    def test_another_failure_fails_the_run(self, run):
        assert run(other=False).ret == 1

    def test_an_unlisted_failure_fails_the_run(self, run):
        assert run(other=True, listed="# none\n").ret == 1

    def test_listed_test_that_does_not_exist_is_printed(self, run):
        result = run(other=True, listed=ENTRY + "test_it.py::test_gone\n    issue 9\n")
        result.stdout.fnmatch_lines(["not run: test_it.py::test_gone: issue 9"])

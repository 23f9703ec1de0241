import re
from pathlib import Path

import msgspec
import pytest
from nutmegdrum_testing.arrival_load import Arrivals, Source, run_arrivals
from nutmegdrum_testing.bench.__main__ import MEASURES, judge, run_measure
from nutmegdrum_testing.bench.bounds import BOUNDS
from nutmegdrum_testing.bench.figures import Distribution, Figure, Sizes, Status, slope
from nutmegdrum_testing.control import Control
from nutmegdrum_testing.faults import Fault, FaultKind
from nutmegdrum_testing.processes import Processes
from nutmegdrum_testing.stream_load import run_load


@pytest.fixture
def processes():
    with Processes() as running:
        yield running


@pytest.fixture
def engine(processes):
    options = ["--token-ms", "1", "--first-token-ms", "1", "--slots", "100"]
    return processes.start_module("nutmegdrum_testing.fake_engine", *options).wait_ready()


class TestFigures:
    def test_slope_of_exact_points(self):
        assert slope([(0, 3.0), (10, 23.0), (20, 43.0)]) == pytest.approx((3.0, 2.0))

    def test_percentiles_of_samples(self):
        p50, p95, worst = Distribution(range(1, 101)).figures("x", {})
        assert (p50.value, p95.value, worst.value) == pytest.approx((50, 95, 100), rel=0.01)

    @pytest.mark.parametrize(
        ("value", "status"),
        [(57.0, Status.WITHIN), (58.0, Status.MISSED), (None, Status.NOT_RUN)],
    )
    def test_status_follows_from_the_bound(self, value, status):
        figure = Figure(name="gap", value=value, unit="ms", bound="token-gap")
        assert judge(figure).status is status

    def test_every_bound_names_its_source(self):
        assert all(bound.source for bound in BOUNDS.values())


class TestRunMeasure:
    def test_unknown_measure_is_reported_as_not_run(self):
        [figure] = run_measure("no_such_measure", Sizes())
        assert figure.status is Status.NOT_RUN

    def test_leader_cost_yields_measured_figures(self):
        figures = list(run_measure("leader_cost", Sizes(quick=True)))
        assert {figure.status for figure in figures} == {Status.MEASURED}
        assert "leader_cost" in MEASURES


class TestCommand:
    def test_one_measure_is_printed_and_written_as_json(self, processes, tmp_path):
        options = ["--only", "leader_cost", "--quick", "--json", str(tmp_path / "run" / "it.json")]
        process = processes.start_module("nutmegdrum_testing.bench", *options)
        assert process.wait(60) == 0
        assert "view_bytes a replica" in process.output()
        written = msgspec.json.decode((tmp_path / "run" / "it.json").read_bytes())
        assert list(written) == ["leader_cost"]

    def test_capacity_page_names_existing_measures(self):
        page = (Path(__file__).parents[3] / "docs" / "CAPACITY.md").read_text()
        named = set(re.findall(r"`([a-z]+(?:_[a-z]+)*)`", page))
        assert named - {"nutmegdrum_coord"} <= set(MEASURES)
        assert {"control_cost", "leader_cost", "state_cost", "overhead"} <= named


class TestLoads:
    def test_complete_streams_are_counted(self, processes, engine):
        result = run_load(processes, [engine], streams=5, tokens=20)
        assert (result.whole, result.broken, result.refused) == (5, 0, 0)
        assert (len(result.first_token_ms), len(result.gaps_ms)) == (5, 95)

    def test_broken_and_refused_streams_are_counted(self, processes, engine):
        Control(engine).set_faults(
            Fault(kind=FaultKind.ERROR, prompt="load 0"),
            Fault(kind=FaultKind.WRONG, prompt="load 1", after_tokens=3),
        )
        result = run_load(processes, [engine], streams=3, tokens=20)
        assert (result.whole, result.broken, result.refused) == (1, 1, 1)

    def test_arrivals_are_counted_by_class(self, processes, engine):
        Control(engine).set_faults(Fault(kind=FaultKind.NO_SLOT, rate=0.5))
        arrivals = Arrivals(
            addresses=[engine],
            sources=[Source(name="direct", key="", share=1.0)],
            rate_per_s=100,
            seconds=0.5,
            max_tokens=3,
            seed=1,
        )
        classes = run_arrivals(processes, arrivals).classes
        assert [each.priority for each in classes] == ["urgent", "normal", "batch"]
        refused = sum(each.refused for each in classes)
        whole = sum(each.whole for each in classes)
        assert refused > 0
        assert whole > 0
        assert refused + whole == sum(each.offered for each in classes)

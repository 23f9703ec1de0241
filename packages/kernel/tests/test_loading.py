import pytest
from nutmegdrum.draining import DrainTracker, Instance
from nutmegdrum.fleet import Fleet
from nutmegdrum.loading import SpareCapacity
from nutmegdrum.messages import LoadedVersion, LoadReport
from nutmegdrum.observed import EntryVmObservation
from nutmegdrum.placement import FIRST, Load, Placement
from nutmegdrum.releases import Releases, SubmitNote
from nutmegdrum.settings import BackendSettings, CapacityPriority, ModelSettings
from nutmegdrum.view import QuarantineView
from nutmegdrum.viewbuilder import ViewCache
from nutmegdrum_coord.parts import CompositeState, encode_command

VERSION = LoadedVersion("m", "2")


def make_fleet(running=0, loaded=("1",), number=4):
    backends = [
        BackendSettings(id=f"b{i}", address="127.0.0.1:1", service="s", data_centre="a")
        for i in range(number)
    ]
    fleet = Fleet(backends)
    versions = [LoadedVersion(model, "1") for model in ("m", "n")]
    for backend in backends:
        report = LoadReport(sequence=1, running=running, queued=0, slots=16, loaded=versions)
        fleet.on_load_report(0, backend.id, report)
    return fleet


def load(backend="b0", complete_by=5):
    return Load(complete_by=complete_by, version=VERSION, backend=backend)


class TestSpareCapacity:
    @pytest.mark.parametrize(
        ("weigh", "running", "loading", "allowed"),
        [
            (CapacityPriority.RESUME_LATENCY, 8, [], True),
            (CapacityPriority.RESUME_LATENCY, 13, [], False),
            (CapacityPriority.RESUME_LATENCY, 8, ["b1"], False),
            (CapacityPriority.MOVES_IN_TIME, 13, ["b1"], True),
            (CapacityPriority.MOVES_IN_TIME, 16, [], False),
            (CapacityPriority.MOVES_IN_TIME, 8, ["b1", "b2"], False),
        ],
    )
    def test_weights_keep_other_reserves(self, weigh, running, loading, allowed):
        spare = SpareCapacity(weigh)
        assert spare.allows(0, make_fleet(running), load(), loading) is allowed

    def test_a_loss_holds_up_loads_for_moves_but_not_for_settled_versions(self):
        spare, fleet = SpareCapacity(CapacityPriority.RESUME_LATENCY), make_fleet()
        spare.on_loss(0, "b1")
        spare.update(100, fleet)
        assert not spare.allows(100, fleet, load(), [])
        assert spare.allows(100, fleet, load(complete_by=FIRST), [])

    def test_a_server_that_stays_suspected_holds_up_nothing_for_good(self):
        spare, fleet = SpareCapacity(CapacityPriority.RESUME_LATENCY), make_fleet()
        for now_ms in range(0, 20_000, 500):
            spare.on_loss(now_ms, "b1")
            spare.update(now_ms, fleet)
        assert spare.allows(20_000, fleet, load(), [])


class TestPlacement:
    def test_earliest_deadline_is_loaded_first_and_settled_before_all(self):
        releases = Releases(
            [ModelSettings(name=name, service="s", version="1") for name in ("m", "n")]
        )
        state = CompositeState([releases])
        changed = b"""{"number": 1, "changed": [
            {"model": "m", "version": "2", "complete_by": "2027-01-02T00:00:00Z"},
            {"model": "n", "version": "2", "complete_by": "2027-01-01T00:00:00Z"}]}"""
        state.apply(1, 0, encode_command(SubmitNote(operator="anu", note=changed)))
        for move in releases.moves.values():
            move.state = type(move.state).LOADING
        fleet = make_fleet()
        fleet.on_load_report(1, "b3", LoadReport(sequence=2, running=0, queued=0, slots=16))
        loads = [item.version for item in Placement(releases, fleet, 1).loads()]
        assert [version.version for version in loads[:2]] == ["1", "1"]
        assert [version.model for version in loads[2:]] == ["n", "n", "m", "m"]


class TestDrains:
    def setup_method(self):
        self.drains = DrainTracker(settle_ms=1_000, limit_ms=60_000)
        self.instance = Instance("b0", VERSION)
        self.fleet = make_fleet(running=3)
        self.entries = {"e0": EntryVmObservation(heard_ms=5_000, running={VERSION: 1})}
        self.drains.update(0, [self.instance])

    def drained(self, now_ms):
        member = self.fleet.members["b0"]
        return self.drains.drained(now_ms, self.instance, member, self.entries)

    def test_running_requests_are_waited_for(self):
        assert not self.drained(5_000)
        self.entries["e0"].running = {}
        assert self.drained(5_000)
        assert not self.drained(999)

    @pytest.mark.parametrize("running", [None, {}])
    def test_silence_is_no_proof(self, running):
        self.entries["e0"] = EntryVmObservation(heard_ms=0, running=running)
        assert not self.drained(9_000)
        assert self.drained(60_000)

    def test_an_idle_backend_server_is_drained(self):
        idle = LoadReport(sequence=2, running=0, queued=0, slots=16)
        self.fleet.on_load_report(2_000, "b0", idle)
        assert self.drained(2_000)

    def test_a_version_that_is_wanted_again_starts_anew(self):
        self.entries["e0"].running = {}
        self.drains.update(4_500, [])
        self.drains.update(4_600, [self.instance])
        assert not self.drained(5_000)


class TestViewSource:
    def test_ageing_quarantine_is_no_change_but_a_new_one_is(self):
        state = CompositeState([Releases([ModelSettings(name="m", service="s", version="1")])])
        fleet, source = make_fleet(), ViewCache(1, 1_500)

        def generation(now_ms, **remaining_ms):
            entries = [
                QuarantineView(fingerprint=f, remaining_ms=r) for f, r in remaining_ms.items()
            ]
            return source.view(now_ms, state, fleet, entries).generation

        first = generation(0, f=60_000)
        assert generation(30_000, f=30_000) == first
        assert generation(30_000, f=60_000) > first
        assert generation(31_000, f=59_000, g=60_000) > first + 1

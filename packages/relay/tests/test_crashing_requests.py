import contextlib
import http.client
import threading
from concurrent.futures import ThreadPoolExecutor

import pytest
from nutmegdrum_coord.clock import LogMs, SystemClock
from nutmegdrum_coord.parts import Context, Envelope
from nutmegdrum_coord.quarantine import EndTry, Quarantine, ReportCrash, part_fingerprint
from nutmegdrum_relay.documents import RouteKind
from nutmegdrum_relay.state_role import CRASHES_ALONE, QUARANTINE_TIME
from nutmegdrum_relay.views import Quarantined
from nutmegdrum_testing.relay_world import HOST, KEY, SERVICE, RelayWorld, document, route
from nutmegdrum_testing.scripted_backend import ScriptedBackend
from nutmegdrum_testing.waiting import wait_for

VMS = 3
SERVERS = 12
SENDS = 8
CRASHES_ALLOWED = 5
"""The users' rule counts requests sent after the fifth crash."""


class Fleet:
    """Entry VMs with the same backend servers, each of which crashes when it runs the request.

    Parameters
    ----------
    before_end : callable
        Answers the request before the backend server crashes; returns True if it does not crash.
    """

    def __init__(self, kind, before_end, **changes):
        self.ended = []
        self._kind = kind
        self._before_end = before_end
        self._clock = SystemClock()
        self._quarantine = Quarantine(int(QUARANTINE_TIME), CRASHES_ALONE)
        self._told = 0
        self._passed_ms = 0
        self._servers = [ScriptedBackend(self._end) for _ in range(SERVERS)]
        self._vms = [RelayWorld(document(route(kind, **changes))) for _ in range(VMS)]
        for vm in self._vms:
            vm.share(self._servers)

    def send(self, number, body=b"culprit", parts=""):
        """Send a request to one of the VMs and return its status; then report all VMs' crashes."""
        vm = self._vms[number % VMS]
        conn = http.client.HTTPConnection(vm.address.host, vm.address.port, timeout=10)
        sent = {"Host": HOST, "X-Id": f"q{number}", "X-Key": KEY, "X-Parts": parts}
        conn.request("POST", f"/{self._kind.value}/x", body, sent)
        resp = conn.getresponse()
        with contextlib.suppress(http.client.IncompleteRead):
            resp.read()
        conn.close()
        wait_for(self._all_told)
        return resp.status

    def quarantine(self, fingerprint):
        """Apply a view with one quarantine at all VMs."""
        for vm in self._vms:
            vm.crash_watch.set_view([Quarantined(fingerprint, 60_000)], [])

    def pass_time(self, ms):
        """Advance the log's time, and report."""
        wait_for(self._all_told)
        self._passed_ms += ms
        self._apply(EndTry(fingerprint="", vm="e", cleared=False))
        wait_for(self._all_told)

    def _all_told(self):
        for vm in self._vms:
            crashes, _ = vm.crash_watch.take_reports()
            self._told += len(crashes)
            for crash in crashes:
                self._apply(
                    ReportCrash(
                        fingerprint=crash.fingerprint,
                        vm="e",
                        backend=crash.backend,
                        tokens=crash.events,
                        began_ms_ago=crash.began_ms_ago,
                        died_ms_ago=crash.died_ms_ago,
                        parts=crash.parts,
                    ),
                )
            for sound in vm.crash_watch.take_sound_parts():
                self._apply(
                    EndTry(fingerprint=sound.part, vm="e", cleared=True, ms_ago=sound.ms_ago)
                )
        held = self._quarantine.quarantines(self._now())
        for vm in self._vms:
            vm.crash_watch.set_view(
                [Quarantined(f, ms) for f, ms in held.items()],
                self._quarantine.repeatedly_crashed(),
                self._quarantine.suspected_parts(),
            )
        return self._told == len(self.ended)

    def _apply(self, command):
        self._quarantine.apply(Context(1, self._now(), Envelope(command=b"")), command)

    def _now(self):
        return LogMs(self._clock.elapsed_ms() + self._passed_ms)

    def _end(self, received):
        server = next(s for s in self._servers if received in s.received)
        if self._before_end(received):
            return
        self.ended.append(server)
        server.crash(received)

    def close(self):
        for vm in self._vms:
            vm.stop()


def events(count):
    def before_end(received):
        received.start_events(X_Id=received.headers["x-id"])
        first = int(received.headers.get("x-last") or 0) + 1
        for number in range(first, first + count):
            received.event(number)

    return before_end


class TestCrashedServers:
    @pytest.mark.parametrize("count", [0, 1, 2, 20])
    def test_a_stream_that_crashes_its_engine_after_some_events_costs_three(self, count):
        with contextlib.closing(Fleet(RouteKind.STREAM, events(count), max_attempts=2)) as fleet:
            for number in range(SENDS):
                fleet.send(number)
        # Both attempts of the second send may be in progress when the third engine crashes.
        assert len(fleet.ended) <= 4


def deadly_part(received):
    received.start_events(X_Id=received.headers["x-id"])
    if "deadly" in received.headers["x-parts"]:
        return False
    for number in range(1, 7):
        received.event(number)
    received.end_events()
    return True


class TestDeadlyParts:
    def test_a_quarantine_aborts_attempts_that_would_crash_their_engines_later(self):
        waiting = threading.Event()
        gone = []

        def wait(received):
            waiting.set()
            gone.append(received.wait_gone(10))
            return True

        fleet = Fleet(RouteKind.STREAM, wait, max_attempts=2)
        with contextlib.closing(fleet), ThreadPoolExecutor(1) as pool:
            sent = pool.submit(fleet.send, 0, b"deadly", "first,deadly,own")
            wait_for(waiting.is_set)
            fleet.quarantine(part_fingerprint(SERVICE, "deadly"))
            assert sent.result(10) == 502
        assert gone == [True]

    def test_different_requests_with_one_deadly_part_do_not_crash_engine_after_engine(self):
        with contextlib.closing(Fleet(RouteKind.STREAM, deadly_part, max_attempts=2)) as fleet:
            sound = []
            for number in range(SENDS):
                fleet.send(number, b"deadly %d" % number, f"first,deadly,own{number}")
                sound.append(fleet.send(number, b"sound %d" % number, f"first,own{number}"))
                fleet.pass_time(1_000)
        assert len(fleet.ended) <= CRASHES_ALLOWED
        assert sound == [200] * SENDS

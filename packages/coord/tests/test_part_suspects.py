import random

import msgspec
import pytest
from nutmegdrum_coord.clock import LogMs
from nutmegdrum_coord.parts import Context, Envelope
from nutmegdrum_coord.quarantine import EndTry, Quarantine, ReportCrash, is_part, part_fingerprint

CONTACT_MS = 3_000
BUDGET_CRASHES, BUDGET_REQUESTS = 5, 3
REPORT_MS = 300
RETURN_MS = 3_000
STEP_MS = 50
ATTEMPTS = 5


def part(name):
    return part_fingerprint("svc", name)


class Service:
    """Engines in model time that crash when they begin an answer to a prompt with a deadly part.

    Entry VMs are one here: it reports and learns with a delay of `REPORT_MS`. Each request waits a
    random time for its first event; an engine's crash breaks all requests on it, which are sent
    again at once.

    Parameters
    ----------
    deadly : callable
        Returns whether a prompt with these parts is deadly.
    """

    def __init__(self, seed, deadly, engines=9):
        self.now = 10_000
        self.crashes = []
        self.late_sends = 0
        self.refused_sound = self.sound = 0
        self.quarantine = Quarantine(600_000, 3)
        self._rng = random.Random(seed)
        self._deadly = deadly
        self._down_until = dict.fromkeys(range(engines), 0)
        self._running = []
        self._messages = []
        self._known = {}
        self._number = 0

    def play(self, until_ms, arrivals):
        """Play until `until_ms`; `arrivals` yields the parts of the prompts that arrive now."""
        while self.now < until_ms:
            self.now += STEP_MS
            for parts in arrivals(self._rng, self.now):
                self._number += 1
                self._send(f"r{self._number}", tuple(map(part, parts)), ATTEMPTS)
            self._begin_answers()
            self._exchange()

    def set_deadly(self, deadly):
        """Change which prompts are deadly."""
        self._deadly = deadly

    def _send(self, request, parts, attempts):
        deadly = self._deadly(parts)
        up = [e for e, until in self._down_until.items() if until <= self.now]
        refused = any(self._known.get(named, 0) > self.now for named in (request, *parts))
        self.sound += not deadly
        if refused:
            self.refused_sound += not deadly
        elif up and attempts:
            if deadly and len(self.crashes) >= BUDGET_CRASHES:
                self.late_sends += self.now > self.crashes[BUDGET_CRASHES - 1] + CONTACT_MS
            first = self.now + self._rng.randrange(50, 1_800)
            self._running.append((first, request, parts, self._rng.choice(up), self.now, attempts))

    def _begin_answers(self):
        for run in sorted(r for r in self._running if r[0] <= self.now):
            if run not in self._running:
                continue
            _, _, parts, engine, _, _ = run
            if self._deadly(parts):
                self.crashes.append(self.now)
                self.crash([engine])
            else:
                self._running.remove(run)
                at = LogMs(self.now)
                self._messages += [(self.now + REPORT_MS, at, p) for p in parts]

    def crash(self, engines):
        """Crash engines, with all requests on them."""
        lost = [r for r in self._running if r[3] in engines]
        self._running = [r for r in self._running if r not in lost]
        for engine in engines:
            self._down_until[engine] = self.now + RETURN_MS
        for _, request, parts, engine, sent, attempts in lost:
            report = (request, f"{engine}/{self.now}", parts, sent, self.now)
            self._messages.append((self.now + self._rng.randrange(20, 100), None, report))
            self._send(request, parts, attempts - 1)

    def _exchange(self):
        due = [m for m in self._messages if m[0] <= self.now]
        self._messages = [m for m in self._messages if m not in due]
        for _, started, content in due:
            if started is None:
                request, backend, parts, sent, died = content
                self._apply(
                    ReportCrash(
                        fingerprint=request,
                        vm="e",
                        backend=backend,
                        began_ms_ago=self.now - sent,
                        died_ms_ago=self.now - died,
                        parts=parts,
                    )
                )
            elif self.quarantine.is_news(content, started):
                self._apply(
                    EndTry(fingerprint=content, vm="e", cleared=True, ms_ago=self.now - started)
                )
        if self.quarantine.is_part_due(LogMs(self.now)):
            self._apply(EndTry(fingerprint="", vm="e", cleared=False))
        if self.now % REPORT_MS < STEP_MS:
            held = self.quarantine.quarantines(LogMs(self.now))
            self._known = {f: self.now + left for f, left in held.items()}

    def _apply(self, command):
        self.quarantine.apply(Context(1, LogMs(self.now), Envelope(command=b"")), command)

    def quarantined_parts(self):
        return {f for f in self.quarantine.quarantines(LogMs(self.now)) if is_part(f)}


def mixed(rate, share, deadly, sound):
    """Return arrivals of `rate` prompts a second, of which a share is deadly."""

    def arrivals(rng, now):
        if rng.random() < rate * STEP_MS / 1_000:
            yield rng.choice(deadly if rng.random() < share else sound)(rng)

    return arrivals


def session(rng):
    return ["system", f"s{rng.randrange(40)}"]


def tenants(rng):
    return ["system", f"tenant{rng.randrange(5)}", f"s{rng.randrange(100)}"]


def last_shared(rng):
    return ["system", "deadly"]


def of_all_tenants(rng):
    return ["system", f"tenant{rng.randrange(5)}", "deadly"]


def first(rng):
    return ["deadly", f"s{rng.randrange(40)}"]


def middle(rng):
    return ["system", "deadly", f"s{rng.randrange(40)}"]


SHAPES = {shape.__name__: shape for shape in (last_shared, of_all_tenants, first, middle)}


def play_deadly(seed, rate, share, shape):
    service = Service(seed, lambda parts: part("deadly") in parts)
    service.play(60_000, mixed(rate, share, [SHAPES[shape]], [session, tenants]))
    return service


class TestDeadlyPart:
    @pytest.mark.parametrize("rate", [2, 10, 40])
    @pytest.mark.parametrize("share", [0.05, 0.3, 0.6])
    @pytest.mark.parametrize("shape", SHAPES)
    def test_is_named_within_the_budget_and_sound_prompts_are_served(self, rate, share, shape):
        for seed in range(6):
            service = play_deadly(seed, rate, share, shape)
            assert service.late_sends <= BUDGET_REQUESTS, seed
            assert service.refused_sound <= service.sound / 20, seed

    @pytest.mark.parametrize(
        ("seed", "rate", "share", "shape"),
        [(100, 2, 0.6, "last_shared"), (111, 2, 0.6, "of_all_tenants"), (103, 2, 0.3, "first")],
    )
    def test_is_named_alone_although_nothing_was_sound_before(self, seed, rate, share, shape):
        service = play_deadly(seed, rate, share, shape)
        assert service.late_sends <= BUDGET_REQUESTS
        assert service.quarantined_parts() == {part("deadly")}

    def test_that_was_sound_before_is_named_once_several_requests_crash(self):
        for seed in range(6):
            service = Service(seed, lambda parts: False)
            arrivals = mixed(10, 0.3, [lambda rng: ["system", "t"]], [session, tenants])
            service.play(30_000, arrivals)
            service.set_deadly(lambda parts: part("t") in parts)
            service.play(60_000, arrivals)
            assert service.late_sends <= BUDGET_REQUESTS, seed
            assert service.quarantined_parts() == {part("t")}, seed


class TestLiftedQuarantine:
    def test_needs_as_much_new_evidence_as_the_first(self):
        quarantine = Quarantine(600_000, 3)

        def apply(at, command):
            quarantine.apply(Context(1, LogMs(at), Envelope(command=b"")), command)

        def crash(at):
            fields = {"fingerprint": f"r{at}", "vm": "e", "backend": f"b{at}"}
            apply(at, ReportCrash(**fields, parts=(part("innocent"),)))

        def sound_start(at):
            apply(at, EndTry(fingerprint=part("innocent"), vm="e", cleared=True))

        for at in (10_000, 12_000, 14_000):
            crash(at)
        apply(16_000, EndTry(fingerprint="", vm="e", cleared=False))
        assert part("innocent") in quarantine.quarantines(LogMs(16_000))
        sound_start(17_000)
        crash(18_000)
        apply(30_000, EndTry(fingerprint="", vm="e", cleared=False))
        assert not quarantine.quarantines(LogMs(30_000))


class TestInnocentParts:
    @pytest.mark.parametrize("rate", [2, 10, 40])
    def test_outages_of_a_data_centre_name_no_part(self, rate):
        for seed in range(10):
            service = Service(seed, lambda parts: False)
            arrivals = mixed(rate, 0, [], [session, tenants])
            for outage in range(10):
                service.play(16_000 + outage * 6_000, arrivals)
                service.crash(range(outage % 3, 9, 3))
            assert not service.quarantined_parts(), seed


class TestSnapshots:
    def test_keep_evidence_and_explained_crashes(self):
        service = Service(1, lambda parts: part("deadly") in parts)
        service.play(20_000, mixed(10, 0.3, [lambda rng: ["a", "deadly"]], [session]))
        copy = Quarantine(600_000, 3)
        copy.restore(msgspec.msgpack.encode(service.quarantine.snapshot()))
        assert copy.snapshot() == service.quarantine.snapshot()
        assert copy.quarantines(LogMs(service.now)) == service.quarantine.quarantines(
            LogMs(service.now)
        )

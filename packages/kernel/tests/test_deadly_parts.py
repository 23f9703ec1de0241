from nutmegdrum.crashguard import CrashGuard, ReservationResult
from nutmegdrum.fingerprints import MAX_PROMPT_PARTS, generation_fingerprint, prompt_parts
from nutmegdrum.messages import BackendLost, GenerationRequest, LossKind
from nutmegdrum.view import QuarantineView, View
from nutmegdrum_coord.clock import LogMs, ManualClock
from nutmegdrum_coord.parts import Context, Envelope
from nutmegdrum_coord.quarantine import Quarantine
from nutmegdrum_coord.verdict import Refusal
from nutmegdrum_testing.waiting import wait_for

VMS = ["e1", "e2", "e3"]
CRASHES_ALLOWED = 5
MAX_ATTEMPTS = 5
DEADLY = "system: help keepers\nuser: deadly\nuser: question"
SOUND = "system: help keepers\nuser: swarm\nuser: question"


class Gateways:
    """Entry VMs with one quarantine; each engine that begins to answer the deadly part crashes."""

    def __init__(self):
        self.clock = ManualClock(10_000)
        self.part = Quarantine()
        self.crashes = 0
        self._guards = [
            CrashGuard(vm, self.clock, self._propose, lambda _: True, self._sleep) for vm in VMS
        ]

    def _sleep(self, seconds):
        self.clock.advance(int(seconds * 1_000) + 1)

    def _propose(self, command):
        ctx = Context(1, LogMs(self.clock.elapsed_ms()), Envelope(command=b""))
        return self.part.apply(ctx, command)

    def send(self, number, prompt):
        """Send a prompt to one of the VMs, and return whether it was answered."""
        guard = self._guards[number % len(VMS)]
        req = GenerationRequest(
            workspace="w", model="m", prompt=f"{prompt} {number}", max_tokens=20, seed=1
        )
        parts = prompt_parts(req.model, req.prompt)
        fingerprint = generation_fingerprint(req.workspace, req.model, req.prompt)
        try:
            for _ in range(MAX_ATTEMPTS):
                guard.check(fingerprint, parts)
                engine = f"engine-{self.crashes}"
                if guard.suspected(fingerprint):
                    result = guard.reserve(fingerprint, engine, parts)
                    assert result is ReservationResult.RUN
                if "deadly" not in prompt:
                    guard.on_progress(req, 20, ended=True)
                    return True
                self.crashes += 1
                guard.on_stream_loss(req, BackendLost(engine, LossKind.RESET, True), 0)
        except Refusal:
            pass
        return False

    def pass_time(self, ms):
        self.clock.advance(ms)
        now = LogMs(self.clock.elapsed_ms())
        held = self.part.quarantines(now)
        view = View(
            position=1,
            generation=1,
            note=0,
            quarantines=[QuarantineView(fingerprint=f, remaining_ms=m) for f, m in held.items()],
            suspects=self.part.suspects(),
            suspect_parts=self.part.suspected_parts(),
        )
        for guard in self._guards:
            guard.set_view(view, self.clock.elapsed_ms())

    def is_quarantined(self, part):
        return part in self.part.quarantines(LogMs(self.clock.elapsed_ms()))


class TestDeadlyParts:
    def test_different_prompts_with_one_deadly_line_do_not_crash_engine_after_engine(self):
        gateways = Gateways()
        answered = []
        for number in range(12):
            gateways.send(number, DEADLY)
            answered.append(gateways.send(number + 1, SOUND))
            gateways.pass_time(1_000)
        assert gateways.crashes <= CRASHES_ALLOWED
        assert all(answered)

    def test_an_innocent_line_leaves_quarantine_once_an_answer_gets_past_its_beginning(self):
        gateways = Gateways()
        for number in range(3):
            gateways.send(number, "deadly\nsystem: help keepers\nuser: q")
            gateways.pass_time(1_000)
        _, innocent = prompt_parts("m", "deadly\nsystem: help keepers\nuser: q")
        assert gateways.is_quarantined(innocent)
        for guard in gateways._guards:
            guard.on_sound_start([innocent])
        wait_for(lambda: not gateways.is_quarantined(innocent))


class TestPromptParts:
    def test_all_lines_but_the_last_are_parts_of_a_prompt(self):
        first, second = prompt_parts("m", DEADLY)
        assert prompt_parts("m", SOUND)[0] == first
        assert second not in prompt_parts("m", SOUND)
        assert prompt_parts("n", DEADLY)[0] != first
        assert prompt_parts("m", "one line") == ()

    def test_parts_of_long_prompts_are_bounded(self):
        lines = [f"line {n}" for n in range(10 * MAX_PROMPT_PARTS)]
        assert len(prompt_parts("m", "\n".join(lines))) == MAX_PROMPT_PARTS

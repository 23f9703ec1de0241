from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from nutmegdrum.claimbacklog import ClaimBacklog
from nutmegdrum.claimclient import CallState, ClaimCall, ClaimIdentity, NextStep
from nutmegdrum_coord.claims import BeginClaim, ClaimKey, ClaimOutcome, Claims
from nutmegdrum_coord.clock import LogMs
from nutmegdrum_coord.ids import IdempotencyKey, IncarnationId, LogPosition, RouteName, VmId
from nutmegdrum_coord.ids import WorkspaceId as Workspace
from nutmegdrum_coord.parts import CompositeState, Context, Envelope
from nutmegdrum_coord.verdict import NO_QUORUM, Refusal, Verdict

RETENTION_MS = 10_000
DEADLINE_MS = 500
KEYS = [ClaimKey(Workspace("w"), RouteName("/d"), IdempotencyKey(name)) for name in ("k1", "k2")]
PICK = st.integers(0, 1_000)


class Attempt:
    """One caller's request at one entry VM."""

    def __init__(self, number, vm, key, body):
        self.token = f"t{number}"
        self.key = key
        identity = ClaimIdentity(key, body, self.token, VmId(vm), IncarnationId(vm))
        self.call = ClaimCall(identity, DEADLINE_MS, join_wait_ms=200)
        self.waiting = False
        self.owned = False
        self.sent_ms = None
        self.verdict = None
        self.reply = None


class ClaimsMachine(RuleBasedStateMachine):
    """Owners that pause and die, and commands that are late, doubled, crossed or unanswered."""

    def __init__(self):
        super().__init__()
        self.now_ms = 0
        self.state = CompositeState([self._claims()])
        self.attempts = []
        self.network = []
        self.backlog = ClaimBacklog()
        self.sent = {key: [] for key in KEYS}

    def _claims(self):
        return Claims(RETENTION_MS, max_per_workspace=1)

    @rule(
        vm=st.sampled_from(["e1", "e2"]), key=st.sampled_from(KEYS), body=st.sampled_from([0, 0, 1])
    )
    def request(self, vm, key, body):
        attempt = Attempt(len(self.attempts), vm, key, bytes([body]))
        self.attempts.append(attempt)
        self._ask(attempt)

    def _ask(self, attempt):
        attempt.waiting = True
        self.network.append((attempt, attempt.call.ask(self.now_ms)))

    @precondition(lambda self: self.network)
    @rule(pick=PICK, doubled=st.booleans(), answered=st.booleans())
    def commit(self, pick, doubled, answered):
        index = pick % len(self.network)
        attempt, command = self.network[index] if doubled else self.network.pop(index)
        ctx = Context(LogPosition(1), LogMs(self.now_ms), Envelope(command=b""))
        answer = self.state.parts["claims"].apply(ctx, command)
        if isinstance(command, BeginClaim) and answered:
            self._answer(attempt, answer)

    def _answer(self, attempt, answer):
        late = not attempt.waiting
        attempt.waiting = False
        try:
            step = attempt.call.on_answer(answer, self.now_ms)
        except Refusal as exc:
            attempt.verdict = attempt.verdict if late else exc.verdict
            return
        if step is NextStep.DISPATCH:
            attempt.owned = True
        elif step is NextStep.JOIN:
            self._ask(attempt)
        else:
            attempt.reply = attempt.call.outcome.body

    @rule(vm=st.sampled_from(["e1", "e2"]), key=st.sampled_from(KEYS), sent=st.booleans())
    def request_and_own(self, vm, key, sent):
        self.request(vm, key, 0)
        attempt = self.attempts[-1]
        self.commit(len(self.network) - 1, False, True)
        if attempt.owned and sent:
            self._send(attempt)

    def _some(self, pick, condition):
        fitting = [attempt for attempt in self.attempts if condition(attempt)]
        return fitting[pick % len(fitting)] if fitting else None

    @rule(pick=PICK, appended=st.booleans())
    def lose_quorum(self, pick, appended):
        attempt = self._some(pick, lambda a: a.waiting)
        if attempt is None:
            return
        attempt.waiting = False
        if not appended:
            self.network = [sent for sent in self.network if sent[0] is not attempt]
        verdict = Verdict.MAY_HAVE_RUN if appended else Verdict.NOT_RUN
        self._end(attempt, attempt.call.on_proposal_failed(Refusal(NO_QUORUM, verdict)))
        attempt.verdict = Verdict.NOT_RUN

    def _end(self, attempt, command):
        if command is not None:
            self.backlog.add(command, self.now_ms)
            self.network.append((attempt, command))

    @rule(pick=PICK)
    def propose_end_again(self, pick):
        end = self.backlog.due(self.now_ms)
        if end is not None:
            attempt = next(a for a in self.attempts if a.token == end.command.token)
            self.network.append((attempt, end.command))
            self.backlog.on_committed(end)

    @rule(pick=PICK)
    def send(self, pick):
        attempt = self._some(pick, lambda a: a.owned and a.sent_ms is None and not a.verdict)
        if attempt is not None:
            self._send(attempt)

    def _send(self, attempt):
        if attempt.call.may_send(self.now_ms):
            attempt.sent_ms = self.now_ms
            self.sent[attempt.key].append(attempt)
        else:
            self._end(attempt, attempt.call.give_up())
            attempt.verdict = Verdict.NOT_RUN

    @rule(pick=PICK)
    def find_no_backend(self, pick):
        attempt = self._some(pick, lambda a: a.call.state is CallState.OWNED)
        if attempt is not None:
            self._end(attempt, attempt.call.give_up())
            attempt.verdict = Verdict.NOT_RUN

    @rule(pick=PICK, answered=st.booleans())
    def finish(self, pick, answered):
        attempt = self._some(pick, lambda a: a.call.state is CallState.SENT)
        if attempt is None:
            return
        body = attempt.token.encode()
        outcome = ClaimOutcome(status=201, body=body) if answered else None
        self._end(attempt, attempt.call.finish(outcome))
        attempt.verdict = None if answered else Verdict.MAY_HAVE_RUN
        attempt.reply = body if answered else None

    @rule(ms=st.sampled_from([1, 100, DEADLINE_MS, RETENTION_MS]))
    def pass_time(self, ms):
        self.now_ms += ms

    @rule()
    def change_leader(self):
        snapshot = self.state.snapshot()
        self.state = CompositeState([self._claims()])
        self.state.restore(snapshot)

    @invariant()
    def runs_at_most_once_within_the_retention(self):
        for attempts in self.sent.values():
            times = [attempt.sent_ms for attempt in attempts]
            for first, second in zip(times, times[1:], strict=False):
                assert second - first > RETENTION_MS - 2 * DEADLINE_MS

    @invariant()
    def not_run_is_true(self):
        for attempt in self.attempts:
            if attempt.verdict is Verdict.NOT_RUN:
                assert attempt.sent_ms is None
                assert not attempt.call.may_send(self.now_ms)

    @invariant()
    def replies_come_from_the_run(self):
        for attempt in self.attempts:
            if attempt.reply is not None:
                tokens = [sender.token.encode() for sender in self.sent[attempt.key]]
                assert attempt.reply in tokens

    @invariant()
    def claims_are_bounded(self):
        assert len(self.state.parts["claims"]) <= 1


ClaimsMachine.TestCase.settings = settings(max_examples=300, stateful_step_count=40)
TestClaimsMachine = ClaimsMachine.TestCase

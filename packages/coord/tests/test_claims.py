import msgspec
import pytest
from nutmegdrum_coord.claims import (
    BeginClaim,
    ClaimFinished,
    ClaimGranted,
    ClaimKey,
    ClaimOutcome,
    ClaimReleased,
    ClaimRunning,
    Claims,
    ClaimsFull,
    ClaimUnknown,
    FinishClaim,
    ReleaseClaim,
)
from nutmegdrum_coord.clock import LogMs
from nutmegdrum_coord.ids import IdempotencyKey, IncarnationId, LogPosition, RouteName, VmId
from nutmegdrum_coord.ids import WorkspaceId as Workspace
from nutmegdrum_coord.parts import Context, Envelope

RETENTION_MS = 1_000


class Log:
    def __init__(self):
        self.claims = Claims(RETENTION_MS, max_per_workspace=2)
        self.at = 0

    def apply(self, command):
        ctx = Context(LogPosition(1), LogMs(self.at), Envelope(command=b""))
        return self.claims.apply(ctx, command)

    def begin(self, token, key="k"):
        vm = VmId("e1")
        incarnation = IncarnationId("i1")
        return self.apply(
            BeginClaim(key=_key(key), digest=b"d", owner=vm, incarnation=incarnation, token=token)
        )

    def release(self, token, key="k"):
        return self.apply(ReleaseClaim(key=_key(key), token=token))

    def finish(self, token, body=b"done", key="k"):
        outcome = ClaimOutcome(status=201, body=body)
        return self.apply(FinishClaim(key=_key(key), token=token, outcome=outcome))


def _key(key):
    return ClaimKey(Workspace("w"), RouteName("/d"), IdempotencyKey(key))


@pytest.fixture
def log():
    return Log()


class TestClaims:
    def test_claim_is_granted_to_one_token_only(self, log):
        assert isinstance(log.begin("t1"), ClaimGranted)
        assert isinstance(log.begin("t1"), ClaimGranted)
        assert isinstance(log.begin("t2"), ClaimRunning)

    def test_release_by_another_token_is_ignored(self, log):
        log.begin("t1")
        log.release("t2")
        assert isinstance(log.begin("t3"), ClaimRunning)

    def test_finish_by_another_token_is_rejected(self, log):
        log.begin("t1")
        assert isinstance(log.finish("t2"), ClaimUnknown)
        assert isinstance(log.begin("t3"), ClaimRunning)

    def test_token_released_before_its_begin_is_never_granted(self, log):
        log.release("t1")
        assert isinstance(log.begin("t1"), ClaimReleased)
        assert isinstance(log.begin("t2"), ClaimGranted)

    def test_release_after_the_outcome_changes_nothing(self, log):
        log.begin("t1")
        log.finish("t1")
        assert isinstance(log.release("t1"), ClaimFinished)
        assert isinstance(log.begin("t2"), ClaimFinished)

    def test_first_outcome_is_kept(self, log):
        log.begin("t1")
        log.finish("t1", b"first")
        assert log.finish("t1", b"second").outcome.body == b"first"

    def test_large_outcome_is_kept_without_its_body(self, log):
        log.begin("t1")
        log.finish("t1", b"x" * 20_000)
        outcome = log.begin("t2").outcome
        assert (outcome.status, outcome.kept, outcome.body) == (201, False, b"")

    def test_full_workspace_reports_when_its_oldest_claim_expires(self, log):
        log.begin("t1", key="a")
        log.at = 400
        log.begin("t2", key="b")
        assert log.begin("t3", key="c") == ClaimsFull(free_ms=600)
        log.at = RETENTION_MS
        assert isinstance(log.begin("t3", key="c"), ClaimGranted)

    def test_snapshot_keeps_claims_and_their_order(self, log):
        log.begin("t1", key="a")
        log.at = 400
        log.begin("t2", key="b")
        log.finish("t2", key="b")
        restored = Log()
        restored.claims.restore(msgspec.msgpack.encode(log.claims.snapshot()))
        restored.at = RETENTION_MS
        assert isinstance(restored.begin("t3", key="a"), ClaimGranted)
        assert isinstance(restored.begin("t4", key="b"), ClaimFinished)

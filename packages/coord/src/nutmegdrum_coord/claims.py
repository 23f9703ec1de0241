"""Replicated claims: at most one owner runs each non-idempotent request."""

from collections import OrderedDict, defaultdict
from enum import Enum
from typing import Any, NamedTuple

import msgspec

from nutmegdrum_coord.clock import LogMs
from nutmegdrum_coord.ids import IdempotencyKey, IncarnationId, RouteName, VmId, WorkspaceId
from nutmegdrum_coord.parts import Answer, Command, Context, Envelope

DEFAULT_RETENTION_MS = 21_600_000
DEFAULT_MAX_PER_WORKSPACE = 20_000
MAX_OUTCOME_BYTES = 16_384
"""Size of headers and body above which only the status of an outcome is kept."""
MAX_RELEASED_TOKENS = 8
"""Number of released tokens remembered for each claim; the newest are kept."""
EXPIRED_PER_COMMAND = 64
"""Maximum number of expired claims that one command removes, which bounds its cost."""


class ClaimKey(NamedTuple):
    """Identity of a non-idempotent request, the same for every resend."""

    workspace: WorkspaceId
    route: RouteName
    key: IdempotencyKey


class ClaimOutcome(msgspec.Struct, frozen=True, kw_only=True):
    """Response to a claimed request.

    Attributes
    ----------
    kept : bool
        Whether headers and body are stored; False if they were too large.
    """

    status: int
    headers: dict[str, str] = {}
    body: bytes = b""
    kept: bool = True


class ClaimState(Enum):
    """Stage of a claim."""

    RUNNING = "running"
    FINISHED = "finished"
    LOST = "lost"
    RELEASED = "released"


class BeginClaim(Command):
    """Request the claim on a request.

    Attributes
    ----------
    digest : bytes
        Digest of method, path and body.
    token : str
        Unique name of this attempt to become the owner; a resent command carries the same one.
    """

    key: ClaimKey
    digest: bytes
    owner: VmId
    incarnation: IncarnationId
    token: str


class FinishClaim(Command):
    """Record the outcome of a request that the token's owner sent to a backend server.

    Attributes
    ----------
    outcome : ClaimOutcome or None
        Response; None if the backend server was lost before it answered, so that the outcome will
        never be known.
    resendable : bool
        Whether the caller knows the key and could resend it; if not, the claim is dropped at once.
    """

    key: ClaimKey
    token: str
    outcome: ClaimOutcome | None
    resendable: bool = True


class ReleaseClaim(Command):
    """Release a claim whose owner has sent no byte of the request and will send none.

    A token that is released before its `BeginClaim` is applied is never granted the claim.
    """

    key: ClaimKey
    token: str
    resendable: bool = True


class ClaimGranted(Answer):
    """The token owns the claim."""


class ClaimRunning(Answer):
    """Another token owns the claim, and no outcome is known."""

    owner: VmId
    incarnation: IncarnationId
    token: str


class ClaimFinished(Answer):
    """The request has run."""

    outcome: ClaimOutcome


class ClaimLost(Answer):
    """The request may have run, and its outcome can no longer be found out."""


class ClaimReleased(Answer):
    """The token has been released; it does not own the claim and cannot obtain it again."""


class ClaimConflict(Answer):
    """The key was already used for a request with another digest."""


class ClaimsFull(Answer):
    """The workspace has reached its limit of claims.

    Attributes
    ----------
    free_ms : int
        Time until the workspace's oldest claim expires, in ms.
    """

    free_ms: int


class ClaimUnknown(Answer):
    """No claim of that token is known, for example because it has expired."""


ClaimAnswer = (
    ClaimGranted
    | ClaimRunning
    | ClaimFinished
    | ClaimLost
    | ClaimReleased
    | ClaimConflict
    | ClaimsFull
    | ClaimUnknown
)


class _Claim(msgspec.Struct, kw_only=True):
    key: ClaimKey
    at: LogMs
    state: ClaimState
    digest: bytes = b""
    token: str = ""
    owner: VmId = VmId("")
    incarnation: IncarnationId = IncarnationId("")
    outcome: ClaimOutcome | None = None
    released: list[str] = []


class Claims:
    """Part of the replicated state that holds the claims.

    A claim passes from one token to another only if its owner releases it, so that no clock error,
    pause or partition can let two owners run a request. Claims expire by the log's time, oldest
    first.

    Parameters
    ----------
    retention_ms : int
        Time from the grant of a claim to its expiry, in ms.
    max_per_workspace : int
        Maximum number of claims of one workspace.
    """

    name = "claims"
    commands = (BeginClaim, FinishClaim, ReleaseClaim)

    def __init__(
        self,
        retention_ms: int = DEFAULT_RETENTION_MS,
        max_per_workspace: int = DEFAULT_MAX_PER_WORKSPACE,
    ):
        self._retention_ms = retention_ms
        self._max_per_workspace = max_per_workspace
        self._claims: OrderedDict[ClaimKey, _Claim] = OrderedDict()
        self._keys_by_workspace: defaultdict[WorkspaceId, OrderedDict[ClaimKey, None]] = (
            defaultdict(OrderedDict)
        )

    def __len__(self) -> int:
        return len(self._claims)

    def apply(self, ctx: Context, command: Any) -> ClaimAnswer:
        """Apply one command and return its answer."""
        self._expire(ctx.at)
        if isinstance(command, BeginClaim):
            return self._begin(ctx.at, command)
        if isinstance(command, FinishClaim):
            return self._finish(command)
        return self._release(ctx.at, command)

    def look_up(self, key: ClaimKey, digest: bytes) -> ClaimAnswer:
        """Return what this replica knows about a request, without claiming it.

        A follower may lag behind, so `ClaimUnknown` does not prove that there is no claim.
        """
        claim = self._claims.get(key)
        if claim is None or claim.state is ClaimState.RELEASED:
            return ClaimUnknown()
        if claim.digest != digest:
            return ClaimConflict()
        if claim.state is not ClaimState.RUNNING:
            return _ended(claim)
        return _running(claim)

    def snapshot(self) -> list[_Claim]:
        """Return all claims, oldest first."""
        return list(self._claims.values())

    def restore(self, state: bytes) -> None:
        """Replace all claims with those of an encoded snapshot."""
        self._claims.clear()
        self._keys_by_workspace.clear()
        for claim in msgspec.msgpack.decode(state, type=list[_Claim]):
            self._hold(claim)

    def _begin(self, at: LogMs, command: BeginClaim) -> ClaimAnswer:
        claim = self._claims.get(command.key)
        if claim is None:
            return self._grant(at, command, released=[])
        if command.token in claim.released:
            return ClaimReleased()
        if claim.state is ClaimState.RELEASED:
            return self._grant(at, command, claim.released)
        if claim.digest != command.digest:
            return ClaimConflict()
        if claim.state is not ClaimState.RUNNING:
            return _ended(claim)
        if claim.token == command.token:
            return ClaimGranted()
        return _running(claim)

    def _grant(self, at: LogMs, command: BeginClaim, released: list[str]) -> ClaimAnswer:
        full = self._check_full(at, command.key)
        if full is not None:
            return full
        self._forget(command.key)
        self._hold(
            _Claim(
                key=command.key,
                at=at,
                state=ClaimState.RUNNING,
                digest=command.digest,
                token=command.token,
                owner=command.owner,
                incarnation=command.incarnation,
                released=released,
            )
        )
        return ClaimGranted()

    def _finish(self, command: FinishClaim) -> ClaimAnswer:
        claim = self._claims.get(command.key)
        if claim is None or claim.token != command.token:
            return ClaimUnknown()
        if claim.state is ClaimState.RUNNING:
            claim.outcome = _bounded(command.outcome)
            claim.state = ClaimState.LOST if command.outcome is None else ClaimState.FINISHED
        if not command.resendable:
            self._forget(command.key)
        return _ended(claim)

    def _release(self, at: LogMs, command: ReleaseClaim) -> ClaimAnswer:
        claim = self._claims.get(command.key)
        if claim is None:
            return self._block_token(at, command)
        if claim.token == command.token and claim.state in (ClaimState.FINISHED, ClaimState.LOST):
            return _ended(claim)
        if command.token not in claim.released:
            claim.released = [*claim.released, command.token][-MAX_RELEASED_TOKENS:]
        if claim.token == command.token:
            claim.state = ClaimState.RELEASED
        if not command.resendable:
            self._forget(command.key)
        return ClaimReleased()

    def _block_token(self, at: LogMs, command: ReleaseClaim) -> ClaimAnswer:
        """Record a released token whose `BeginClaim` may arrive later, so that it is refused."""
        if command.resendable and self._check_full(at, command.key) is None:
            released = [command.token]
            state = ClaimState.RELEASED
            self._hold(_Claim(key=command.key, at=at, state=state, released=released))
        return ClaimReleased()

    def _check_full(self, at: LogMs, key: ClaimKey) -> ClaimsFull | None:
        held = self._keys_by_workspace.get(key.workspace)
        if held is None or key in held or len(held) < self._max_per_workspace:
            return None
        oldest = self._claims[next(iter(held))]
        return ClaimsFull(free_ms=max(1, oldest.at + self._retention_ms - at))

    def _expire(self, at: LogMs) -> None:
        for _ in range(EXPIRED_PER_COMMAND):
            oldest = next(iter(self._claims.values()), None)
            if oldest is None or at - oldest.at < self._retention_ms:
                return
            self._forget(oldest.key)

    def _hold(self, claim: _Claim) -> None:
        self._claims[claim.key] = claim
        self._keys_by_workspace[claim.key.workspace][claim.key] = None

    def _forget(self, key: ClaimKey) -> None:
        if self._claims.pop(key, None) is None:
            return
        held = self._keys_by_workspace[key.workspace]
        del held[key]
        if not held:
            del self._keys_by_workspace[key.workspace]


_envelopes = msgspec.msgpack.Decoder(Envelope)
_begins = msgspec.msgpack.Decoder(BeginClaim)


def decode_begin_claim(entry: bytes) -> BeginClaim | None:
    """Return the `BeginClaim` in a log entry, or None if the entry holds another command."""
    try:
        return _begins.decode(_envelopes.decode(entry).command)
    except msgspec.ValidationError:
        return None


def _running(claim: _Claim) -> ClaimRunning:
    return ClaimRunning(owner=claim.owner, incarnation=claim.incarnation, token=claim.token)


def _ended(claim: _Claim) -> ClaimFinished | ClaimLost | ClaimReleased:
    if claim.state is ClaimState.RELEASED:
        return ClaimReleased()
    if claim.outcome is None:
        return ClaimLost()
    return ClaimFinished(outcome=claim.outcome)


def _bounded(outcome: ClaimOutcome | None) -> ClaimOutcome | None:
    if outcome is None:
        return None
    size = len(outcome.body) + sum(len(k) + len(v) for k, v in outcome.headers.items())
    if size <= MAX_OUTCOME_BYTES:
        return outcome
    return ClaimOutcome(status=outcome.status, kept=False)

"""Fingerprints that identify a request by its content, across resends and entry VMs."""

from hashlib import blake2b

from nutmegdrum_coord.ids import Fingerprint, ModelName, RouteName, WorkspaceId
from nutmegdrum_coord.quarantine import part_fingerprint

_FINGERPRINT_BYTES = 16
_LENGTH_BYTES = 8

MAX_PROMPT_PARTS = 32
"""Leading parts of a prompt that are told apart; shared texts come first in prompts."""


def fingerprint(workspace: WorkspaceId, route: RouteName, body: bytes) -> Fingerprint:
    """Return the fingerprint of a request."""
    digest = blake2b(digest_size=_FINGERPRINT_BYTES)
    for part in (workspace.encode(), route.encode(), body):
        digest.update(len(part).to_bytes(_LENGTH_BYTES, "big"))
        digest.update(part)
    return Fingerprint(digest.hexdigest())


def generation_fingerprint(workspace: WorkspaceId, model: ModelName, prompt: str) -> Fingerprint:
    """Return the fingerprint of a generation, with its model in place of the route."""
    return fingerprint(workspace, RouteName(model), prompt.encode())


def prompt_parts(model: ModelName, prompt: str) -> tuple[Fingerprint, ...]:
    """Return the fingerprints of the parts of a prompt that other prompts may share.

    A part is a line, and so each message of a chat begins one; the last line is the request's own.
    """
    lines = [line for line in prompt.split("\n", MAX_PROMPT_PARTS + 1)[:-1] if line.strip()]
    return tuple(_line_fingerprint(model, line) for line in lines[:MAX_PROMPT_PARTS])


def _line_fingerprint(model: ModelName, line: str) -> Fingerprint:
    digest = blake2b(line.encode(errors="replace"), digest_size=_FINGERPRINT_BYTES)
    return part_fingerprint(model, digest.hexdigest())

"""Fingerprints that identify a request by its content, across resends and entry VMs."""

from hashlib import blake2b

from nutmegdrum_coord.ids import Fingerprint, ModelName, RouteName, WorkspaceId

_FINGERPRINT_BYTES = 16
_LENGTH_BYTES = 8


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

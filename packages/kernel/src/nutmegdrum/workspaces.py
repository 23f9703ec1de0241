"""Authentication of callers."""

import hashlib
from collections.abc import Iterable

from nutmegdrum_coord import verdict as v

from nutmegdrum.settings import WorkspaceSettings

_SCHEME = "Bearer "


def key_digest(key: str) -> str:
    """Return the hex SHA-256 of a workspace's key, in the format of the settings."""
    return hashlib.sha256(key.encode()).hexdigest()


class Workspaces:
    """Authenticates callers by their workspace's key."""

    def __init__(self, workspaces: Iterable[WorkspaceSettings]):
        self._by_digest = {workspace.key_sha256: workspace for workspace in workspaces}

    def authenticate(self, authorization: str) -> WorkspaceSettings:
        """Return the workspace of an `Authorization` header.

        Raises
        ------
        Refusal
            `UNAUTHENTICATED`, not run, if the key is missing or unknown.
        """
        if authorization.startswith(_SCHEME):
            found = self._by_digest.get(key_digest(authorization[len(_SCHEME) :].strip()))
            if found is not None:
                return found
        raise v.Refusal(v.UNAUTHENTICATED, detail="send Authorization: Bearer KEY")

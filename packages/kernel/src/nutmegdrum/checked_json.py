"""Decoding of hand-written JSON files into typed documents; errors name the file and key."""

from collections.abc import Callable
from pathlib import Path
from typing import Any, TypeVar

import msgspec

from nutmegdrum.errors import UserError
from nutmegdrum.units import decode_hook

_Document = TypeVar("_Document")


def decode_json(
    data: bytes, kind: type[_Document], hook: Callable[[type, Any], Any] = decode_hook
) -> _Document:
    """Decode a document of type `kind`.

    Parameters
    ----------
    hook : callable
        Decodes types that JSON lacks; by default those of `units`.

    Raises
    ------
    UserError
        If a value is wrong; the message names the key's path.
    """
    try:
        return msgspec.json.decode(data, type=kind, dec_hook=hook)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as exc:
        raise UserError(str(exc)) from None


def read_file(path: Path, parse: Callable[[bytes], _Document]) -> _Document:
    """Read the file at `path` and return the result of `parse`.

    Raises
    ------
    UserError
        If the file cannot be read or `parse` raises it; the message names the file.
    """
    try:
        return parse(path.read_bytes())
    except OSError as exc:
        raise UserError(f"{path}: {exc.strerror}") from None
    except UserError as exc:
        raise UserError(f"{path}: {exc}") from None

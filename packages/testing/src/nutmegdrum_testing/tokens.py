"""Token texts from which a checker proves that a stream is whole and unmixed.

A token's text names its index and its attempt's nonce, and carries a digest of the text before
it. A missing, repeated or foreign token breaks the chain at its place.
"""

import hashlib
import re
from collections.abc import Sequence

_DIGEST_BYTES = 3
_NONCE_BYTES = 3
_TOKEN = re.compile(r"^ (\d+)\.([0-9a-f]+)\.([0-9a-f]+)$")


class ChainError(AssertionError):
    """Tokens that are not one whole answer."""


def _digest(text: str) -> str:
    return hashlib.blake2b(text.encode(), digest_size=_DIGEST_BYTES).hexdigest()


def seeded_nonce(prompt: str, seed: int) -> str:
    """Return the nonce of an attempt at temperature 0, which is alike on every engine."""
    text = f"{seed}/{prompt}".encode()
    return hashlib.blake2b(text, digest_size=_NONCE_BYTES).hexdigest()


def next_token(previous: str, nonce: str, index: int) -> str:
    """Return the text of token `index` after the text `previous` (the prompt before index 0)."""
    return f" {index}.{nonce}.{_digest(previous)}"


def expected_tokens(prompt: str, seed: int, count: int) -> list[str]:
    """Return the first `count` tokens of the answer at temperature 0."""
    nonce = seeded_nonce(prompt, seed)
    tokens: list[str] = []
    previous = prompt
    for index in range(count):
        previous = next_token(previous, nonce, index)
        tokens.append(previous)
    return tokens


def check_chain(prompt: str, tokens: Sequence[str], count: int | None = None) -> int:
    """Check that `tokens` are one answer to `prompt`, and return the number of its attempts.

    Raises
    ------
    ChainError
        At the first token that is missing, repeated, mixed in from elsewhere or malformed, or
        if there are not `count` tokens.
    """
    previous = prompt
    nonces = []
    for index, text in enumerate(tokens):
        match = _TOKEN.match(text)
        if match is None:
            raise ChainError(f"token {index} is malformed: {text!r}")
        if int(match[1]) != index:
            raise ChainError(f"token {index} expected, token {match[1]} found: {text!r}")
        if match[3] != _digest(previous):
            raise ChainError(f"token {index} does not follow the one before it: {text!r}")
        if not nonces or nonces[-1] != match[2]:
            nonces.append(match[2])
        previous = text
    if count is not None and len(tokens) != count:
        raise ChainError(f"{count} tokens expected, {len(tokens)} found")
    return len(nonces)


def split_tokens(text: str) -> list[str]:
    """Return the tokens whose texts were joined to `text`."""
    return re.findall(r" \d+\.[0-9a-f]+\.[0-9a-f]+", text)

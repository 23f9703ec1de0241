"""Token texts by which a checker verifies that a stream is complete and from one generation.

A token's text contains its index, its attempt's nonce and a digest of the previous token's text.
A token that is missing, repeated or from another stream breaks the chain at its position.
"""

import hashlib
import re
from collections.abc import Sequence

_DIGEST_BYTES = 3
_NONCE_BYTES = 3
_TOKEN = re.compile(r"^ (\d+)\.([0-9a-f]+)\.([0-9a-f]+)$")


class ChainError(AssertionError):
    """Tokens that do not form one complete answer."""


def _digest(text: str) -> str:
    return hashlib.blake2b(text.encode(), digest_size=_DIGEST_BYTES).hexdigest()


def seeded_nonce(prompt: str, seed: int) -> str:
    """Return the nonce of an attempt at temperature 0, which is the same on every engine."""
    text = f"{seed}/{prompt}".encode()
    return hashlib.blake2b(text, digest_size=_NONCE_BYTES).hexdigest()


def next_token(previous: str, nonce: str, index: int) -> str:
    """Return the text of token `index`; `previous` is the token before, or the prompt for 0."""
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
    """Check that `tokens` form one answer to `prompt`, and return its number of attempts.

    Raises
    ------
    ChainError
        At the first token that is missing, repeated, malformed or from another stream, or if
        there are not `count` tokens.
    """
    previous = prompt
    nonces = []
    for index, text in enumerate(tokens):
        match = _TOKEN.match(text)
        if match is None:
            raise ChainError(f"token {index} is malformed: {text!r}")
        if int(match[1]) != index:
            raise ChainError(f"expected token {index}, found token {match[1]}: {text!r}")
        if match[3] != _digest(previous):
            raise ChainError(f"token {index} does not follow the one before it: {text!r}")
        if not nonces or nonces[-1] != match[2]:
            nonces.append(match[2])
        previous = text
    if count is not None and len(tokens) != count:
        raise ChainError(f"{count} tokens expected, {len(tokens)} found")
    return len(nonces)


def split_tokens(text: str) -> list[str]:
    """Split joined token texts into tokens."""
    return re.findall(r" \d+\.[0-9a-f]+\.[0-9a-f]+", text)

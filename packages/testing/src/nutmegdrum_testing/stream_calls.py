"""Client for streamed generations in an event loop, which checks every token."""

import asyncio
import re
import time
from typing import Any

import msgspec

from nutmegdrum_testing.tokens import ChainError, check_chain

_TEXT = re.compile(rb'"text": ?"([^"]+)"')
_MS_PER_S = 1000
_LINE_LIMIT = 1 << 22


class StreamPlan(msgspec.Struct, kw_only=True):
    """Parameters of one generation; without a key it is sent directly to an engine."""

    address: str
    prompt: str
    max_tokens: int
    key: str = ""
    model: str = "m"
    version: str = "1"
    priority: str = "normal"

    def request(self) -> bytes:
        """Return the encoded HTTP request."""
        call: dict[str, Any] = {"model": self.model, "prompt": self.prompt, "seed": 1}
        call |= {"max_tokens": self.max_tokens, "priority": self.priority}
        headers = ["Host: load", "Content-Type: application/json"]
        if self.key:
            path = "/v1/completions"
            call["stream"] = True
            headers.append(f"Authorization: Bearer {self.key}")
        else:
            path = "/v1/generate"
            name = self.prompt.replace(" ", "-")
            call |= {"generation": name, "attempt": 1, "version": self.version, "temperature": 1}
        body = msgspec.json.encode(call)
        lines = [f"POST {path} HTTP/1.1", *headers, f"Content-Length: {len(body)}"]
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class StreamOutcome(msgspec.Struct, kw_only=True):
    """Outcome of one generation.

    Attributes
    ----------
    status : int
        HTTP status; 0 if there was no response.
    answered_ms : float
        Time in ms from the request to the status line.
    problem : str
        Reason why the answer is not complete; empty if it is.
    """

    status: int = 0
    answered_ms: float = 0.0
    first_token_ms: float | None = None
    gaps_ms: list[float] = []
    tokens: list[str] = []
    problem: str = ""


async def run_stream(plan: StreamPlan) -> StreamOutcome:
    """Request one generation, read it to its end and check it."""
    outcome = StreamOutcome()
    host, _, port = plan.address.rpartition(":")
    sent_s = time.monotonic()
    finished = False
    try:
        reader, writer = await asyncio.open_connection(host, int(port), limit=_LINE_LIMIT)
        try:
            writer.write(plan.request())
            outcome.status = int((await reader.readline()).split()[1])
            outcome.answered_ms = (time.monotonic() - sent_s) * _MS_PER_S
            if outcome.status == 200:
                finished = await _read(reader, outcome, sent_s)
        finally:
            writer.close()
    except (OSError, IndexError, ValueError) as exc:
        outcome.problem = type(exc).__name__
    outcome.problem = _problem(plan, outcome, finished)
    return outcome


async def _read(reader: asyncio.StreamReader, outcome: StreamOutcome, sent_s: float) -> bool:
    last_s = sent_s
    while line := await reader.readline():
        match = _TEXT.search(line)
        if match is not None:
            now_s = time.monotonic()
            if outcome.first_token_ms is None:
                outcome.first_token_ms = (now_s - sent_s) * _MS_PER_S
            else:
                outcome.gaps_ms.append((now_s - last_s) * _MS_PER_S)
            last_s = now_s
            outcome.tokens.append(match[1].decode())
        elif b"[DONE]" in line or b'"finish"' in line:
            return True
        elif line.startswith(b"event: error"):
            return False
    return False


def _problem(plan: StreamPlan, outcome: StreamOutcome, finished: bool) -> str:
    if outcome.status != 200:
        return outcome.problem or f"status {outcome.status}"
    try:
        check_chain(plan.prompt, outcome.tokens, plan.max_tokens)
    except ChainError as exc:
        return str(exc)
    return "" if finished else "stream ended without a finish"

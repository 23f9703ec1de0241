"""Request and response bodies in the format of completion APIs."""

import random
from typing import Any

import msgspec
from nutmegdrum_coord import verdict as v
from nutmegdrum_coord.ids import AdapterName, GenerationId, IdempotencyKey, ModelName, WorkspaceId

from nutmegdrum.messages import Finish, GenerationRequest, Priority

MAX_TOKENS = 32_768
_DEFAULT_MAX_TOKENS = 256
_SEED_BITS = 53


class ChatMessage(msgspec.Struct, frozen=True):
    """Message of a chat."""

    role: str
    content: str


class CompletionBody(msgspec.Struct, frozen=True, kw_only=True):
    """Body of `POST /v1/completions` and `/v1/chat/completions`; other keys are ignored.

    Attributes
    ----------
    deadline_ms : int or None
        Time within which the caller needs the complete answer, in ms.
    """

    model: ModelName
    prompt: str = ""
    messages: list[ChatMessage] = []
    max_tokens: int = _DEFAULT_MAX_TOKENS
    stream: bool = False
    seed: int | None = None
    temperature: float = 1.0
    adapter: AdapterName = AdapterName("")
    priority: Priority = Priority.NORMAL
    deadline_ms: int | None = None


class Usage(msgspec.Struct, frozen=True):
    """Token counts of a response."""

    completion_tokens: int


class Completion(msgspec.Struct, frozen=True, kw_only=True):
    """Response to a request without streaming."""

    id: GenerationId
    object: str
    model: ModelName
    choices: list[dict[str, Any]]
    usage: Usage


def parse_body(body: bytes, chat: bool) -> CompletionBody:
    """Decode and validate a request's body.

    Raises
    ------
    Refusal
        `BAD_REQUEST`, not run; the detail names the path of the invalid key.
    """
    try:
        parsed = msgspec.json.decode(body, type=CompletionBody)
    except msgspec.MsgspecError as exc:
        raise v.Refusal(v.BAD_REQUEST, detail=str(exc)) from None
    if not 1 <= parsed.max_tokens <= MAX_TOKENS:
        detail = f"Expected `int` from 1 to {MAX_TOKENS} - at `$.max_tokens`"
        raise v.Refusal(v.BAD_REQUEST, detail=detail)
    if chat and not parsed.messages:
        raise v.Refusal(v.BAD_REQUEST, detail="Expected a message - at `$.messages`")
    if not chat and not parsed.prompt:
        raise v.Refusal(v.BAD_REQUEST, detail="Expected a prompt - at `$.prompt`")
    return parsed


def generation_request(
    body: CompletionBody,
    workspace: WorkspaceId,
    key: IdempotencyKey,
    chat: bool,
    rng: random.Random,
) -> GenerationRequest:
    """Return the generation request for a body; a missing seed is drawn from `rng`."""
    prompt = "\n".join(f"{m.role}: {m.content}" for m in body.messages) if chat else body.prompt
    return GenerationRequest(
        workspace=workspace,
        model=body.model,
        prompt=prompt,
        max_tokens=body.max_tokens,
        seed=rng.getrandbits(_SEED_BITS) if body.seed is None else body.seed,
        temperature=body.temperature,
        adapter=body.adapter,
        priority=body.priority,
        deadline_ms=body.deadline_ms,
        key=key,
        chat=chat,
    )


def build_completion(
    generation: GenerationId, req: GenerationRequest, texts: list[str], finish: Finish
) -> Completion:
    """Return the response to a request without streaming."""
    text = "".join(texts)
    choice: dict[str, Any] = {"index": 0, "finish_reason": finish.reason.value}
    if req.chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    return Completion(
        id=generation,
        object="chat.completion" if req.chat else "text_completion",
        model=req.model,
        choices=[choice],
        usage=Usage(completion_tokens=finish.count),
    )

"""Parsing and checking of online requests."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import msgspec

from ..config.resolve import ResolvedModel, resolve_model
from ..errors import GradepointError
from ..util.hashing import sha256_hex
from ..wire.http_types import (
    HEADER_DEADLINE,
    HEADER_IDEMPOTENCY_KEY,
    HEADER_NOT_REPEATABLE,
    decode_json,
)

if TYPE_CHECKING:
    from ..config.document import Document
    from ..wire.http_types import Request

CHAT_PATH = "/v1/chat/completions"
COMPLETION_PATH = "/v1/completions"
PREFIX_CHARACTERS = 256
"""Characters of a prompt that stand for its prefix in the choice of a target."""
LONGEST_KEY = 255
LONGEST_DEADLINE_S = 3600.0
MOST_TOKENS = 1 << 20


@dataclass(frozen=True)
class CallTerms:
    """What a caller asks for beside the work itself.

    :param deadline_s: seconds from arrival.
    :param key: idempotency key, or empty.
    """

    deadline_s: float
    repeatable: bool
    key: str


@dataclass(frozen=True)
class CompletionRequest:
    """A checked completion or chat call.

    :param body: the caller's JSON body.
    :param prefix: key of the prompt's beginning.
    """

    path: str
    model: ResolvedModel
    stream: bool
    body: dict[str, Any]
    prefix: str

    @property
    def chat(self) -> bool:
        """Whether this is a chat completion."""
        return self.path == CHAT_PATH

    def target_body(self, priority: int, continue_text: str = "") -> bytes:
        """Return the body for a target."""
        body = dict(self.body)
        body["model"] = self.model.engine_name
        body["priority"] = priority
        if continue_text:
            body["continue_text"] = continue_text
        return msgspec.json.encode(body)


def read_terms(request: Request, default_deadline_s: float) -> CallTerms:
    """Read deadline, repeatability and idempotency key from the headers.

    :raises GradepointError: ``bad_deadline``, ``bad_request`` or ``bad_idempotency_key``.
    """
    headers = request.headers
    mark = headers.get(HEADER_NOT_REPEATABLE, "false").strip().lower()
    if mark not in ("true", "false", "1", "0"):
        raise GradepointError("bad_request", f"{HEADER_NOT_REPEATABLE} must be true or false.")
    return CallTerms(
        _deadline(headers.get(HEADER_DEADLINE), default_deadline_s),
        mark in ("false", "0"),
        check_key(headers.get(HEADER_IDEMPOTENCY_KEY)),
    )


def check_key(value: str | None) -> str:
    """Return a checked idempotency key; empty when none was sent."""
    if value is None:
        return ""
    if not 1 <= len(value) <= LONGEST_KEY or not value.isprintable():
        raise GradepointError("bad_idempotency_key")
    return value


def _deadline(value: str | None, default_s: float) -> float:
    if value is None:
        return default_s
    if not value.isascii() or not value.isdigit() or int(value[:12]) == 0:
        raise GradepointError("bad_deadline", param=HEADER_DEADLINE)
    return min(LONGEST_DEADLINE_S, int(value[:12]) / 1000)


def parse_completion(path: str, raw: bytes, document: Document) -> CompletionRequest:
    """Check the body of a completion or chat call.

    :raises GradepointError: ``bad_json``, ``bad_request`` or ``unknown_model``.
    """
    return check_completion(path, decode_json(raw), document)


def check_completion(path: str, body: Any, document: Document) -> CompletionRequest:
    """Check a decoded body; shared with the lines of batch files."""
    if not isinstance(body, dict):
        raise GradepointError("bad_request", "The body must be a JSON object.")
    model = body.get("model")
    if not isinstance(model, str):
        raise GradepointError("bad_request", "'model' must be a string.", param="model")
    stream = body.get("stream", False)
    if not isinstance(stream, bool):
        raise GradepointError("bad_request", "'stream' must be true or false.", param="stream")
    _check_max_tokens(body)
    prompt = _chat_text(body) if path == CHAT_PATH else _prompt_text(body)
    resolved = resolve_model(document, model)
    prefix = sha256_hex(f"{resolved.engine_name}\x00{prompt[:PREFIX_CHARACTERS]}".encode())[:16]
    return CompletionRequest(path, resolved, stream, body, prefix)


def _check_max_tokens(body: dict[str, Any]) -> None:
    for name in ("max_tokens", "max_completion_tokens"):
        value = body.get(name)
        if value is None:
            continue
        if isinstance(value, bool) or not isinstance(value, int) or not 1 <= value <= MOST_TOKENS:
            raise GradepointError("bad_request", f"{name!r} must be a positive number.", param=name)


def _prompt_text(body: dict[str, Any]) -> str:
    prompt = body.get("prompt")
    if isinstance(prompt, list) and len(prompt) == 1:
        prompt = prompt[0]
    if not isinstance(prompt, str):
        raise GradepointError("bad_request", "'prompt' must be one string.", param="prompt")
    if body.get("n", 1) != 1:
        raise GradepointError("bad_request", "'n' must be 1.", param="n")
    return prompt


def _chat_text(body: dict[str, Any]) -> str:
    messages = body.get("messages")
    if not isinstance(messages, list) or not messages:
        raise GradepointError(
            "bad_request", "'messages' must be a non-empty list.", param="messages"
        )
    texts: list[str] = []
    for index, message in enumerate(messages):
        if not isinstance(message, dict) or not isinstance(message.get("role"), str):
            raise GradepointError(
                "bad_request", "Each message needs a 'role'.", param=f"messages[{index}]"
            )
        content = message.get("content")
        texts.append(content if isinstance(content, str) else repr(content))
    return "\n".join(texts)

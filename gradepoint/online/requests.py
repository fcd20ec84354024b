"""Parsing and validation of online requests."""

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
MAX_PREFIX_CHARACTERS = 256
"""Length of the prompt prefix, in characters, that is hashed to select a target by prefix."""
MAX_KEY_LENGTH = 255
MAX_DEADLINE_S = 3600.0
MAX_REQUESTED_TOKENS = 1 << 20


@dataclass(frozen=True)
class CallOptions:
    """Options of a call that the caller sets in headers.

    :param deadline_s: seconds from the arrival of the request.
    :param repeatable: whether the call may run more than once.
    :param key: idempotency key, or an empty string.
    """

    deadline_s: float
    repeatable: bool
    key: str


@dataclass(frozen=True)
class CompletionRequest:
    """A validated completion or chat request.

    :param body: JSON body of the request.
    :param prefix: hash of the model and of the beginning of the prompt.
    """

    path: str
    model: ResolvedModel
    stream: bool
    body: dict[str, Any]
    prefix: str

    @property
    def chat(self) -> bool:
        """Whether this is a chat request and not a plain completion."""
        return self.path == CHAT_PATH

    def target_body(self, priority: int, continue_text: str = "") -> bytes:
        """Return the JSON body for a target.

        :param continue_text: text of an earlier attempt that the target continues.
        """
        body = dict(self.body)
        body["model"] = self.model.engine_name
        body["priority"] = priority
        if continue_text:
            body["continue_text"] = continue_text
        return msgspec.json.encode(body)


def parse_call_options(request: Request, default_deadline_s: float) -> CallOptions:
    """Read deadline, repeatability and idempotency key from the headers.

    :raises GradepointError: ``bad_deadline``, ``bad_request`` or ``bad_idempotency_key``.
    """
    headers = request.headers
    flag = headers.get(HEADER_NOT_REPEATABLE, "false").strip().lower()
    if flag not in ("true", "false", "1", "0"):
        raise GradepointError("bad_request", f"{HEADER_NOT_REPEATABLE} must be true or false.")
    return CallOptions(
        _parse_deadline(headers.get(HEADER_DEADLINE), default_deadline_s),
        flag in ("false", "0"),
        check_idempotency_key(headers.get(HEADER_IDEMPOTENCY_KEY)),
    )


def check_idempotency_key(value: str | None) -> str:
    """Validate an idempotency key; return an empty string if there is none.

    :raises GradepointError: ``bad_idempotency_key``.
    """
    if value is None:
        return ""
    if not 1 <= len(value) <= MAX_KEY_LENGTH or not value.isprintable():
        raise GradepointError("bad_idempotency_key")
    return value


def _parse_deadline(value: str | None, default_s: float) -> float:
    if value is None:
        return default_s
    if not value.isascii() or not value.isdigit() or int(value[:12]) == 0:
        raise GradepointError("bad_deadline", param=HEADER_DEADLINE)
    return min(MAX_DEADLINE_S, int(value[:12]) / 1000)


def parse_completion(path: str, raw: bytes, document: Document) -> CompletionRequest:
    """Parse and validate the body of a completion or chat request.

    :raises GradepointError: ``bad_json``, ``bad_request`` or ``unknown_model``.
    """
    return check_completion(path, decode_json(raw), document)


def check_completion(path: str, body: Any, document: Document) -> CompletionRequest:
    """Validate the decoded body of a completion or chat request.

    :raises GradepointError: ``bad_request`` or ``unknown_model``.
    """
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
    prefix = sha256_hex(f"{resolved.engine_name}\x00{prompt[:MAX_PREFIX_CHARACTERS]}".encode())[:16]
    return CompletionRequest(path, resolved, stream, body, prefix)


def _check_max_tokens(body: dict[str, Any]) -> None:
    for name in ("max_tokens", "max_completion_tokens"):
        value = body.get(name)
        if value is None:
            continue
        if (
            isinstance(value, bool)
            or not isinstance(value, int)
            or not 1 <= value <= MAX_REQUESTED_TOKENS
        ):
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

"""Events of a streamed completion, as targets send them."""

from __future__ import annotations

from typing import Any

from ..errors import DecodingError, TargetFailure
from ..util import decoding


def decode_event(payload: bytes) -> dict[str, Any]:
    """Decode the payload of one event, and check the fields that :func:`read_text` reads.

    :raises TargetFailure: it has another form.
    """
    try:
        event = decoding.decode_json_text(payload)
    except DecodingError as error:
        raise _make_failure(str(error)) from error
    if not isinstance(event, dict) or not isinstance(event.get("choices", []), list):
        raise _make_failure("no event with choices")
    if not all(_is_choice(choice) for choice in event.get("choices", [])):
        raise _make_failure("a choice has no text")
    return event


def read_text(choice: dict[str, Any]) -> str:
    """Return the text that one choice of an event adds; empty if there is none."""
    return choice.get("text") or (choice.get("delta") or {}).get("content") or ""


def _is_choice(choice: Any) -> bool:
    if not isinstance(choice, dict):
        return False
    delta = choice.get("delta") or {}
    if not isinstance(delta, dict):
        return False
    return all(isinstance(text or "", str) for text in (choice.get("text"), delta.get("content")))


def _make_failure(reason: str) -> TargetFailure:
    return TargetFailure("target_error", f"the target sent no event: {reason}", not_run=False)

"""Items: the lines of batch input files, and their result lines."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import msgspec

from ..errors import DecodingError, GradepointError
from ..online.requests import CHAT_PATH, COMPLETION_PATH
from ..util import decoding
from ..util.hashing import short_identity
from .records import ItemResult

ENDPOINTS = (CHAT_PATH, COMPLETION_PATH)


@dataclass(frozen=True)
class Item:
    """One line of a batch file.

    :param index: position within the chunk, from 0.
    :param url: path of the API endpoint.
    :param repeatable: whether the item may be sent again after an unknown outcome.
    """

    index: int
    custom_id: str
    url: str
    body: dict[str, Any]
    repeatable: bool


def parse_line(raw: bytes, number: int) -> Item:
    """Parse and validate one line of a batch file.

    :param number: line number from 1, for the item's index and error messages.
    :raises GradepointError: ``bad_batch_line``.
    """
    try:
        value = decoding.decode_json(raw)
    except DecodingError as error:
        raise _line_error(number, f"not valid JSON ({error})") from error
    if not isinstance(value, dict):
        raise _line_error(number, "not a JSON object")
    custom_id = value.get("custom_id")
    if not isinstance(custom_id, str) or not custom_id or len(custom_id) > 512:
        raise _line_error(number, "'custom_id' must be a string of 1 to 512 characters")
    if value.get("method", "POST") != "POST":
        raise _line_error(number, "'method' must be POST")
    url = value.get("url")
    if url not in ENDPOINTS:
        raise _line_error(number, f"'url' must be one of {', '.join(ENDPOINTS)}")
    body = value.get("body")
    if not isinstance(body, dict):
        raise _line_error(number, "'body' must be a JSON object")
    if not isinstance(body.get("model"), str):
        raise _line_error(number, "'body.model' must be a string")
    repeatable = value.get("repeatable", True)
    if not isinstance(repeatable, bool):
        raise _line_error(number, "'repeatable' must be true or false")
    return Item(number - 1, custom_id, url, body, repeatable)


def _line_error(number: int, what: str) -> GradepointError:
    return GradepointError("bad_batch_line", f"Line {number}: {what}.", param=f"line {number}")


def parse_chunk(data: bytes) -> list[Item]:
    """Return the items of a chunk, whose lines were validated at upload."""
    lines = [line for line in data.split(b"\n") if line.strip()]
    return [parse_line(line, number) for number, line in enumerate(lines, 1)]


def success_result(job_id: str, item: Item, status: int, body: Any) -> ItemResult:
    """Return the result of an item that a target answered; it is successful for status 200."""
    request_id = _request_id(job_id, item)
    line = {
        "id": f"batch_req_{request_id}",
        "custom_id": item.custom_id,
        "response": {"status_code": status, "request_id": request_id, "body": body},
        "error": None,
    }
    return ItemResult(item.index, status == 200, msgspec.Raw(msgspec.json.encode(line)))


def failure_result(job_id: str, item: Item, code: str, message: str) -> ItemResult:
    """Return the result of an item that failed, with an error code and message."""
    line = {
        "id": f"batch_req_{_request_id(job_id, item)}",
        "custom_id": item.custom_id,
        "response": None,
        "error": {"code": code, "message": message},
    }
    return ItemResult(item.index, False, msgspec.Raw(msgspec.json.encode(line)))


def _request_id(job_id: str, item: Item) -> str:
    return short_identity(job_id, item.custom_id)

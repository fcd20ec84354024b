"""Job calls of callers with values that no sound client sends."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from gradepoint.errors import GradepointError
from gradepoint.jobs.calls import ReadResults
from gradepoint.platform.headers import TIME_LEFT_MS, PlatformDialect
from gradepoint.platform.jobs import JOB_PATH, MAX_READ_WAIT_S, WAIT_MS, PlatformJobDialect
from gradepoint.wire.http_types import Request

DIALECT = PlatformJobDialect()
NUMBER = "9" * 400


def make_request(query: str = "", **headers: str) -> Request:
    """Return a caller's request for the results of a job."""
    nothing: Any = None
    return Request("GET", f"{JOB_PATH}job{query}", headers, nothing, 0)


def test_longest_wait_is_bounded_whatever_its_number_of_digits() -> None:
    """OverflowError was answered 500."""
    call = DIALECT.read_job_call(make_request(**{WAIT_MS: NUMBER}))
    assert isinstance(call, ReadResults) and call.wait_s == MAX_READ_WAIT_S


def test_longest_time_left_of_a_call_has_any_number_of_digits() -> None:
    head = PlatformDialect().read_call([(TIME_LEFT_MS, NUMBER.encode())])
    assert head.remaining_s is not None and head.remaining_s > 1e9


def test_position_over_64_bits_is_refused() -> None:
    with pytest.raises(GradepointError) as refused:
        DIALECT.read_job_call(make_request(f"?after_rev={NUMBER}"))
    assert refused.value.code == "bad_request"


@pytest.mark.parametrize("body", ["\u00e9", "a", "a===", "\u2028"])
def test_item_whose_body_is_not_base64_is_refused(body: str) -> None:
    """ValueError for a text that is not ASCII was answered 500."""
    item = {"id": "i", "path": "/", "body": body, "tokens": 1, "headers": {}}
    raw = msgspec.json.encode({"route": "r", "items": [item]})
    with pytest.raises(GradepointError) as refused:
        DIALECT.decode_submission(raw)
    assert refused.value.code == "bad_request"


@pytest.mark.parametrize("tokens", [1 << 64, 1 << 70, -1])
def test_item_with_tokens_outside_their_range_is_refused(tokens: int) -> None:
    item = {"id": "i", "path": "/", "body": "", "tokens": tokens, "headers": {}}
    raw = msgspec.json.encode({"route": "r", "items": [item]})
    with pytest.raises(GradepointError) as refused:
        DIALECT.decode_submission(raw)
    assert refused.value.code == "bad_request"

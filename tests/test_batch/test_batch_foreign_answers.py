"""Answers of targets and bodies of callers that no sound program sends."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from gradepoint.batch.app import _parse_job_request
from gradepoint.batch.calls import PartialText, _accumulate, _decode_body
from gradepoint.batch.feeder import read_load
from gradepoint.batch.items import parse_line
from gradepoint.batch.records import JobState
from gradepoint.config.check import check_document
from gradepoint.errors import GradepointError, TargetFailure
from gradepoint.standins.virtual_time import run_virtual
from gradepoint.wire.http_types import decode_json
from gradepoint.wire.target_client import TargetAnswer
from tests.support.fleet import FakeStream, Fleet

NESTED = b'{"a":' + b"[" * 5000 + b"]" * 5000 + b"}"
EVENTS = [
    b"{",
    b"[]",
    NESTED,
    b'{"choices":7}',
    b'{"choices":[7]}',
    b'{"choices":[{"text":7}]}',
    b'{"choices":[{"delta":"x"}]}',
    b'{"choices":[{"delta":{"content":[1]}}]}',
]


@pytest.mark.parametrize("event", EVENTS)
def test_event_of_another_form_is_a_failure_of_its_target(event: bytes) -> None:
    """The item was lost: it was neither queued again nor failed, and its job never ended."""
    with pytest.raises(TargetFailure):
        _accumulate(event, PartialText())


def test_text_with_half_of_a_surrogate_pair_is_read() -> None:
    """Targets escape a character whose second half is in the next token. The item failed."""
    partial = PartialText()
    for text in (rb"a\ud83d", rb"\ude00b"):
        _accumulate(b'{"choices":[{"text":"%b"}]}' % text, partial)
    assert partial.text == "a\ufffd\ufffdb"
    assert _decode_body(rb'{"text":"\ud83d"}') == {"text": "\ufffd"}


def test_job_ends_beside_a_target_that_sends_no_events(monkeypatch: pytest.MonkeyPatch) -> None:
    sound = FakeStream.payloads

    async def payloads(stream: FakeStream) -> Any:
        if stream.target.name == "t0":
            yield b'{"choices":[7]}'
            return
        async for payload in sound(stream):
            yield payload

    monkeypatch.setattr(FakeStream, "payloads", payloads)

    async def main() -> None:
        fleet = Fleet(1)
        await fleet.start()
        await fleet.accept_job("job", 16, not_repeatable=frozenset({0}))
        ended = await fleet.wait_finished("job", 300.0)
        assert ended.state is JobState.COMPLETED and ended.completed + ended.failed == 16
        assert fleet.ran("job/0") == 1
        await fleet.stop()

    run_virtual(main())


@pytest.mark.parametrize(
    "body",
    [
        NESTED,
        b"[]",
        b"{",
        b'{"running":"x"}',
        b'{"running":null}',
        b'{"waiting":-1}',
        b'{"online_running":1' + b"0" * 400 + b"}",
        b'{"kv_used":1e308,"kv_tokens":[]}',
    ],
)
def test_load_of_another_form_is_none(body: bytes) -> None:
    """The exception ended the loop that feeds all targets."""

    class Client:
        async def call(self, *_: Any) -> TargetAnswer:
            """Return the answer."""
            return TargetAnswer(200, {}, body)

    client: Any = Client()

    async def main() -> None:
        assert await read_load(client, "http://t") is None

    run_virtual(main())


@pytest.mark.parametrize("window", [[], {}, None, 24])
def test_job_with_a_window_of_another_type_is_refused(window: Any) -> None:
    """TypeError was answered 500."""
    body = {"input_file_id": "f", "endpoint": "/v1/completions", "completion_window": window}
    with pytest.raises(GradepointError) as refused:
        _parse_job_request(body)
    assert refused.value.kind.status == 400


def test_nested_body_or_line_is_refused() -> None:
    with pytest.raises(GradepointError) as refused:
        decode_json(NESTED)
    assert refused.value.code == "bad_json"
    with pytest.raises(GradepointError) as refused:
        parse_line(NESTED, 1)
    assert refused.value.code == "bad_batch_line"


def test_document_with_a_decimal_point_in_an_integer_is_refused() -> None:
    """The schema takes 1.0 for an integer, and the conversion raised ValidationError: 500."""
    model = {"name": "m", "versions": [{"name": "v", "weights": "w"}], "default_version": "v"}
    target = {"name": "t", "url": "http://10.0.0.1:1", "failure_domain": "d", "models": ["m"]}
    document = {"format": 1, "name": "d", "models": [model], "organisations": []}
    for slots in (16, 16.5, 1 << 70):
        raw = msgspec.json.encode(document | {"targets": [target | {"slots": slots}]})
        assert check_document(raw).is_ok() == (slots == 16)
    raw = raw.replace(str(1 << 70).encode(), b"16.0")
    assert check_document(raw).is_err()

"""Decoding of bytes from outside: one kind of error, and one bound of nesting on every host."""

from __future__ import annotations

import re
import tracemalloc
from collections.abc import Callable
from contextlib import suppress
from datetime import UTC
from functools import partial
from pathlib import Path
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from gradepoint.errors import DecodingError
from gradepoint.util import decoding
from gradepoint.util.decoding import MAX_NESTING

PACKAGE = Path(decoding.__file__).resolve().parents[1]
DECODER = re.compile(
    r"msgspec\.(json|msgpack|yaml|toml)\.(decode|Decoder)|\bjson\.loads?\(|\bpickle\b|\bmarshal\b"
)
DECODING_MODULES = ("util/decoding.py", "cmd/gateway.py")
"""The second one reads an address from its settings before it imports any library, and takes each
exception for settings that are checked later."""
STACK_DEPTHS = (0, 300, 600)
"""Frames on the interpreter's stack; its limit is 1,000."""
TOO_DEEP = (MAX_NESTING + 1, 900, 1100, 300_000)


class Row(msgspec.Struct):
    """Record of which an encoding may have further fields."""

    name: str


class ShortRow(msgspec.Struct, array_like=True):
    """Record of which an encoding may have further elements."""

    name: str


MSGPACK_DECODERS = [
    partial(decoding.decode_msgpack, kind=ShortRow),
    decoding.make_msgpack_decoder(ShortRow),
]


def call_below(frames: int, work: Callable[[], Any]) -> Any:
    """Call *work* with so many more frames on the stack."""
    return call_below(frames - 1, work) if frames else work()


def nest_msgpack(depth: int) -> bytes:
    """Return the encoding of a record with a further element, nested *depth* levels with itself."""
    return b"\x92\xa1a" + b"\x91" * (depth - 1) + b"\x01"


def nest_json(depth: int, opening: str, closing: str) -> bytes:
    """Return a record with a further field, nested *depth* levels with itself."""
    inner = opening * (depth - 1) + "1" + closing * (depth - 1)
    return f'{{"name":"a","other":{inner}}}'.encode()


def fails(work: Callable[[], Any]) -> bool:
    """Return whether decoding fails."""
    try:
        work()
    except DecodingError:
        return True
    return False


@pytest.mark.parametrize(("opening", "closing"), [("[", "]"), ('{"x":', "}"), ('[{"x":', "}]")])
def test_json_has_one_bound_of_nesting_at_each_stack_depth(opening: str, closing: str) -> None:
    # The decoder's own limit depends on the interpreter's stack.
    step = opening.count("[") + opening.count("{")
    for depth in (MAX_NESTING, *TOO_DEEP):
        raw = nest_json((depth - 1) // step + 1, opening, closing)
        actual = ((depth - 1) // step) * step + 1
        for frames in STACK_DEPTHS:
            found = call_below(frames, partial(fails, partial(decoding.decode_json, raw, Row)))
            assert found == (actual > MAX_NESTING), (depth, frames)


@pytest.mark.parametrize("decode", MSGPACK_DECODERS)
def test_msgpack_has_one_bound_of_nesting_at_each_stack_depth(
    decode: Callable[[bytes], ShortRow],
) -> None:
    for depth in (MAX_NESTING, *TOO_DEEP):
        raw = nest_msgpack(depth)
        for frames in STACK_DEPTHS:
            found = call_below(frames, partial(fails, partial(decode, raw)))
            assert found == (depth > MAX_NESTING), (depth, frames)


def test_brackets_in_texts_are_no_nesting() -> None:
    text = '[{"\\' * 1000
    raw = msgspec.json.encode([Row(text)] * 3)
    assert decoding.decode_json(raw, list[Row]) == [Row(text)] * 3


def test_many_rows_side_by_side_are_no_nesting() -> None:
    rows = [ShortRow(str(number)) for number in range(2000)]
    assert decoding.decode_msgpack(msgspec.msgpack.encode(rows), list[ShortRow]) == rows
    further = msgspec.msgpack.encode([[row.name, {"x": [1]}] for row in rows])
    assert decoding.decode_msgpack(further, list[ShortRow]) == rows
    assert len(decoding.decode_json(msgspec.json.encode([[1]] * 2000))) == 2000


def test_wide_element_of_another_version_takes_no_memory() -> None:
    # A million empty maps, in a value of the largest size, were decoded into 86 MB.
    raw = b"\x92\xa1a" + b"\xdd" + (1_000_000).to_bytes(4) + b"\x80" * 1_000_000
    tracemalloc.start()
    try:
        assert fails(lambda: decoding.decode_msgpack(raw, ShortRow))
        assert tracemalloc.get_traced_memory()[1] < 4 * len(raw)
    finally:
        tracemalloc.stop()


@given(
    st.recursive(
        st.none()
        | st.booleans()
        | st.integers(-(1 << 63), (1 << 64) - 1)
        | st.floats()
        | st.text(max_size=300)
        | st.binary(max_size=300)
        | st.datetimes(timezones=st.just(UTC))
        | st.builds(msgspec.msgpack.Ext, st.integers(1, 127), st.binary(max_size=20)),
        lambda inner: st.lists(inner, max_size=20) | st.dictionaries(st.text(), inner, max_size=20),
    )
)
def test_sound_elements_of_another_version_are_not_rejected(other: Any) -> None:
    # A wrong size of one kind of element would misplace all that follow it.
    padding = [[1]] * (MAX_NESTING + 1)
    raw = msgspec.msgpack.encode(["a", other, padding])
    assert decoding.decode_msgpack(raw, ShortRow) == ShortRow("a")
    deep = nest_msgpack(MAX_NESTING + 1)[3:]
    raw = b"\x93\xa1a" + msgspec.msgpack.encode(other) + deep
    assert fails(lambda: decoding.decode_msgpack(raw, ShortRow))


@given(st.binary(max_size=200) | st.text(max_size=50).map(str.encode))
def test_no_bytes_raise_another_error(raw: bytes) -> None:
    for kind in (Any, Row, list[Row], dict[int, ShortRow]):
        for decode in (decoding.decode_json, decoding.decode_msgpack):
            try:
                decode(raw, kind)
            except DecodingError:
                continue


@pytest.mark.parametrize(
    ("raw", "text"),
    [
        (rb'"a\ud83d"', "a\ufffd"),
        (rb'"\udc00\ud83d\ude00"', "\ufffd\U0001f600"),
        (b'"a\xffb"', "a\ufffdb"),
        (b'"a\tb"', "a\tb"),
    ],
)
def test_text_that_is_no_unicode_is_read_with_replacement_characters(raw: bytes, text: str) -> None:
    assert decoding.decode_json_text(b'{"a":[%b]}' % raw) == {"a": [text]}


@pytest.mark.parametrize("raw", [b"", b'{"a"', b"NaN", rb'"\q"', b"[" * 300 + b"]" * 300])
def test_text_that_is_no_json_raises_the_error_of_decoding(raw: bytes) -> None:
    with pytest.raises(DecodingError):
        decoding.decode_json_text(raw)


class Rows(msgspec.Struct):
    """Record with a list."""

    rows: list[Row]
    end: int = 0


def decode_rows(raw: bytes) -> tuple[Rows, list[decoding.BadElement]]:
    """Decode an encoded list of records."""
    return decoding.decode_json_list(b'{"rows":[%b],"end":1}' % raw, Rows, ["rows"], Row)


@pytest.mark.parametrize(
    "bad",
    [
        rb'{"name":"\ud83d"}',
        rb'{"name":"a","\udc00":1}',
        b'{"name":"\xff"}',
        b'{"name":7}',
        b"{}",
        b"null",
        b"NaN",
        b'{"name":"a","other":' + b"[" * 300 + b"]" * 300 + b"}",
    ],
)
def test_element_that_cannot_be_decoded_is_left_out_alone(bad: bytes) -> None:
    sound = rb'{"name":"\ud83d\ude00"}'
    document, left_out = decode_rows(b",".join([sound, bad, b'{"name":"b"}']))
    assert document == Rows([Row("\U0001f600"), Row("b")], 1)
    assert len(left_out) == 1


@pytest.mark.parametrize("stack", STACK_DEPTHS)
@pytest.mark.parametrize(
    "raw", [b"[" * 100_000 + b"]" * 100_000, b"1" * 5000, rb'"\q"', b'{"name":"a"', b"\x00"]
)
def test_list_in_what_is_no_json_raises_the_error_of_decoding(raw: bytes, stack: int) -> None:
    with pytest.raises(DecodingError):
        call_below(stack, lambda: decode_rows(raw))


@pytest.mark.parametrize("raw", [b"[]", b"{}", b'{"rows":{}}', b'{"rows":[{}],"end":"1"}'])
def test_object_that_cannot_be_decoded_for_another_reason_is_refused(raw: bytes) -> None:
    with pytest.raises(DecodingError):
        decoding.decode_json_list(raw, Rows, ["rows"], Row)


@pytest.mark.parametrize("depth", [200, 900, 960, 990, 1000])
@pytest.mark.parametrize("stack", STACK_DEPTHS)
def test_nested_element_raises_no_other_error(depth: int, stack: int) -> None:
    # The decoder and the encoder stop at different depths.
    bad = b'{"name":7,"other":' + b"[" * depth + b"]" * depth + b"}"

    def decode() -> None:
        with suppress(DecodingError):
            document, _ = decode_rows(bad + b',{"name":"b"}')
            assert document.rows == [Row("b")]

    call_below(stack, decode)


def test_no_other_module_calls_a_decoder() -> None:
    # Readers that did not expect one of a decoder's errors lost all rows behind a foreign one.
    found = [
        f"{path.relative_to(PACKAGE)}:{number}: {line.strip()}"
        for path in sorted(PACKAGE.rglob("*.py"))
        if path.relative_to(PACKAGE).as_posix() not in DECODING_MODULES
        for number, line in enumerate(path.read_text().splitlines(), 1)
        if DECODER.search(line)
    ]
    assert not found

"""Tests of finding out whether a JSON document in pieces has ended."""

from __future__ import annotations

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gradepoint.wire.http_types import is_json
from gradepoint.wire.json_nesting import JsonNesting

VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)


def follow(document: bytes, sizes: list[int]) -> JsonNesting:
    """Return the nesting after a document that arrives in pieces of *sizes*, and then the rest."""
    nesting, start = JsonNesting(), 0
    for size in sizes:
        nesting.feed(document[start : start + size])
        start += size
    nesting.feed(document[start:])
    return nesting


@given(
    st.lists(VALUES, min_size=1) | st.dictionaries(st.text(), VALUES, min_size=1),
    st.lists(st.integers(0, 9)),
    st.data(),
    st.booleans(),
)
def test_only_the_whole_document_is_complete(
    value: object, sizes: list[int], data: st.DataObject, ascii_only: bool
) -> None:
    document = json.dumps(value, ensure_ascii=ascii_only).encode(errors="surrogatepass")
    assert not follow(document + b"\n", sizes).incomplete
    cut = data.draw(st.integers(0, len(document) - 1))
    assert follow(document[:cut], sizes).incomplete


def test_document_without_a_byte_is_incomplete_and_a_number_is_not() -> None:
    assert follow(b" \n", []).incomplete
    assert not follow(b"12", []).incomplete


@pytest.mark.parametrize("name", ["application/json", "Application/JSON; charset=x", "a/b+json"])
def test_json_formats_are_recognised(name: str) -> None:
    assert is_json(name)
    assert not is_json("text/plain; format=application/json")

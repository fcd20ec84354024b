"""Decoding of target entries: which are accepted, and which are rejected."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from gradepoint.errors import DecodingError
from gradepoint.gateway.targets import ListedState
from gradepoint.platform.targets import TARGETS_PREFIX, decode_target, shorten_target

KEY = TARGETS_PREFIX + "t0"
ENTRY = {
    "service": "model",
    "addr": "127.0.0.1:8080",
    "zone": "zone-a",
    "version": "v1",
    "slot_count": 7,
    "state": "ready",
    "cold_left_ms": 0,
    "call_seq": 4,
    "born": 1_790_000_000_123,
}


def encode(**changes: Any) -> bytes:
    """Return an encoded entry with some fields changed."""
    return msgspec.json.encode({**ENTRY, **changes})


def test_entry_identifies_one_incarnation_of_a_target() -> None:
    row = decode_target(KEY, encode())
    assert (row.name, row.state, row.slots) == ("t0", ListedState.READY, 7)
    assert decode_target(KEY, encode(call_seq=9, state="draining")).id == row.id
    assert decode_target(KEY, encode(born=1_790_000_000_124)).id != row.id


def test_entry_without_a_start_time_is_accepted() -> None:
    entry = {name: value for name, value in ENTRY.items() if name != "born"}
    row = decode_target(KEY, msgspec.json.encode(entry))
    assert row.id == row.name == "t0"


def test_unknown_fields_are_ignored() -> None:
    assert decode_target(KEY, encode(stage="both", models=[{"name": "m"}])).name == "t0"


@pytest.mark.parametrize(
    "changes", [{}, {"state": "draining"}, {"call_seq": 1 << 70}, {"cold_left_ms": 1.5e300}]
)
@pytest.mark.parametrize("dropped", ["born", "other"])
def test_shortened_entry_says_the_same_of_its_target(changes: dict[str, Any], dropped: str) -> None:
    entry = {**ENTRY, **changes, "other": ["x" * 1000] * 100}
    del entry[dropped]
    raw = msgspec.json.encode(entry)
    short = shorten_target(raw)
    assert decode_target(KEY, short) == decode_target(KEY, raw)
    assert len(short) < 600 and shorten_target(short) == short


@pytest.mark.parametrize("missing", sorted(set(ENTRY) - {"born"}))
def test_entry_without_a_required_field_is_rejected(missing: str) -> None:
    entry = {name: value for name, value in ENTRY.items() if name != missing}
    with pytest.raises(DecodingError):
        decode_target(KEY, msgspec.json.encode(entry))


@pytest.mark.parametrize(
    "changes",
    [
        {"service": 3},
        {"addr": None},
        {"addr": "nowhere"},
        {"addr": "127.0.0.1:0"},
        {"addr": "127.0.0.1:70000"},
        {"addr": "target.example:80"},
        {"zone": ["zone-a"]},
        {"slot_count": "7"},
        {"slot_count": -1},
        {"slot_count": 7.5},
        {"slot_count": 1 << 53},
        {"state": "resting"},
        {"state": True},
        {"cold_left_ms": "0"},
        {"call_seq": None},
        {"born": "1790000000123"},
        {"born": None},
        {"born": 1.5},
        {"born": -(1 << 53)},
        {"born": True},
    ],
)
def test_entry_with_an_invalid_field_is_rejected(changes: dict[str, Any]) -> None:
    with pytest.raises(DecodingError):
        decode_target(KEY, encode(**changes))


@given(st.binary(max_size=64) | st.builds(lambda cut: encode()[:cut], st.integers(0, 150)))
def test_any_invalid_bytes_raise_decode_error(raw: bytes) -> None:
    with pytest.raises(DecodingError):
        decode_target(KEY, raw)


@pytest.mark.parametrize("name", ["", "a\r\nb", " a", "a\x00b", "\u00e9", "\ud7ff\u2028", "t0@12"])
def test_entry_whose_name_no_call_can_carry_is_rejected(name: str) -> None:
    """A call carries the name in a header. "t0@12" would be taken for an incarnation of t0."""
    entry = {field: value for field, value in ENTRY.items() if field != "born"}
    with pytest.raises(DecodingError):
        decode_target(TARGETS_PREFIX + name, msgspec.json.encode(entry))


@pytest.mark.parametrize("number", [-1, 1 << 63, 1 << 70, 10**400])
@pytest.mark.parametrize("field", ["slot_count", "born"])
def test_entry_with_a_number_outside_its_range_is_rejected(field: str, number: int) -> None:
    """OverflowError in the sums over all targets, or in messages to other hosts."""
    raw = encode(**{field: 0}).replace(f'"{field}":0'.encode(), f'"{field}":{number}'.encode())
    with pytest.raises(DecodingError):
        decode_target(KEY, raw)


@pytest.mark.parametrize("address", ["127.0.0.1: 8080", "127.0.0.1:8_080", "127.0.0.1:+80"])
def test_entry_with_a_port_in_another_spelling_is_rejected(address: str) -> None:
    with pytest.raises(DecodingError):
        decode_target(KEY, encode(addr=address))

"""Entries of targets: which can be read, and which name no target to use."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from gradepoint.gateway.targets import ListedState
from gradepoint.platform.targets import TARGETS_PREFIX, decode_target

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
    """Return an entry with some fields changed."""
    return msgspec.json.encode({**ENTRY, **changes})


def test_an_entry_names_one_life_of_a_target() -> None:
    row = decode_target(KEY, encode())
    assert (row.name, row.state, row.slots) == ("t0", ListedState.READY, 7)
    assert decode_target(KEY, encode(call_seq=9, state="draining")).id == row.id
    assert decode_target(KEY, encode(born=1_790_000_000_124)).id != row.id


def test_an_entry_that_does_not_tell_its_start_is_read() -> None:
    entry = {name: value for name, value in ENTRY.items() if name != "born"}
    row = decode_target(KEY, msgspec.json.encode(entry))
    assert row.id == row.name == "t0"


def test_fields_that_are_not_known_are_passed_over() -> None:
    assert decode_target(KEY, encode(stage="both", models=[{"name": "m"}])).name == "t0"


@pytest.mark.parametrize("missing", sorted(set(ENTRY) - {"born"}))
def test_an_entry_without_one_of_its_fields_is_not_read(missing: str) -> None:
    entry = {name: value for name, value in ENTRY.items() if name != missing}
    with pytest.raises(msgspec.DecodeError):
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
        {"state": "resting"},
        {"state": True},
        {"cold_left_ms": "0"},
        {"call_seq": None},
        {"born": "1790000000123"},
        {"born": None},
        {"born": 1.5},
        {"born": True},
    ],
)
def test_an_entry_of_another_writer_is_not_read(changes: dict[str, Any]) -> None:
    with pytest.raises(msgspec.DecodeError):
        decode_target(KEY, encode(**changes))


@given(st.binary(max_size=64) | st.builds(lambda cut: encode()[:cut], st.integers(0, 150)))
def test_bytes_that_are_no_entry_raise_one_kind_of_error(raw: bytes) -> None:
    with pytest.raises(msgspec.DecodeError):
        decode_target(KEY, raw)

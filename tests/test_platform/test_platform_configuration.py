"""A configuration whose numbers cannot be used is refused as a whole; the former one is kept."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from gradepoint.errors import DecodingError
from gradepoint.platform.configuration import decode_configuration

SPLIT = [{"service": "s", "weight": 1}, {"service": "t", "weight": 0}]


def make_document() -> dict[str, Any]:
    """Return a sound configuration."""
    route = {
        "name": "r",
        "host": "h",
        "path_prefix": "/",
        "kind": "safe",
        "timeout_ms": 1000,
        "goal_ms": 10,
        "traffic_split": SPLIT,
    }
    limits = {
        "header_bytes": 8192,
        "body_bytes": 65536,
        "header_timeout_ms": 1000,
        "idle_timeout_ms": 1000,
    }
    services = [{"name": "s", "max_conns": 4, "engine": {"slot_count": 4}}]
    tenants = [{"name": "o", "api_keys": ["k"], "rate_per_s": 5, "burst_size": 5}]
    document = {"version": 3, "routes": [route], "services": services, "limits": limits}
    return document | {"tenants": tenants}


ROUTE_NUMBERS = [
    *("timeout_ms", "goal_ms", "gap_goal_ms", "due_ms", "retention_s"),
    *("priority", "max_attempts", "max_queued_tokens"),
]
LIMITS = ["header_bytes", "body_bytes", "header_timeout_ms", "idle_timeout_ms"]


def encode(document: dict[str, Any], number: str) -> bytes:
    """Encode a document, with *number* in place of its text "NUMBER"."""
    return msgspec.json.encode(document).replace(b'"NUMBER"', number.encode())


FIELDS = [*ROUTE_NUMBERS, *LIMITS, "weight", "max_conns", "slot_count"]
MAY_BE_NEGATIVE = {"priority", "max_attempts", "max_conns"}
"""Fields of which negative numbers were always accepted, and harm no call."""
CASES = [
    (field, number)
    for field in FIELDS
    for number in ("-1", "1e999", "NaN", "Infinity", "1e308", str(1 << 70))
    if number != "-1" or field not in MAY_BE_NEGATIVE
]
CASES.append(("header_bytes", str((1 << 20) + 1)))


@pytest.mark.parametrize(("field", "number"), CASES)
def test_number_outside_its_range_is_refused(field: str, number: str) -> None:
    """It was put in force, and calls failed by an exception or ended at once."""
    document = make_document()
    if field in LIMITS:
        document["limits"][field] = "NUMBER"
    elif field == "weight":
        document["routes"][0]["traffic_split"] = [{"service": "s", "weight": "NUMBER"}]
    elif field == "max_conns":
        document["services"][0][field] = "NUMBER"
    elif field == "slot_count":
        document["services"][0]["engine"][field] = "NUMBER"
    else:
        document["routes"][0][field] = "NUMBER"
    with pytest.raises(DecodingError):
        decode_configuration(encode(document, number))


@pytest.mark.parametrize("split", [[], [{"service": "s", "weight": 0}] * 2])
def test_route_without_any_weight_is_refused(split: list[Any]) -> None:
    """The choice of a service divided by zero, or had nothing to choose from."""
    document = make_document()
    document["routes"][0]["traffic_split"] = split
    with pytest.raises(DecodingError):
        decode_configuration(msgspec.json.encode(document))


@pytest.mark.parametrize("number", ["-1", "1e308", str(1 << 70), str(-(1 << 70))])
@pytest.mark.parametrize("field", ["rate_per_s", "burst_size", "priority"])
def test_number_of_one_organisation_costs_that_one_at_most(field: str, number: str) -> None:
    document = make_document()
    document["tenants"] = [{"name": "x", "api_keys": ["x"], field: "NUMBER"}, *document["tenants"]]
    found = decode_configuration(encode(document, number)).organisations
    assert found is not None
    assert found.listed[-1].name == "o"
    msgspec.msgpack.encode([row.priority for row in found.listed])


def test_sound_document_is_accepted_with_the_numbers_that_mean_none() -> None:
    document = make_document()
    for field in ("goal_ms", "gap_goal_ms", "due_ms", "retention_s", "max_queued_tokens"):
        document["routes"][0][field] = 0
    document["routes"][0]["max_attempts"] = 0
    document["services"][0] = {"name": "s", "max_conns": 0, "engine": {"slot_count": 0}}
    assert decode_configuration(msgspec.json.encode(document)).version == 3

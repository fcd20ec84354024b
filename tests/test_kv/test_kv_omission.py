"""Omitted values: hosts that omit different values must agree on the contents of a view."""

from __future__ import annotations

from gradepoint.errors import DecodingError
from gradepoint.kv.omission import OMITTED, RowLimit, RowReader, is_omitted, limit_rows
from gradepoint.kv.service import KeyValue, RangeResult, WatchEvent
from gradepoint.kv.view import PrefixView
from tests.support.views import ValuesFollower

LIMITS = (RowLimit("p/", 100, lambda key, value: value == b"sound"),)
LARGE = b"x" * 101
ROWS = (KeyValue("p/a", b"sound", 1), KeyValue("p/b", LARGE, 2))


def test_host_of_a_former_version_takes_a_view_with_omitted_values_for_equal() -> None:
    # With different digests, each host would read all keys itself instead of taking a proof.
    former, limited = PrefixView(ValuesFollower()), PrefixView(ValuesFollower(), LIMITS)
    for view in (former, limited):
        view.reset(RangeResult(ROWS, 2))
    assert is_omitted(limited.items["p/b"].value)
    assert former.digest == limited.digest
    for view in (former, limited):
        view.change(WatchEvent("p/c", LARGE, 3))
        view.change(WatchEvent("p/b", None, 4))
    assert former.digest == limited.digest


def test_updates_between_hosts_of_both_versions_lead_to_equal_views() -> None:
    for sender_limits, receiver_limits in (((), LIMITS), (LIMITS, ()), (LIMITS, LIMITS)):
        sender = PrefixView(ValuesFollower(), sender_limits)
        receiver = PrefixView(ValuesFollower(), receiver_limits)
        sender.reset(RangeResult(ROWS, 2))
        part = sender.make_update(0)
        assert part is not None
        receiver.apply_update(part)
        assert receiver.items["p/a"].value == b"sound"
        assert set(receiver.items) == {"p/a", "p/b"}
        if receiver_limits:
            assert receiver.digest == sender.digest
        # A host of a former version reads the rows again, since its digest differs.
        receiver.reset(RangeResult(ROWS, 3))
        assert receiver.digest == sender.digest


def test_stored_value_that_looks_omitted_does_not_choose_the_hash_of_its_row() -> None:
    # Two hosts with different contents would otherwise take each other for equal.
    imitation = KeyValue("p/a", OMITTED + b"0123456701234567", 1)
    row = RowReader(LIMITS).read(imitation)
    assert is_omitted(row.value) and row.value != imitation.value


def test_value_that_is_replaced_by_a_sound_one_is_read_again() -> None:
    reader = RowReader(LIMITS)
    assert is_omitted(reader.read(KeyValue("p/a", LARGE, 1)).value)
    assert reader.find_omitted("p/a", 1) is not None
    assert reader.find_omitted("p/a", 2) is None
    assert reader.read(KeyValue("p/a", b"sound", 2)).value == b"sound"
    assert reader.find_omitted("p/a", 1) is None


def shorten(value: bytes) -> bytes:
    """Return a value up to its first space; fail if it has none."""
    if b" " not in value:
        raise DecodingError("no space")
    return value.partition(b" ")[0]


def test_large_value_that_can_be_shortened_is_kept_in_short_form() -> None:
    limits = (RowLimit("p/", 100, lambda key, value: value == b"sound", shorten),)
    values = {
        b"sound " + LARGE: b"sound",
        b"sound " + b"x" * 10: b"sound " + b"x" * 10,
        LARGE: None,
        LARGE + b" ": None,
    }
    reader = RowReader(limits)
    for value, kept in values.items():
        row = KeyValue("p/a", value, 1)
        read = reader.read(row)
        assert is_omitted(read.value) if kept is None else read.value == kept
        assert limit_rows(limits, (read,)) == [read]
    # Beyond the bytes that are kept unchecked, the short form counts.
    last = KeyValue("p/z", b"sound " + LARGE, 1)
    rows = [KeyValue(f"p/{number:06d}", b"x" * 100, 1) for number in range(100_000)]
    assert limit_rows(limits, (*rows, last))[-1].value == b"sound"


def test_sound_rows_behind_many_others_are_kept() -> None:
    rows = [KeyValue(f"p/{number:06d}", b"x" * 100, 1) for number in range(100_000)]
    kept = limit_rows(LIMITS, (*rows, KeyValue("p/z", b"sound", 1), KeyValue("q", LARGE, 1)))
    assert kept[-2].value == b"sound"
    assert is_omitted(kept[-3].value)
    assert kept[-1].value == LARGE

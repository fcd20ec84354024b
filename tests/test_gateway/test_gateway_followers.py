"""Followers: an exception that one row raises costs that row only."""

from __future__ import annotations

import pytest

from gradepoint.gateway.followers import LiveFollower, TargetFollower
from gradepoint.gateway.held import HELD_PREFIX
from gradepoint.gateway.targets import ListedState, ListedTarget, TargetSet
from gradepoint.gateway.version_history import VERSIONS_KEY
from gradepoint.ids import Incarnation, JobId, ServiceName, SoftwareVersion
from gradepoint.jobs.records import END_PREFIX
from gradepoint.kv.service import KeyValue, RangeResult, WatchEvent
from gradepoint.kv.unreadable import MAX_NAMED_ROWS
from gradepoint.peers.presence import DATA_HOST_PREFIX, HostTable
from gradepoint.platform.targets import read_target_name


def decode_unless_bad(key: str, value: bytes) -> ListedTarget:
    """Decode a row of a target; raise an exception that no reader expects for some keys."""
    if "bad" in key:
        raise ZeroDivisionError(key)
    return ListedTarget(
        name=read_target_name(key),
        service=ServiceName("model"),
        address="127.0.0.1:8080",
        failure_domain="zone-a",
        slots=8,
        state=ListedState.READY,
        born_ms=None,
        version=SoftwareVersion("model@v1"),
    )


def make_follower() -> TargetFollower:
    """Return a follower of an empty list of targets."""
    return TargetFollower(TargetSet(1.0), decode_unless_bad, read_target_name)


def list_rows(*names: str) -> RangeResult:
    """Return the list of targets with given names."""
    return RangeResult(tuple(KeyValue(f"servers/{name}", b"", 1) for name in names), 1)


def test_row_that_raises_an_exception_hides_no_other_row() -> None:
    follower = make_follower()
    follower.reset(list_rows("a", "bad", "z"))
    assert follower.loaded and set(follower.targets.by_name) == {"a", "z"}
    (row,) = list_rows("bad-2").items
    follower.change(WatchEvent(row.key, row.value, 2))
    (row,) = list_rows("later").items
    follower.change(WatchEvent(row.key, row.value, 3))
    assert set(follower.targets.by_name) == {"a", "z", "later"}


def test_row_of_live_hosts_that_raises_an_exception_hides_no_other_row() -> None:
    ended: list[JobId] = []

    def note_ended(job: JobId) -> None:
        if job == "bad":
            raise ZeroDivisionError(job)
        ended.append(job)

    follower = LiveFollower(
        Incarnation("host:1"),
        HostTable(),
        HostTable(DATA_HOST_PREFIX),
        END_PREFIX,
        lambda _: None,
        note_ended,
        HELD_PREFIX,
        lambda *_: None,
        VERSIONS_KEY,
        lambda _: None,
    )
    keys = [END_PREFIX + name for name in ("a", "bad", "z")]
    follower.reset(RangeResult(tuple(KeyValue(key, b"", 1) for key in keys), 1))
    follower.change(WatchEvent(keys[1], b"", 2))
    assert follower.was_read and ended == ["a", "z"]


def test_unreadable_rows_are_named_once_and_in_bounded_number(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    lines: list[str] = []
    monkeypatch.setattr(
        "gradepoint.kv.unreadable.emit", lambda event, **fields: lines.append(fields["key"])
    )
    follower = make_follower()
    for _ in range(3):
        follower.reset(list_rows("a", "bad"))
    assert lines == ["servers/bad"]
    follower.reset(list_rows(*(f"bad-{number}" for number in range(5000))))
    assert len(lines) == MAX_NAMED_ROWS

"""A gateway, which has no disk, learns from the list of hosts how its former run ended."""

from __future__ import annotations

import msgspec
import pytest

from gradepoint.gateway import followers
from gradepoint.gateway.followers import LiveFollower
from gradepoint.ids import HostName, Incarnation
from gradepoint.kv.service import KeyValue, RangeResult
from gradepoint.peers.presence import DATA_HOST_PREFIX, PRESENCE_PREFIX, HostPresence, HostTable

OWN = Incarnation("host-0:new")


@pytest.mark.parametrize(
    ("listed", "expected"),
    [
        ([], []),
        ([OWN], []),
        ([Incarnation("host-1:old")], []),
        ([Incarnation("host-0:old")], ["former_run_listed"]),
    ],
)
def test_former_run_that_is_still_listed_is_reported(
    listed: list[Incarnation], expected: list[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    # Without this line, a run that was killed cannot be told from one that was stopped.
    logged: list[str] = []
    monkeypatch.setattr(
        followers, "emit", lambda event, **_: logged.append(event.name), raising=True
    )
    follower = LiveFollower(
        OWN,
        HostTable(),
        HostTable(DATA_HOST_PREFIX),
        "gp/live/end/",
        lambda _: None,
        lambda _: None,
        "gp/live/held/",
        lambda _key, _value: None,
        "gp/live/versions",
        lambda _: None,
    )
    rows = [
        HostPresence(HostName(name.partition(":")[0]), name, "zone-a", "127.0.0.1:7000")
        for name in listed
    ]
    items = [KeyValue(PRESENCE_PREFIX + row.host, msgspec.json.encode(row), 1, 1) for row in rows]
    follower.reset(RangeResult(tuple(items), 1))
    follower.reset(RangeResult(tuple(items), 2))
    assert logged == expected

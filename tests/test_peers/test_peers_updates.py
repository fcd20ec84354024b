"""Answers of a watcher to hosts that are behind."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec
import pytest

from gradepoint.ids import Incarnation
from gradepoint.kv.service import KeyValue, RangeResult
from gradepoint.kv.view import PrefixView
from gradepoint.peers import watchers as watchers_module
from gradepoint.peers.watchers import BUSY_STATUS, ViewUpdates, Watchers
from gradepoint.wire.http_types import Request, Response

if TYPE_CHECKING:
    from collections.abc import AsyncIterator


class Ignoring:
    """A follower that ignores everything."""

    def reset(self, result: RangeResult) -> None:
        """Ignore a full read."""

    def change(self, event: object) -> None:
        """Ignore a change."""


async def read_nothing() -> AsyncIterator[bytes]:
    """Read an empty body."""
    return
    yield b""


def read_view(revision: int, count: int = 100) -> PrefixView:
    """Return a view after a first read of *count* keys at *revision*."""
    view = PrefixView(Ignoring())
    items = tuple(KeyValue(f"t/{n}", b"x" * 200, 1, 1, 0) for n in range(count))
    view.reset(RangeResult(items, revision))
    return view


def make_watchers(view: PrefixView) -> Watchers:
    """Return the watchers of a host with one view."""
    stub: Any = None
    return Watchers(
        stub, Incarnation("h:1"), stub, stub, {"targets": "t/"}, {"targets": view}, {}, set
    )


def ask(watchers: Watchers, query: str) -> Response:
    """Return the answer to a host that is behind."""
    return watchers.answer_update_request(Request("GET", f"/news?{query}", {}, read_nothing, 0))


def test_view_with_the_same_keys_is_not_sent_again() -> None:
    # Hosts that start together read at different revisions; each fetched whole views of 1 MB.
    watcher, reader = read_view(9), read_view(7)
    answer = ask(make_watchers(watcher), f"targets=7&targets-digest={reader.digest}")
    assert len(answer.body) < 100
    part = msgspec.msgpack.decode(answer.body, type=ViewUpdates).parts["targets"]
    reader.apply_update(part)
    assert reader.revision == 9
    assert reader.items.keys() == watcher.items.keys()
    other = read_view(7, count=99)
    answer = ask(make_watchers(watcher), f"targets=7&targets-digest={other.digest}")
    other.apply_update(msgspec.msgpack.decode(answer.body, type=ViewUpdates).parts["targets"])
    assert other.digest == watcher.digest


def test_updates_in_progress_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    # A watcher that answered 300 hosts at once exceeded its memory.
    monkeypatch.setattr(watchers_module, "MAX_UPDATE_BYTES", 50_000)
    watchers = make_watchers(read_view(9))
    answers = [ask(watchers, "targets=7") for _ in range(10)]
    sent = [answer for answer in answers if answer.status == 200]
    assert 1 <= len(sent) < 10
    assert sum(len(answer.body) for answer in sent) <= 50_000
    assert {answer.status for answer in answers} == {200, BUSY_STATUS}
    for answer in sent:
        assert answer.release is not None
        answer.release()
    assert ask(watchers, "targets=7").status == 200

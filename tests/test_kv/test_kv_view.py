"""Views of a prefix: stale reads must not undo changes, and missed changes must be caught up."""

from __future__ import annotations

import pytest

from gradepoint.kv.service import KeyValue, RangeResult, WatchEvent
from gradepoint.kv.view import PrefixView
from tests.support.views import ValuesFollower


def read(revision: int, **values: bytes) -> RangeResult:
    """Return the result of a full read."""
    items = tuple(KeyValue(key, value, 1) for key, value in values.items())
    return RangeResult(items, revision)


def make_view(revision: int, **values: bytes) -> tuple[PrefixView, ValuesFollower]:
    """Return a view that has read *values*, and the follower that it informs."""
    copy = ValuesFollower()
    view = PrefixView(copy)
    view.reset(read(revision, **values))
    return view, copy


def test_stale_list_does_not_undo_a_newer_change() -> None:
    """A target starts to drain while a read of all targets is in flight, and the read returns the
    state before. If the stale list is applied, the target receives requests again and for good,
    since the change is not delivered a second time.
    """
    view, copy = make_view(10, target=b"ready")
    view.change(WatchEvent("target", b"draining", 12))
    view.reset(read(11, target=b"ready"))
    assert copy.values == {"target": b"draining"}
    view.reset(read(12, target=b"draining"))
    assert copy.values == {"target": b"draining"}


def test_read_without_differences_is_not_sent_to_other_hosts() -> None:
    view, copy = make_view(10, a=b"1")
    view.reset(read(50, a=b"1"))
    assert view.revision == 10 and view.last_full_read_revision == 50
    assert view.make_update(10) is None
    assert copy.resets == 1


def test_missed_change_reaches_hosts_that_know_a_later_one() -> None:
    """Sender and receiver both miss the change at revision 11 and receive the one at 12."""
    sender, _ = make_view(10, a=b"1", b=b"1", c=b"1")
    receiver, copy = make_view(10, a=b"1", b=b"1", c=b"1")
    for view in (sender, receiver):
        view.change(WatchEvent("b", b"2", 12))
    sender.reset(read(20, a=b"2", b=b"2"))
    part = sender.make_update(receiver.revision)
    assert part is not None
    receiver.apply_update(part)
    assert copy.values == {"a": b"2", "b": b"2"}
    assert receiver.digest == sender.digest
    assert receiver.revision == sender.revision == 20


def test_snapshot_without_differences_is_fetched_once() -> None:
    sender, _ = make_view(30, a=b"1")
    receiver, _ = make_view(10, a=b"1")
    part = sender.make_update(receiver.revision)
    assert part is not None and part.whole
    receiver.apply_update(part)
    assert sender.make_update(receiver.revision) is None


class FailingFollower(ValuesFollower):
    """A follower that raises an exception as long as it is told to."""

    failing = False

    def reset(self, found: RangeResult) -> None:
        """See :meth:`Follower.reset`."""
        if self.failing:
            raise ZeroDivisionError
        super().reset(found)

    def change(self, event: WatchEvent) -> None:
        """See :meth:`Follower.change`."""
        if self.failing:
            raise ZeroDivisionError
        super().change(event)


def test_read_that_the_follower_failed_to_apply_is_applied_by_the_next_equal_one() -> None:
    # The view took it for known: the follower never got it, for as long as nothing changed.
    copy = FailingFollower()
    view = PrefixView(copy)
    copy.failing = True
    with pytest.raises(ZeroDivisionError):
        view.reset(read(10, a=b"1"))
    copy.failing = False
    view.reset(read(10, a=b"1"))
    assert copy.values == {"a": b"1"}
    view.reset(read(11, a=b"1"))
    assert copy.resets == 1


def test_change_that_the_follower_failed_to_apply_is_applied_by_the_next_read() -> None:
    copy = FailingFollower()
    view = PrefixView(copy)
    view.reset(read(10, a=b"1"))
    copy.failing = True
    with pytest.raises(ZeroDivisionError):
        view.change(WatchEvent("a", b"2", 11))
    copy.failing = False
    view.change(WatchEvent("b", b"3", 12))
    view.reset(read(12, a=b"2", b=b"3"))
    assert copy.values == {"a": b"2", "b": b"3"}


def test_update_that_the_follower_failed_to_apply_is_applied_when_it_is_fetched_again() -> None:
    sender, _ = make_view(10, a=b"1")
    copy = FailingFollower()
    view = PrefixView(copy)
    part = sender.make_update(0)
    assert part is not None
    copy.failing = True
    with pytest.raises(ZeroDivisionError):
        view.apply_update(part)
    copy.failing = False
    view.apply_update(part)
    assert copy.values == {"a": b"1"}

"""A host's copy of the keys below a prefix: what puts it right, and what must not put it back."""

from __future__ import annotations

from gradepoint.kv.service import KeyValue, RangeResult, WatchEvent
from gradepoint.kv.view import PrefixView
from tests.support.views import KeptValues


def read(revision: int, **values: bytes) -> RangeResult:
    """Return what a read of all keys found."""
    items = tuple(KeyValue(key, value, 1) for key, value in values.items())
    return RangeResult(items, revision)


def make_view(revision: int, **values: bytes) -> tuple[PrefixView, KeptValues]:
    """Return a view that has read *values*."""
    copy = KeptValues()
    view = PrefixView(copy)
    view.reset(read(revision, **values))
    return view, copy


def test_a_list_that_comes_late_does_not_put_a_newer_change_back() -> None:
    """A target says that it leaves while a read of all targets is under way. The answer tells what
    was true before; taken as it came, it made the target one to send to again, for good, since the
    change had been told already.
    """
    view, copy = make_view(10, target=b"ready")
    view.change(WatchEvent("target", b"draining", 12))
    view.reset(read(11, target=b"ready"))
    assert copy.values == {"target": b"draining"}
    view.reset(read(12, target=b"draining"))
    assert copy.values == {"target": b"draining"}


def test_a_read_that_says_nothing_new_is_no_news_for_others() -> None:
    view, copy = make_view(10, a=b"1")
    view.reset(read(50, a=b"1"))
    assert view.revision == 10 and view.read_to == 50
    assert view.tell(10) is None
    assert copy.resets == 1


def test_a_change_that_was_missed_reaches_hosts_that_know_later_ones() -> None:
    """The teller and the listener both missed the change at 11 and heard the one at 12."""
    teller, _ = make_view(10, a=b"1", b=b"1", c=b"1")
    listener, copy = make_view(10, a=b"1", b=b"1", c=b"1")
    for view in (teller, listener):
        view.change(WatchEvent("b", b"2", 12))
    teller.reset(read(20, a=b"2", b=b"2"))
    part = teller.tell(listener.revision)
    assert part is not None
    listener.take(part)
    assert copy.values == {"a": b"2", "b": b"2"}
    assert listener.digest == teller.digest
    assert listener.revision == teller.revision == 20


def test_a_whole_list_without_news_is_fetched_once() -> None:
    teller, _ = make_view(30, a=b"1")
    listener, _ = make_view(10, a=b"1")
    part = teller.tell(listener.revision)
    assert part is not None and part.whole
    listener.take(part)
    assert teller.tell(listener.revision) is None

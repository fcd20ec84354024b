"""The items of a job that have not ended and are not running, so that none of them is searched for.

Jobs wait with thousands of items for seconds, and each turn of the worker asks which of them may
start. Items are therefore moved when they start, stop or end, instead of being scanned.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right, insort
from heapq import heappop, heappush
from typing import TYPE_CHECKING, TypeVar

from ..util.structs import Struct, field

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator, Mapping

Row = TypeVar("Row", int, tuple[int, int])

EVERY_EVENT_COUNT = 1 << 62
"""Above the number of events of any item."""


class OpenItems(Struct):
    """The open items of one job, by what they wait for.

    :ivar startable: indices of the items that may start now, ascending.
    :ivar events: number of events of each idle item that has any, by index.
    :ivar by_events: number of events and index of each startable item that has any, ascending.
    :ivar delayed: monotonic time at which it may start again and index of idle items, as a heap.
        Items that have ended meanwhile are still in it.
    :ivar delays: those times by index.
    :ivar touched: idle items that have run or have a text; the others are all alike.
    :ivar ended: items that have ended.
    """

    startable: list[int]
    events: dict[int, int] = field(default_factory=dict)
    by_events: list[tuple[int, int]] = field(default_factory=list)
    delayed: list[tuple[float, int]] = field(default_factory=list)
    delays: dict[int, float] = field(default_factory=dict)
    touched: set[int] = field(default_factory=set)
    ended: set[int] = field(default_factory=set)

    @property
    def untouched_count(self) -> int:
        """Number of idle items that have neither run here nor have a text."""
        return len(self.startable) + len(self.delays) - len(self.touched)

    def list_untouched(self) -> Iterator[int]:
        """Yield the idle items that have neither run here nor have a text, ascending."""
        return (index for index in self.startable if index not in self.touched)

    def list_startable(
        self, after: int = -1, min_events: int = 0, max_events: int = EVERY_EVENT_COUNT
    ) -> Iterator[int]:
        """Yield the items that may start and have such a number of events, ascending.

        Items may start, stop and end while the result is read.

        :param after: index below the first one.
        :param max_events: number above the largest one.
        """
        if min_events > 0:
            yield from self._list_with_events(after, min_events, max_events)
            return
        index = after
        while (position := bisect_right(self.startable, index)) < len(self.startable):
            index = self.startable[position]
            if self.events.get(index, 0) < max_events:
                yield index

    def _list_with_events(self, after: int, min_events: int, max_events: int) -> list[int]:
        rows = self.by_events
        first, last = bisect_left(rows, (min_events, -1)), bisect_left(rows, (max_events, -1))
        return sorted(index for _, index in rows[first:last] if index > after)

    def find_min_events(self, is_enough: Callable[[int], bool]) -> int:
        """Return the smallest number of events of a startable item that is enough.

        :param is_enough: true for each number above one for which it is true.
        :returns: :data:`EVERY_EVENT_COUNT` if no item has enough.
        """
        position = bisect_left(self.by_events, True, key=lambda row: is_enough(row[0]))
        if position == len(self.by_events):
            return EVERY_EVENT_COUNT
        return self.by_events[position][0]

    def count_with_events(self, min_events: int) -> int:
        """Return how many startable items have at least *min_events* events, which is above 0."""
        return len(self.by_events) - bisect_left(self.by_events, (min_events, -1))

    def release_due(self, now: float) -> None:
        """Let the items start whose delay is over."""
        while self.delayed and self.delayed[0][0] <= now:
            delay, index = heappop(self.delayed)
            if self.delays.get(index) == delay:
                del self.delays[index]
                self._make_startable(index)

    def take(self, index: int) -> None:
        """Note that an item starts."""
        self._remove(index)

    def put_back(self, index: int, events: int, not_before: float, now: float) -> None:
        """Note that an item has stopped; do nothing if it has ended.

        :param events: number of its events so far.
        :param not_before: monotonic time before which it is not started again.
        """
        if index in self.ended:
            return
        self.touched.add(index)
        if events:
            self.events[index] = events
        if not_before <= now:
            self._make_startable(index)
        else:
            self.delays[index] = not_before
            heappush(self.delayed, (not_before, index))

    def end(self, index: int) -> None:
        """Note that an item has ended, whether it runs or not."""
        self.ended.add(index)
        self._remove(index)

    def _make_startable(self, index: int) -> None:
        insort(self.startable, index)
        if index in self.events:
            insort(self.by_events, (self.events[index], index))

    def _remove(self, index: int) -> None:
        events = self.events.pop(index, 0)
        self.touched.discard(index)
        if self.delays.pop(index, None) is None:
            _remove_sorted(self.startable, index)
            if events:
                _remove_sorted(self.by_events, (events, index))


def open_items_of(count: int, ended: Iterable[int], events: Mapping[int, int]) -> OpenItems:
    """Return the open items of a job of which none runs.

    :param events: number of events by index of the items that have a text.
    """
    ended_items = set(ended)
    startable = [index for index in range(count) if index not in ended_items]
    kept = {index: events[index] for index in startable if events.get(index)} if events else {}
    by_events = sorted((number, index) for index, number in kept.items())
    return OpenItems(startable, kept, by_events, touched=set(kept), ended=ended_items)


def _remove_sorted(rows: list[Row], row: Row) -> None:
    """Remove a row from an ascending list that may contain it."""
    position = bisect_left(rows, row)
    if position < len(rows) and rows[position] == row:
        del rows[position]

"""A bounded queue of online calls, fair between organisations and aware of deadlines."""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass, field
from typing import Generic, TypeVar

from ..errors import GradepointError

T = TypeVar("T")

EWMA_WEIGHT = 0.2


@dataclass
class FairQueue(Generic[T]):
    """Waiting calls of one model at one daemon; organisations take turns.

    :param bound: calls that may wait.
    :param service_s: smoothed seconds between two calls leaving the queue.
    """

    bound: int = 64
    service_s: float = 0.05
    lanes: OrderedDict[str, deque[T]] = field(default_factory=OrderedDict)
    size: int = 0
    last_left: float | None = None

    def expected_wait(self, organisation: str) -> float:
        """Return the seconds that a new call of *organisation* would wait.

        With turns, a call waits for those of its own lane and as many of each other.
        """
        ahead = len(self.lanes.get(organisation, ())) + 1
        turns = sum(
            min(ahead, len(lane)) for name, lane in self.lanes.items() if name != organisation
        )
        return (ahead + turns) * self.service_s

    def add(self, organisation: str, call: T, time_left_s: float) -> None:
        """Queue *call*.

        :raises GradepointError: ``model_saturated`` if the queue is full,
            ``queue_deadline`` if the call would not start in time.
        """
        wait = self.expected_wait(organisation)
        if self.size >= self.bound and len(self.lanes.get(organisation, ())) >= self._fair_share():
            raise GradepointError("model_saturated", retry_after=max(0.1, wait))
        if wait >= time_left_s:
            raise GradepointError("queue_deadline", retry_after=max(0.1, wait))
        self.lanes.setdefault(organisation, deque()).append(call)
        self.size += 1

    def take(self, now: float) -> T | None:
        """Return the next call, or None if none waits."""
        if not self.lanes:
            return None
        organisation, lane = next(iter(self.lanes.items()))
        call = lane.popleft()
        self.size -= 1
        del self.lanes[organisation]
        if lane:
            self.lanes[organisation] = lane
        if self.last_left is not None:
            self.service_s += EWMA_WEIGHT * (min(1.0, now - self.last_left) - self.service_s)
        self.last_left = now if self.size else None
        return call

    def discard(self, organisation: str, call: T) -> bool:
        """Remove a call that gave up waiting; return whether it was there."""
        lane = self.lanes.get(organisation)
        if lane is None or call not in lane:
            return False
        lane.remove(call)
        self.size -= 1
        if not lane:
            del self.lanes[organisation]
        return True

    def _fair_share(self) -> int:
        """Calls an organisation may have waiting in a full queue: a flood gets no more."""
        return max(1, self.bound // (len(self.lanes) + 1))

"""A bounded queue of online calls that is fair between organisations and observes deadlines."""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass, field
from typing import Generic, TypeVar

from ..errors import GradepointError

T = TypeVar("T")

EWMA_WEIGHT = 0.2


@dataclass
class FairQueue(Generic[T]):
    """Calls of one model that wait at one daemon; organisations are served in turn.

    :param bound: calls that may wait. A full queue still accepts calls of organisations that have
        less than their fair share waiting.
    :param service_s: moving average of the seconds between two calls that leave the queue.
    :ivar lanes: waiting calls by organisation, the organisation served next first.
    :ivar last_taken_at: time at which the last call left; None if the queue was empty then.
    """

    bound: int = 64
    service_s: float = 0.05
    lanes: OrderedDict[str, deque[T]] = field(default_factory=OrderedDict)
    size: int = 0
    last_taken_at: float | None = None

    def expected_wait(self, organisation: str) -> float:
        """Return the seconds that a new call of *organisation* would wait.

        The call waits for all calls in its own lane and, because lanes are served in turn, for up
        to as many in each other lane.
        """
        ahead = len(self.lanes.get(organisation, ())) + 1
        turns = sum(
            min(ahead, len(lane)) for name, lane in self.lanes.items() if name != organisation
        )
        return (ahead + turns) * self.service_s

    def add(self, organisation: str, call: T, time_left_s: float) -> None:
        """Add *call* to the queue.

        :param time_left_s: seconds until the call's deadline.
        :raises GradepointError: ``model_saturated`` if the queue is full, ``queue_deadline`` if the
            call would not start before its deadline.
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
        if self.last_taken_at is not None:
            self.service_s += EWMA_WEIGHT * (min(1.0, now - self.last_taken_at) - self.service_s)
        self.last_taken_at = now if self.size else None
        return call

    def discard(self, organisation: str, call: T) -> bool:
        """Remove a call that no longer waits; return whether it was in the queue."""
        lane = self.lanes.get(organisation)
        if lane is None or call not in lane:
            return False
        lane.remove(call)
        self.size -= 1
        if not lane:
            del self.lanes[organisation]
        return True

    def _fair_share(self) -> int:
        """Return how many calls one organisation may have waiting in a full queue.

        It keeps an organisation that sends a flood of calls from displacing the others.
        """
        return max(1, self.bound // (len(self.lanes) + 1))

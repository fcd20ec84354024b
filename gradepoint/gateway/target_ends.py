"""Tells a target's end from the loss of connections to it, and what was on it when it ended.

A broken connection says little: it may have been reset, or its way cut. A process that has ended
leaves its port closed, or another life of the target is listed at its address.
"""

from __future__ import annotations

import asyncio
import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from .. import events
from ..telemetry.logs import emit
from ..util.clock import monotonic
from ..util.tasks import TaskGroup
from ..wire.ports import PortState
from .identity import show_key
from .targets import ListedState

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from ..ids import TargetId
    from ..routing.suspects import Trial
    from .identity import RequestIdentity
    from .targets import Target, TargetSet

COMPARED_TARGETS = 8
"""Other targets that are looked at beside one that has ended, those of its failure domain first:
more than a rack of them, and less than a call costs."""
TOGETHER_S = 0.05
"""Seconds within which targets that lose power together are found closed: many times what two
looks take, and a fraction of the time between two calls of one caller."""
LEAST_TOGETHER = 3
"""Targets beside one that end with it by a loss of power at the least: several requests that end
targets may do so in the same moment."""
SHARE_TOGETHER = 1 / 3
"""Share of a service's targets that end together so."""
LEAST_IDLE = 2
"""Idle targets that end together so: one may have had a call that this host has not heard of."""
SUCCESSOR_S = 1.5
"""Seconds in which a new life has to be listed at the address of a target whose port is open
again: it writes its row as it starts, and hosts hear of it within a fraction of that."""
LOOK_WAIT_S = 0.05
"""Seconds for which a call's next try waits for a look: a closed port answers within a round trip;
a look at a target that says nothing takes five times as long."""
CLOSED_LOOK_S = 0.5
"""Seconds between looks at closed ports. A process that starts again has another life, which is
listed and used at once; only a target whose way was cut, and which lives on, waits for a look."""
LISTED_S = 2.0
"""Seconds after an answer up to which the list of targets has to be known whole, to say whose
answer it was: a target that starts writes its row well within them."""
LOGGED_REQUESTS = 16
"""Requests that one line names: twice the slots of a usual target."""


@dataclass
class TargetEnd:
    """The end of one life of a target.

    :param requests: calls and items that this host had there, and how.
    :param planned: it was leaving, so that no request was the cause.
    :param common: other targets have ended with it, so that no single request was the cause.
    """

    target: Target
    requests: list[tuple[RequestIdentity, Trial]]
    planned: bool
    common: bool


@dataclass
class TargetEnds:
    """Looks after targets whose connections break.

    :param look: tells what listens at ``IP:PORT``.
    :param elsewhere: calls that other hosts have in flight at a target.
    :param listed_at: returns the monotonic time up to which the list of targets is known whole.
    :param on_end: told of each end that this host saw, and *on_alive* of a target that answers
        after it was told as ended.
    :ivar checking: targets that are looked at now.
    """

    targets: TargetSet
    look: Callable[[str], Awaitable[PortState]]
    elsewhere: Callable[[TargetId], int] = lambda _: 0
    listed_at: Callable[[], float] = lambda: float("-inf")
    on_end: Callable[[TargetEnd], None] = lambda _: None
    on_alive: Callable[[Target], None] = lambda _: None
    checking: dict[TargetId, asyncio.Task[None]] = field(default_factory=dict)
    tasks: TaskGroup = field(default_factory=TaskGroup)

    def note_broken(self, target: Target) -> None:
        """Look whether a target has ended, since a connection to it broke.

        Call it before the broken call is taken off the target: all calls there break at once, and
        the first one finds the others.
        """
        if target.id not in self.checking:
            self.checking[target.id] = self.tasks.start(self._check(target, target.find_running()))

    def note_closed(self, target: Target) -> None:
        """Send no more calls to a target whose port is closed."""
        if target.closed_at is None:
            target.closed_at = monotonic()
            emit(events.TARGET_CLOSED, target=target.id)

    def note_told(self, target: Target) -> None:
        """Look at a target that another host tells as ended."""
        if target.closed_at is None and target.id not in self.checking:
            self.checking[target.id] = self.tasks.start(self._check_told(target))

    async def _check_told(self, target: Target) -> None:
        try:
            state = await self.look(target.address)
        finally:
            del self.checking[target.id]
        if state is PortState.CLOSED:
            self.note_closed(target)
        elif state is PortState.OPEN:
            target.doubted = True

    def note_answer(self, target: Target) -> None:
        """Take note of an answer, which a target that has ended does not give.

        Its next life does, under the same name; so the list of targets has to say the same.
        """
        if target.doubted:
            target.doubted = False
            self.tasks.start(self._confirm_alive(target, monotonic()))

    async def _confirm_alive(self, target: Target, answered_at: float) -> None:
        """Tell that a target lives if it is listed unchanged some time after its answer."""
        while self.listed_at() < answered_at + LISTED_S:
            await asyncio.sleep(CLOSED_LOOK_S)
            if self.targets.by_id.get(target.id) is not target:
                return
        if target.vanished_at is None and not self.targets.has_successor(target):
            self.on_alive(target)

    async def run_looks(self) -> None:
        """Look whether ports that were closed are open again, for ever."""
        while True:
            await asyncio.sleep(CLOSED_LOOK_S)
            closed = self.targets.find_closed()
            states = await asyncio.gather(*(self.look(target.address) for target in closed))
            for target, state in zip(closed, states, strict=True):
                if state is PortState.OPEN:
                    target.closed_at = None
                    target.doubted = True

    async def wait(self, target: Target) -> None:
        """Return once it is known whether a target's port is closed, if that is looked at.

        A closed port answers within a round trip; a target that says nothing holds up no call.
        """
        checking = self.checking.get(target.id)
        if checking is not None:
            await asyncio.wait([checking], timeout=LOOK_WAIT_S)

    async def _check(self, target: Target, requests: list[tuple[RequestIdentity, Trial]]) -> None:
        planned = target.listed.state is not ListedState.READY or target.vanished_at is not None
        try:
            state = await self.look(target.address)
            if state is PortState.CLOSED:
                self.note_closed(target)
                common = await self._find_others_ended(target)
                self._tell(TargetEnd(target, requests, planned, common))
        finally:
            del self.checking[target.id]
        if state is PortState.OPEN:
            self.tasks.start(self._await_successor(target, requests, planned=planned))

    async def _find_others_ended(self, target: Target) -> bool:
        """Look whether targets beside *target* have ended at the same time, so many or so idle that
        a loss of power is the cause, and no request that they had."""
        others = self.targets.find_beside(target)
        open_before = [other for other in others if other.closed_at is None][:COMPARED_TARGETS]
        states = await asyncio.gather(*(self.look(other.address) for other in open_before))
        for other, state in zip(open_before, states, strict=True):
            if state is PortState.CLOSED:
                self.note_closed(other)
        oldest = monotonic() - TOGETHER_S
        ended = [o for o in others if o.closed_at is not None and o.closed_at >= oldest]
        many = max(LEAST_TOGETHER, math.ceil(len(others) * SHARE_TOGETHER))
        return len(ended) >= many or sum(map(self._was_idle, ended)) >= LEAST_IDLE

    def _was_idle(self, target: Target) -> bool:
        """Whether a target had no call when it ended, as far as this host knows."""
        lately = target.left_at >= monotonic() - 2 * TOGETHER_S
        return not lately and not target.in_flight and not self.elsewhere(target.id)

    async def _await_successor(
        self, target: Target, requests: list[tuple[RequestIdentity, Trial]], *, planned: bool
    ) -> None:
        """Take a target for ended if another life of it is listed soon."""
        await asyncio.sleep(SUCCESSOR_S)
        if self.targets.has_successor(target):
            self._tell(TargetEnd(target, requests, planned, common=False))

    def _tell(self, end: TargetEnd) -> None:
        emit(
            events.TARGET_ENDED,
            target=end.target.id,
            requests=[show_key(request.key) for request, _ in end.requests[:LOGGED_REQUESTS]],
            planned=end.planned,
            common=end.common,
        )
        self.on_end(end)

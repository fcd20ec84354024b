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

MAX_PROBED_NEIGHBOURS = 8
"""Other targets that are looked at beside one that has ended, those of its failure domain first:
more than a rack of them, and less than a call costs."""
COMMON_END_WINDOW_S = 0.05
"""Seconds within which targets that lose power together are found closed: many times what two
looks take, and a fraction of the time between two calls of one caller."""
MIN_COMMON_ENDS = 3
"""Targets beside one that end with it by a loss of power at the least: several requests that end
targets may do so in the same moment."""
COMMON_END_SHARE = 1 / 3
"""Share of a service's targets that end together so."""
MIN_IDLE_ENDS = 2
"""Idle targets that end together so: one may have had a call that this host has not heard of."""
SUCCESSOR_TIMEOUT_S = 1.5
"""Seconds in which a new life has to be listed at the address of a target whose port is open
again: it writes its row as it starts, and hosts hear of it within a fraction of that."""
MAX_PROBE_WAIT_S = 0.05
"""Seconds for which a call's next try waits for a look: a closed port answers within a round trip;
a look at a target that says nothing takes five times as long."""
CLOSED_PROBE_INTERVAL_S = 0.5
"""Seconds between looks at closed ports. A process that starts again has another life, which is
listed and used at once; only a target whose way was cut, and which lives on, waits for a look."""
ALIVE_CONFIRM_S = 2.0
"""Seconds after an answer up to which the list of targets has to be known whole, to say whose
answer it was: a target that starts writes its row well within them."""
MAX_LOGGED_REQUESTS = 16
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

    :param probe: tells what listens at ``IP:PORT``.
    :param elsewhere: calls that other hosts have in flight at a target.
    :param list_proven_at: returns the monotonic time up to which the list is known whole.
    :param on_end: told of each end that this host saw, and *on_alive* of a target that answers
        after it was told as ended.
    :ivar probe_tasks: targets that are looked at now.
    """

    targets: TargetSet
    probe: Callable[[str], Awaitable[PortState]]
    elsewhere: Callable[[TargetId], int] = lambda _: 0
    list_proven_at: Callable[[], float] = lambda: float("-inf")
    on_end: Callable[[TargetEnd], None] = lambda _: None
    on_alive: Callable[[Target], None] = lambda _: None
    probe_tasks: dict[TargetId, asyncio.Task[None]] = field(default_factory=dict)
    tasks: TaskGroup = field(default_factory=TaskGroup)

    def note_broken(self, target: Target) -> None:
        """Look whether a target has ended, since a connection to it broke.

        Call it before the broken call is taken off the target: all calls there break at once, and
        the first one finds the others.
        """
        if target.id not in self.probe_tasks:
            self.probe_tasks[target.id] = self.tasks.start(
                self._probe_broken(target, target.list_running())
            )

    def note_closed(self, target: Target) -> None:
        """Send no more calls to a target whose port is closed."""
        if target.closed_at is None:
            target.closed_at = monotonic()
            emit(events.TARGET_CLOSED, target=target.id)

    def note_reported_end(self, target: Target) -> None:
        """Look at a target that another host tells as ended."""
        if target.closed_at is None and target.id not in self.probe_tasks:
            self.probe_tasks[target.id] = self.tasks.start(self._probe_reported(target))

    async def _probe_reported(self, target: Target) -> None:
        try:
            state = await self.probe(target.address)
        finally:
            del self.probe_tasks[target.id]
        if state is PortState.CLOSED:
            self.note_closed(target)
        elif state is PortState.OPEN:
            target.end_doubted = True

    def note_answer(self, target: Target) -> None:
        """Take note of an answer, which a target that has ended does not give.

        Its next life does, under the same name; so the list of targets has to say the same.
        """
        if target.end_doubted:
            target.end_doubted = False
            self.tasks.start(self._confirm_alive(target, monotonic()))

    async def _confirm_alive(self, target: Target, answered_at: float) -> None:
        """Tell that a target lives if it is listed unchanged some time after its answer."""
        while self.list_proven_at() < answered_at + ALIVE_CONFIRM_S:
            await asyncio.sleep(CLOSED_PROBE_INTERVAL_S)
            if self.targets.by_id.get(target.id) is not target:
                return
        if target.vanished_at is None and not self.targets.has_successor(target):
            self.on_alive(target)

    async def run_probes(self) -> None:
        """Look whether ports that were closed are open again, for ever."""
        while True:
            await asyncio.sleep(CLOSED_PROBE_INTERVAL_S)
            closed = self.targets.find_closed()
            states = await asyncio.gather(*(self.probe(target.address) for target in closed))
            for target, state in zip(closed, states, strict=True):
                if state is PortState.OPEN:
                    target.closed_at = None
                    target.end_doubted = True

    async def wait(self, target: Target) -> None:
        """Return once it is known whether a target's port is closed, if that is looked at.

        A closed port answers within a round trip; a target that says nothing holds up no call.
        """
        probe_tasks = self.probe_tasks.get(target.id)
        if probe_tasks is not None:
            await asyncio.wait([probe_tasks], timeout=MAX_PROBE_WAIT_S)

    async def _probe_broken(
        self, target: Target, requests: list[tuple[RequestIdentity, Trial]]
    ) -> None:
        planned = target.listed.state is not ListedState.READY or target.vanished_at is not None
        try:
            state = await self.probe(target.address)
            if state is PortState.CLOSED:
                self.note_closed(target)
                common = await self._have_others_ended(target)
                self._report_end(TargetEnd(target, requests, planned, common))
        finally:
            del self.probe_tasks[target.id]
        if state is PortState.OPEN:
            self.tasks.start(self._await_successor(target, requests, planned=planned))

    async def _have_others_ended(self, target: Target) -> bool:
        """Look whether targets beside *target* have ended at the same time, so many or so idle that
        a loss of power is the cause, and no request that they had."""
        others = self.targets.find_other_targets(target)
        open_before = [other for other in others if other.closed_at is None][:MAX_PROBED_NEIGHBOURS]
        states = await asyncio.gather(*(self.probe(other.address) for other in open_before))
        for other, state in zip(open_before, states, strict=True):
            if state is PortState.CLOSED:
                self.note_closed(other)
        oldest = monotonic() - COMMON_END_WINDOW_S
        ended = [o for o in others if o.closed_at is not None and o.closed_at >= oldest]
        min_ended = max(MIN_COMMON_ENDS, math.ceil(len(others) * COMMON_END_SHARE))
        return len(ended) >= min_ended or sum(map(self._was_idle, ended)) >= MIN_IDLE_ENDS

    def _was_idle(self, target: Target) -> bool:
        """Whether a target had no call when it ended, as far as this host knows."""
        recently_used = target.last_call_ended_at >= monotonic() - 2 * COMMON_END_WINDOW_S
        return not recently_used and not target.in_flight and not self.elsewhere(target.id)

    async def _await_successor(
        self, target: Target, requests: list[tuple[RequestIdentity, Trial]], *, planned: bool
    ) -> None:
        """Take a target for ended if another life of it is listed soon."""
        await asyncio.sleep(SUCCESSOR_TIMEOUT_S)
        if self.targets.has_successor(target):
            self._report_end(TargetEnd(target, requests, planned, common=False))

    def _report_end(self, end: TargetEnd) -> None:
        emit(
            events.TARGET_ENDED,
            target=end.target.id,
            requests=[show_key(request.key) for request, _ in end.requests[:MAX_LOGGED_REQUESTS]],
            planned=end.planned,
            common=end.common,
        )
        self.on_end(end)

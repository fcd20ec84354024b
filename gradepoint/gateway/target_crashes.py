"""Detects crashed targets, and determines which requests were running on them.

A broken connection alone is no proof of a crash: it may have been reset, or the network may have
failed. After a process dies, its port is closed, or another incarnation is listed at its
address.
"""

from __future__ import annotations

import asyncio
import math
from enum import Enum
from typing import TYPE_CHECKING

from .. import events
from ..telemetry.logs import emit
from ..util.clock import monotonic
from ..util.structs import Struct, field
from ..util.tasks import TaskGroup, locate_error
from ..wire.ports import PortState
from .identity import format_key
from .targets import ListedState

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from ..ids import TargetId
    from .targets import RunningRequest, Target, TargetSet

MAX_PROBED_NEIGHBOURS = 8
"""Maximum number of other targets that are probed when one has crashed, same failure domain first.
They cover more than a rack, and the probes cost less than one call."""
COMMON_CRASH_WINDOW_S = 0.05
"""Seconds within which targets that lose power together are found closed. It is many times the
duration of two probes, and a fraction of the time between two calls of one caller."""
MIN_COMMON_CRASHES = 3
"""Minimum number of other targets that crash at the same time by a loss of power. Fewer could have
been crashed by several harmful requests at once."""
COMMON_CRASH_SHARE = 1 / 3
"""Minimum fraction of a service's other targets that crash at the same time by a loss of power."""
MIN_IDLE_CRASHES = 2
"""Minimum number of idle targets that crash at the same time by a loss of power, whatever the
number of all that crash. A single one may have had a call that this host doesn't know of."""
SUCCESSOR_TIMEOUT_S = 1.5
"""Seconds in which a new incarnation has to be listed at a target's address if the port is open
when it is probed. A target writes its row when it starts, and hosts see the row within a fraction
of this time."""
MAX_PROBE_WAIT_S = 0.05
"""Maximum seconds that a retry waits for a probe. A closed port answers within a round trip; a
probe of a target that doesn't answer takes five times as long as this."""
CLOSED_PROBE_INTERVAL_S = 0.5
"""Seconds between probes of closed ports. A restarted target is listed as a new incarnation and
used at once; only a target that kept running behind a network failure waits for a probe."""
ALIVE_CONFIRM_S = 2.0
"""Seconds after an answer up to which the list of targets has to be complete before the answer is
attributed to an incarnation. A target that starts writes its row well within this time."""
MAX_LOGGED_REQUESTS = 16
"""Maximum number of requests in one log line: twice the slots of a typical target."""


class CrashExtent(Enum):
    """What else crashed together with a target.

    ``SINGLE``: hardly any other target. ``SEVERAL``: many other targets, which a loss of power may
    have caused, or prompts with the same part. ``POWER_LOSS``: idle targets among them, which no
    request can have crashed.
    """

    SINGLE = "single"
    SEVERAL = "several"
    POWER_LOSS = "power_loss"


class TargetCrash(Struct):
    """The crash of one incarnation of a target.

    :param requests: requests of this host that were running there.
    :param planned: the target was draining or delisted, so that no request is the cause.
    :param extent: what else crashed at the same time.
    """

    target: Target
    requests: list[RunningRequest]
    planned: bool
    extent: CrashExtent = CrashExtent.SINGLE

    @property
    def common(self) -> bool:
        """Whether other targets crashed at the same time, so that no single request is the
        cause."""
        return self.extent is not CrashExtent.SINGLE


class CrashDetector(Struct):
    """Probes targets whose connections break, and reports those that have crashed.

    :param probe: returns the state of the port at ``IP:PORT``.
    :param remote_in_flight: returns the number of calls that other hosts have in flight at a
        target.
    :param list_proven_at: returns the monotonic time up to which the list of targets is known to
        be complete.
    :param on_crash: called with each crash that this host detects.
    :param on_alive: called with a target that answers after it was reported as crashed.
    :ivar probe_tasks: running probes by target.
    """

    targets: TargetSet
    probe: Callable[[str], Awaitable[PortState]]
    remote_in_flight: Callable[[TargetId], int] = lambda _: 0
    list_proven_at: Callable[[], float] = lambda: float("-inf")
    on_crash: Callable[[TargetCrash], None] = lambda _: None
    on_alive: Callable[[Target], None] = lambda _: None
    probe_tasks: dict[TargetId, asyncio.Task[None]] = field(default_factory=dict)
    tasks: TaskGroup = field(default_factory=TaskGroup)

    def note_broken(self, target: Target) -> None:
        """Probe a target after a connection to it broke.

        Call this before :meth:`Target.end`: all calls of a crashed target break at once, and the
        first one has to find the others still running.
        """
        if target.id not in self.probe_tasks:
            self.probe_tasks[target.id] = self.tasks.start(
                self._probe_broken(target, target.list_running())
            )

    def note_closed(self, target: Target) -> None:
        """Mark a target whose port is closed, so that it gets no more calls."""
        if target.closed_at is None:
            target.closed_at = monotonic()
            emit(events.TARGET_CLOSED, target=target.id)

    def note_reported_crash(self, target: Target) -> None:
        """Probe a target that another host reports as crashed."""
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
            target.crash_doubted = True

    def note_answer(self, target: Target) -> None:
        """Note an answer from a target, which shows that a report of its crash may be wrong.

        The answer may also come from its next incarnation, which has the same name, so that the
        list of targets has to confirm it.
        """
        if target.crash_doubted:
            target.crash_doubted = False
            self.tasks.start(self._confirm_alive(target, monotonic()))

    async def _confirm_alive(self, target: Target, answered_at: float) -> None:
        """Report a target as alive if it is still listed some time after its answer."""
        while self.list_proven_at() < answered_at + ALIVE_CONFIRM_S:
            await asyncio.sleep(CLOSED_PROBE_INTERVAL_S)
            if self.targets.by_id.get(target.id) is not target:
                return
        if target.vanished_at is None and not self.targets.has_successor(target):
            self.on_alive(target)

    async def run_probes(self) -> None:
        """Probe closed ports periodically, forever, and use targets again whose port is open."""
        while True:
            await asyncio.sleep(CLOSED_PROBE_INTERVAL_S)
            closed = self.targets.find_closed()
            await asyncio.gather(*map(self._probe_closed, closed))

    async def _probe_closed(self, target: Target) -> None:
        """Use a target with a closed port again if the port is open."""
        try:
            state = await self.probe(target.address)
        except Exception as error:
            emit(
                events.TASK_FAILED,
                task=f"probe of {target.id}",
                reason=repr(error),
                where=locate_error(error),
            )
            return
        if state is PortState.OPEN:
            target.closed_at = None
            target.crash_doubted = True

    async def wait(self, target: Target) -> None:
        """Wait for a running probe of a target, at most :data:`MAX_PROBE_WAIT_S` seconds.

        A retry after this knows whether the port is closed, since a closed port answers within a
        round trip. A target that doesn't answer at all doesn't delay calls further.
        """
        probe_task = self.probe_tasks.get(target.id)
        if probe_task is not None:
            await asyncio.wait([probe_task], timeout=MAX_PROBE_WAIT_S)

    async def confirm_running(self, target: Target) -> bool:
        """Whether a target still listens, after it closed a connection in order.

        The system closes the connections of a process that dies in the same way. A target that is
        draining or delisted may end after its last answer.
        """
        if _is_planned(target):
            return True
        if target.closed_at is None:
            try:
                async with asyncio.timeout(MAX_PROBE_WAIT_S):
                    state = await self.probe(target.address)
            except TimeoutError:
                return True
            if state is not PortState.CLOSED:
                return True
            self.note_broken(target)
        return False

    async def _probe_broken(self, target: Target, requests: list[RunningRequest]) -> None:
        planned = _is_planned(target)
        try:
            state = await self.probe(target.address)
            if state is PortState.CLOSED:
                self.note_closed(target)
                extent = await self._find_extent(target)
                self._report_crash(TargetCrash(target, requests, planned, extent))
        finally:
            del self.probe_tasks[target.id]
        if state is PortState.OPEN:
            self.tasks.start(self._await_successor(target, requests, planned=planned))

    async def _find_extent(self, target: Target) -> CrashExtent:
        """Find out what else crashed together with a target."""
        others = self.targets.find_other_targets(target)
        open_before = [other for other in others if other.closed_at is None][:MAX_PROBED_NEIGHBOURS]
        states = await asyncio.gather(*(self.probe(other.address) for other in open_before))
        for other, state in zip(open_before, states, strict=True):
            if state is PortState.CLOSED:
                self.note_closed(other)
        oldest = monotonic() - COMMON_CRASH_WINDOW_S
        crashed = [o for o in others if o.closed_at is not None and o.closed_at >= oldest]
        min_crashed = max(MIN_COMMON_CRASHES, math.ceil(len(others) * COMMON_CRASH_SHARE))
        if sum(map(self._was_idle, crashed)) >= MIN_IDLE_CRASHES:
            return CrashExtent.POWER_LOSS
        return CrashExtent.SEVERAL if len(crashed) >= min_crashed else CrashExtent.SINGLE

    def _was_idle(self, target: Target) -> bool:
        """Whether a target had no calls when it crashed, as far as this host knows."""
        recently_used = target.last_call_ended_at >= monotonic() - 2 * COMMON_CRASH_WINDOW_S
        return not recently_used and not target.in_flight and not self.remote_in_flight(target.id)

    async def _await_successor(
        self, target: Target, requests: list[RunningRequest], *, planned: bool
    ) -> None:
        """Report a target as crashed if another incarnation is listed soon."""
        await asyncio.sleep(SUCCESSOR_TIMEOUT_S)
        if self.targets.has_successor(target):
            self._report_crash(TargetCrash(target, requests, planned))

    def _report_crash(self, crash: TargetCrash) -> None:
        logged = [running.request for running in crash.requests[:MAX_LOGGED_REQUESTS]]
        emit(
            events.TARGET_ENDED,
            target=crash.target.id,
            requests=[format_key(request.key) for request in logged],
            parts=[request.prompt_parts for request in logged],
            planned=crash.planned,
            common=crash.common,
            extent=crash.extent.value,
        )
        self.on_crash(crash)


def _is_planned(target: Target) -> bool:
    """Whether a target is draining or delisted, so that its end is planned."""
    return target.listed.state is not ListedState.READY or target.vanished_at is not None

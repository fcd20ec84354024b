"""Tells a target's end from the loss of connections to it, and what was on it when it ended.

A broken connection says little: it may have been reset, or its way cut. A process that has ended
leaves its port closed, or another life of the target is listed at its address.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from .. import events
from ..telemetry.logs import emit
from ..util.tasks import TaskGroup
from ..wire.ports import PortState
from .identity import show_key
from .targets import ListedState

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from ..ids import TargetId
    from .identity import RequestIdentity
    from .targets import Target, TargetSet

COMPARED_TARGETS = 8
"""Other targets that are looked at beside one that has ended, those of its failure domain first:
more than a rack of them, and less than a call costs."""
SUCCESSOR_S = 1.5
"""Seconds in which a new life has to be listed at the address of a target whose port is open
again: it writes its row as it starts, and hosts hear of it within a fraction of that."""
LOGGED_REQUESTS = 16
"""Requests that one line names: twice the slots of a usual target."""


@dataclass
class TargetEnd:
    """The end of one life of a target.

    :param requests: calls and items that this host had there.
    :param planned: it was leaving, so that no request was the cause.
    :param common: other targets have ended with it, so that no single request was the cause.
    """

    target: Target
    requests: list[RequestIdentity]
    planned: bool
    common: bool


@dataclass
class TargetEnds:
    """Looks after targets whose connections break.

    :param look: tells what listens at ``IP:PORT``.
    :param on_end: told of each end.
    :ivar checking: targets that are looked at now.
    """

    targets: TargetSet
    look: Callable[[str], Awaitable[PortState]]
    on_end: Callable[[TargetEnd], None] = lambda _: None
    checking: dict[TargetId, asyncio.Task[None]] = field(default_factory=dict)
    tasks: TaskGroup = field(default_factory=TaskGroup)

    def note_broken(self, target: Target) -> None:
        """Look whether a target has ended, since a connection to it broke.

        Call it before the broken call is taken off the target: all calls there break at once, and
        the first one finds the others.
        """
        if target.id not in self.checking:
            self.checking[target.id] = self.tasks.start(self._check(target, list(target.running)))

    async def wait(self, target: Target) -> None:
        """Return once it is known whether a target's port is closed, if that is looked at."""
        checking = self.checking.get(target.id)
        if checking is not None:
            await asyncio.wait([checking])

    async def _check(self, target: Target, requests: list[RequestIdentity]) -> None:
        planned = target.listed.state is not ListedState.READY or target.vanished_at is not None
        try:
            state = await self.look(target.address)
            if state is PortState.CLOSED:
                common = await self._find_others_ended(target)
                self._tell(TargetEnd(target, requests, planned, common))
        finally:
            del self.checking[target.id]
        if state is PortState.OPEN:
            self.tasks.start(self._await_successor(target, requests, planned=planned))

    async def _find_others_ended(self, target: Target) -> bool:
        """Look whether targets beside *target* have ended as well."""
        others = self.targets.find_beside(target)[:COMPARED_TARGETS]
        states = await asyncio.gather(*(self.look(other.address) for other in others))
        return PortState.CLOSED in states

    async def _await_successor(
        self, target: Target, requests: list[RequestIdentity], *, planned: bool
    ) -> None:
        """Take a target for ended if another life of it is listed soon."""
        await asyncio.sleep(SUCCESSOR_S)
        if self.targets.has_successor(target):
            self._tell(TargetEnd(target, requests, planned, common=False))

    def _tell(self, end: TargetEnd) -> None:
        emit(
            events.TARGET_ENDED,
            target=end.target.id,
            requests=[show_key(request.key) for request in end.requests[:LOGGED_REQUESTS]],
            planned=end.planned,
            common=end.common,
        )
        self.on_end(end)

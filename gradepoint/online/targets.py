"""The targets that one entry uses: views kept across configuration versions."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from .. import events
from ..config.document import TargetState
from ..config.resolve import targets_for
from ..errors import GradepointError, TargetFailure
from ..routing.choice import TargetView, choose_subset, choose_target, share_of_target
from ..routing.queue import FairQueue
from ..telemetry.logs import emit
from ..util.clock import monotonic

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from ..config.document import Document
    from ..config.resolve import ResolvedModel
    from ..config.versions import InForce


@dataclass(eq=False)
class Waiter:
    """One call that waits for a free target."""

    future: asyncio.Future[TargetView]
    prefix: str
    excluded: frozenset[str]


@dataclass
class TargetPool:
    """Targets and waiting calls of all models at one entry.

    :param most_in_flight: calls this entry may have at one target at the very most.
    :param daemons: live entries that share the targets.
    """

    config: InForce
    daemon: str
    subset_size: int
    most_in_flight: int
    rng: random.Random
    views: dict[str, TargetView] = field(default_factory=dict)
    urls: dict[str, str] = field(default_factory=dict)
    queues: dict[str, FairQueue[Waiter]] = field(default_factory=dict)
    by_model: dict[str, list[TargetView]] = field(default_factory=dict)
    totals: dict[str, int] = field(default_factory=dict)
    changed: set[str] = field(default_factory=set)
    version: int = 0
    clock: Callable[[], float] = monotonic
    daemons: Callable[[], int] = lambda: 1

    def candidates(self, model: ResolvedModel) -> list[TargetView]:
        """Return the views of the targets that this entry uses for *model*."""
        document = self.config.document
        if self.version != self.config.version:
            self._reload(document)
        name = model.engine_name
        if name not in self.by_model:
            targets = targets_for(document, model, batch=False)
            subset = choose_subset(self.daemon, targets, self.subset_size)
            self.totals[name] = len(targets)
            self.by_model[name] = [self.views[target.name] for target in subset]
        return self.by_model[name]

    def _reload(self, document: Document) -> None:
        self.version = self.config.version
        self.by_model.clear()
        for target in document.targets:
            view = self.views.get(target.name)
            if view is None or self.urls.get(target.name) != target.url:
                view = TargetView(target.name, target.slots, target.failure_domain)
                self.views[target.name] = view
            view.slots = target.slots
            self.urls[target.name] = target.url

    async def acquire(
        self,
        model: ResolvedModel,
        organisation: str,
        prefix: str,
        deadline: float,
        excluded: frozenset[str] = frozenset(),
    ) -> TargetView:
        """Return a target for one call, counted as in flight; wait in turn if none is free.

        :param excluded: targets that failed this call before; used only if no others are.
        :raises GradepointError: ``no_target``, ``target_unreachable``, ``model_saturated``
            or ``queue_deadline``.
        """
        candidates = self.candidates(model)
        if not candidates:
            raise GradepointError("no_target", f"No target serves {model.engine_name!r}.")
        queue = self.queues.setdefault(model.engine_name, FairQueue())
        if not queue.size:
            view = self._choose(model, prefix, excluded)
            if view is not None:
                self._count(view, 1)
                return view
        now = self.clock()
        if not any(view.circuit.admits(now) for view in candidates):
            raise GradepointError("target_unreachable", retry_after=1.0)
        waiter = Waiter(asyncio.get_running_loop().create_future(), prefix, excluded)
        queue.add(organisation, waiter, deadline - now)
        try:
            async with asyncio.timeout(deadline - now):
                return await waiter.future
        except BaseException as error:
            queue.discard(organisation, waiter)
            if waiter.future.done() and not waiter.future.cancelled():
                self.release(waiter.future.result(), model)
            if isinstance(error, TimeoutError):
                raise GradepointError("queue_deadline") from error
            raise

    def _count(self, view: TargetView, change: int) -> None:
        view.in_flight += change
        self.changed.add(view.name)
        if change > 0:
            view.circuit.begin(self.clock())
        else:
            view.circuit.end()

    def _choose(
        self, model: ResolvedModel, prefix: str, excluded: frozenset[str]
    ) -> TargetView | None:
        candidates = self.candidates(model)
        fresh = [view for view in candidates if view.name not in excluded] or candidates
        slots = min(view.slots for view in candidates)
        total = self.totals[model.engine_name]
        share = share_of_target(slots, total, self.subset_size, self.daemons())
        most = min(self.most_in_flight, share)
        return choose_target(fresh, prefix, self.clock(), self.rng, most)

    def release(self, view: TargetView, model: ResolvedModel) -> None:
        """Note the end of a call at a target and let the next one go."""
        self._count(view, -1)
        queue = self.queues.get(model.engine_name)
        while queue is not None and queue.size:
            chosen = self._choose(model, "", frozenset())
            if chosen is None:
                return
            waiter = queue.take(self.clock())
            if waiter is not None and not waiter.future.done():
                self._count(chosen, 1)
                waiter.future.set_result(chosen)
                return

    def note_failure(self, view: TargetView, failure: TargetFailure) -> None:
        """Count a failure against a target; a refusal is no fault of it."""
        if failure.code == "target_refused":
            return
        if view.circuit.failed(self.clock()):
            emit(events.TARGET_EJECTED, target=view.name, code=failure.code)

    def leaving_in_flight(self) -> dict[str, int]:
        """Return calls in progress at targets that take no new work."""
        counts: dict[str, int] = {}
        for name, view in self.views.items():
            target = self.config.targets.get(name)
            if view.in_flight and (target is None or target.state is not TargetState.ACTIVE):
                counts[name] = view.in_flight
        return counts

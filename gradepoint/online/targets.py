"""The pool of targets of one entry, with a queue of waiting calls per model.

The view of a target (calls in flight, circuit breaker) survives configuration changes as
long as the URL of the target stays the same.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from .. import events
from ..config.document import TargetState
from ..config.resolve import targets_for
from ..errors import GradepointError, TargetFailure
from ..routing.choice import TargetView, choose_subset, choose_target, max_calls_at_target
from ..routing.queue import FairQueue
from ..telemetry.logs import emit
from ..util.clock import monotonic

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from ..config.document import Document
    from ..config.resolve import ResolvedModel
    from ..config.versions import ConfigInForce


@dataclass(eq=False)
class QueuedCall:
    """A call that waits for a free target.

    :param excluded: targets that are used only if there are no others.
    """

    future: asyncio.Future[TargetView]
    prefix: str
    excluded: frozenset[str]


@dataclass
class TargetPool:
    """Targets and waiting calls of all models at one entry.

    :param host: name of this host; selects its subset of the targets.
    :param subset_size: number of targets of a model that this entry uses.
    :param max_in_flight: upper limit of the calls that this entry has in flight at one target.
    :param queues: waiting calls by model.
    :param subsets: the targets that this entry uses, by model.
    :param target_counts: number of all targets that serve a model.
    :param changed_targets: targets whose in-flight count changed since the last notice.
    :param version: configuration version that *subsets* is based on.
    :param count_entries: returns the number of live entries that share the targets.
    """

    config: ConfigInForce
    host: str
    subset_size: int
    max_in_flight: int
    rng: random.Random
    views: dict[str, TargetView] = field(default_factory=dict)
    urls: dict[str, str] = field(default_factory=dict)
    queues: dict[str, FairQueue[QueuedCall]] = field(default_factory=dict)
    subsets: dict[str, list[TargetView]] = field(default_factory=dict)
    target_counts: dict[str, int] = field(default_factory=dict)
    changed_targets: set[str] = field(default_factory=set)
    version: int = 0
    clock: Callable[[], float] = monotonic
    count_entries: Callable[[], int] = lambda: 1

    def candidates(self, model: ResolvedModel) -> list[TargetView]:
        """Return the views of the targets that this entry uses for *model*."""
        document = self.config.document
        if self.version != self.config.version:
            self._reload(document)
        name = model.engine_name
        if name not in self.subsets:
            targets = targets_for(document, model, batch=False)
            subset = choose_subset(self.host, targets, self.subset_size)
            self.target_counts[name] = len(targets)
            self.subsets[name] = [self.views[target.name] for target in subset]
        return self.subsets[name]

    def _reload(self, document: Document) -> None:
        self.version = self.config.version
        self.subsets.clear()
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
        """Reserve a target for one call; wait in the queue of the model if none is free.

        The call counts as in flight until :meth:`release`.

        :param deadline: monotonic seconds.
        :param excluded: targets already used for this call; used again only if there are no
            others.
        :raises GradepointError: ``no_target``, ``target_unreachable``, ``model_saturated``
            or ``queue_deadline``.
        """
        candidates = self.candidates(model)
        if not candidates:
            raise GradepointError("no_target", f"No target serves {model.engine_name!r}.")
        queue = self.queues.setdefault(model.engine_name, FairQueue())
        if not queue.size:
            view = self._choose_target(model, prefix, excluded)
            if view is not None:
                self._adjust_in_flight(view, 1)
                return view
        now = self.clock()
        if not any(view.circuit.admits(now) for view in candidates):
            raise GradepointError("target_unreachable", retry_after=1.0)
        queued = QueuedCall(asyncio.get_running_loop().create_future(), prefix, excluded)
        queue.add(organisation, queued, deadline - now)
        try:
            async with asyncio.timeout(deadline - now):
                return await queued.future
        except BaseException as error:
            queue.discard(organisation, queued)
            if queued.future.done() and not queued.future.cancelled():
                self.release(queued.future.result(), model)
            if isinstance(error, TimeoutError):
                raise GradepointError("queue_deadline") from error
            raise

    def _adjust_in_flight(self, view: TargetView, change: int) -> None:
        view.in_flight += change
        self.changed_targets.add(view.name)
        if change > 0:
            view.circuit.begin(self.clock())
        else:
            view.circuit.end()

    def _choose_target(
        self, model: ResolvedModel, prefix: str, excluded: frozenset[str]
    ) -> TargetView | None:
        candidates = self.candidates(model)
        untried = [view for view in candidates if view.name not in excluded] or candidates
        slots = min(view.slots for view in candidates)
        total = self.target_counts[model.engine_name]
        share = max_calls_at_target(slots, total, self.subset_size, self.count_entries())
        limit = min(self.max_in_flight, share)
        return choose_target(untried, prefix, self.clock(), self.rng, limit)

    def release(self, view: TargetView, model: ResolvedModel) -> None:
        """End a call at a target and start the next waiting call of the model, if possible."""
        self._adjust_in_flight(view, -1)
        queue = self.queues.get(model.engine_name)
        while queue is not None and queue.size:
            chosen = self._choose_target(model, "", frozenset())
            if chosen is None:
                return
            queued = queue.take(self.clock())
            if queued is not None and not queued.future.done():
                self._adjust_in_flight(chosen, 1)
                queued.future.set_result(chosen)
                return

    def note_failure(self, view: TargetView, failure: TargetFailure) -> None:
        """Count a failure towards the ejection of a target; a refusal is not a fault."""
        if failure.code == "target_refused":
            return
        if view.circuit.failed(self.clock()):
            emit(events.TARGET_EJECTED, target=view.name, code=failure.code)

    def leaving_in_flight(self) -> dict[str, int]:
        """Return the calls in flight at targets that receive no new calls, by target."""
        counts: dict[str, int] = {}
        for name, view in self.views.items():
            target = self.config.targets.get(name)
            if view.in_flight and (target is None or target.state is not TargetState.ACTIVE):
                counts[name] = view.in_flight
        return counts

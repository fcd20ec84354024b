"""The simulated fleet: engines, entries and batch feeders on a simpy clock.

Engines are :class:`gradepoint.standins.engine_model.EngineModel`. Target choice, circuit breakers,
retry decisions, queues and batch windows are gradepoint's own code. The latencies between callers
and failure domains are those of the specified deployments.
"""

from __future__ import annotations

import random
from collections import Counter, deque
from collections.abc import Generator
from dataclasses import dataclass, field
from typing import Any

import simpy

from bench.traces import Kind, TraceLine
from gradepoint.config.document import Target
from gradepoint.errors import GradepointError
from gradepoint.routing.batch_window import LoadReport, merge_notices
from gradepoint.routing.choice import TargetView, choose_subset, max_calls_at_target
from gradepoint.routing.limits import OrganisationLimits
from gradepoint.routing.queue import FairQueue
from gradepoint.routing.retries import CallProgress, RetryBudget, Verdict, decide_after_failure
from gradepoint.standins.engine_model import EngineModel, EngineParameters, Sequence

from .policies import Policy

FEED_INTERVAL_S = 0.05
"""Seconds between two looks of a feeder at its target's load."""
NOTICE_S = 0.02
"""Seconds during which an entry collects changes of its calls in flight before it sends them to a
feeder."""

RUNNER = EngineParameters(
    slots=48,
    step_s=0.025,
    sequence_s=0.0001,
    prefill_token_s=0.00007,
    prefill_chunk=512,
    kv_tokens=120000,
    cache_tokens=30000,
)
"""A runner with four accelerators, from a roofline estimate (docs/design/engine-model.md)."""


@dataclass(frozen=True)
class FleetShape:
    """Size and latencies of a simulated fleet.

    :param entries: number of entries that receive the callers' online calls.
    :param runners: number of targets.
    :param domain_s: one-way latency between failure domains in seconds.
    :param caller_s: one-way latency between callers and entries in seconds.
    :param report_lag_s: age of load reports in seconds when a feeder reads them.
    :param tail_preference: 0 favours batch throughput, 1 the tail latency of online calls.
    :param subset: number of targets of a model that one entry uses.
    """

    name: str
    entries: int
    runners: int
    domains: int = 3
    models: int = 1
    domain_s: float = 0.001
    caller_s: float = 0.003
    report_lag_s: float = 0.2
    tail_preference: float = 0.5
    subset: int = 8
    parameters: EngineParameters = RUNNER


@dataclass
class Call:
    """One online call in progress.

    :ivar entry: number of the entry that received it.
    :ivar generated: tokens generated so far; they survive a retry.
    :ivar first_token: seconds from arrival to the first token.
    :ivar last_token: simulated time of the last token at the caller.
    :ivar view: the entry's view of the target that holds the call, None while it is queued.
    """

    line: TraceLine
    arrived: float
    progress: CallProgress
    entry: int
    generated: int = 0
    first_token: float | None = None
    last_token: float | None = None
    sequence: Sequence | None = None
    view: TargetView | None = None


@dataclass
class Item:
    """One batch item; the tokens *generated* so far survive a cancellation."""

    org: str
    prompt_tokens: int
    output_tokens: int
    generated: int = 0
    sequence: Sequence | None = None


@dataclass
class Metrics:
    """Raw measurements of a run.

    :ivar first_token: seconds to first token of each online call.
    :ivar between: seconds between two tokens of an online call.
    :ivar tries: attempts of online calls at targets.
    :ivar refused: number of rejected online calls by error code.
    :ivar wasted_tokens: tokens whose computation was lost by a cancellation or preemption.
    :ivar online_slot_s: slot seconds that online calls used; :attr:`batch_slot_s` those of batch.
    :ivar prefill_s: engine seconds spent on prefill.
    """

    first_token: list[float] = field(default_factory=list)
    between: list[float] = field(default_factory=list)
    batch_tokens: int = 0
    batch_items: int = 0
    online_tokens: int = 0
    calls: int = 0
    completed: int = 0
    lost: int = 0
    tries: int = 0
    refused: Counter[str] = field(default_factory=Counter)
    by_org: Counter[str] = field(default_factory=Counter)
    org_first: dict[str, list[float]] = field(default_factory=dict)
    cancels: int = 0
    preemptions: int = 0
    wasted_tokens: int = 0
    online_slot_s: float = 0.0
    batch_slot_s: float = 0.0
    prefill_s: float = 0.0
    yields: list[float] = field(default_factory=list)


class SimEngine:
    """One simulated target: an engine and its delayed load reports.

    :ivar owners: call or item of each sequence by the sequence's name.
    :ivar reports: load reports with their times. The oldest one is what readers see.
    """

    def __init__(self, sim: Simulation, target: Target, parameters: EngineParameters) -> None:
        self.sim = sim
        self.target = target
        self.model = EngineModel(parameters)
        self.owners: dict[str, Call | Item] = {}
        self.reports: deque[tuple[float, LoadReport]] = deque([(0.0, LoadReport(0, 0, 0, 0, 0))])
        self.wake = sim.env.event()
        self.down = False
        self.draining = False
        self.generation = 0
        sim.env.process(self.run())

    def submit(self, owner: Call | Item, sequence: Sequence) -> None:
        """Queue a sequence on the engine and wake the engine if it is idle."""
        owner.sequence = sequence
        self.owners[sequence.name] = owner
        self.model.submit(sequence)
        if not self.wake.triggered:
            self.wake.succeed()

    def cancel(self, sequence: Sequence) -> None:
        """Remove a sequence from the engine."""
        self.owners.pop(sequence.name, None)
        self.model.cancel(sequence)

    def run(self) -> Generator[Any, Any, None]:
        """Run engine steps; wait while the engine is idle."""
        env = self.sim.env
        while True:
            if self.model.idle:
                self.report()
                self.wake = env.event()
                yield self.wake
            step = self.model.step()
            self.sim.metrics.preemptions += len(step.preempted)
            for sequence in step.preempted:
                self.sim.metrics.wasted_tokens += sequence.kv_tokens
            self.sim.metrics.prefill_s += (
                step.prefill_tokens * self.model.parameters.prefill_token_s
            )
            running = [self.owners.get(row.name) for row in self.model.running]
            online = sum(isinstance(owner, Call) for owner in running)
            self.sim.metrics.online_slot_s += online * step.duration_s
            self.sim.metrics.batch_slot_s += (len(running) - online) * step.duration_s
            yield env.timeout(step.duration_s)
            for sequence in step.produced:
                self.deliver(sequence)
            self.report()

    def deliver(self, sequence: Sequence) -> None:
        """Credit a generated token to the call or item that owns the sequence."""
        owner = self.owners.get(sequence.name)
        if owner is None:
            return
        owner.generated += 1
        if isinstance(owner, Item):
            self.sim.metrics.batch_tokens += 1
            if owner.generated >= owner.output_tokens:
                self.owners.pop(sequence.name, None)
                self.sim.feeders[self.target.name].finished(owner)
            return
        self.sim.online_token(self, owner)

    def report(self) -> None:
        """Record the current load and drop reports that readers no longer see."""

        def count(rows: list[Sequence]) -> int:
            return sum(
                row.priority <= 0 and isinstance(self.owners.get(row.name), Call) for row in rows
            )

        model = self.model
        now = self.sim.env.now
        self.reports.append(
            (
                now,
                LoadReport(
                    count(model.running),
                    count(model.waiting),
                    len(model.running),
                    len(model.waiting),
                    model.kv_used / model.parameters.kv_tokens,
                ),
            )
        )
        while len(self.reports) > 1 and self.reports[1][0] <= now - self.sim.report_lag_s:
            self.reports.popleft()

    def load(self) -> LoadReport:
        """Return the load report that a reader sees now, given the report lag."""
        now = self.sim.env.now
        while len(self.reports) > 1 and self.reports[1][0] <= now - self.sim.report_lag_s:
            self.reports.popleft()
        return self.reports[0][1]

    def fail(self) -> None:
        """Take the target down; it loses its sequences and its prefix cache."""
        self.down = True
        owners = list(self.owners.values())
        self.owners.clear()
        self.model.running.clear()
        self.model.waiting.clear()
        self.model.cache.clear()
        for owner in owners:
            if isinstance(owner, Call):
                self.sim.call_lost(owner)
            else:
                self.sim.feeders[self.target.name].item_lost(owner)


class SimFeeder:
    """Feeds batch items to one target within its batch window.

    :ivar running: items at the target, in the order in which they started.
    """

    def __init__(self, sim: Simulation, engine: SimEngine, policy: Policy) -> None:
        self.sim = sim
        self.engine = engine
        self.running: list[Item] = []
        self.window = None
        if policy.window is not None:
            self.window = policy.window(engine.model.parameters.slots, sim.shape.tail_preference)
            sim.env.process(self.run())

    def run(self) -> Generator[Any, Any, None]:
        """Call :meth:`feed` periodically, unless the target is down or draining."""
        env = self.sim.env
        yield env.timeout(self.sim.rng.uniform(0, FEED_INTERVAL_S))
        while True:
            if not self.engine.down and not self.engine.draining:
                self.feed(env.now)
            yield env.timeout(FEED_INTERVAL_S)

    def feed(self, now: float) -> None:
        """Cancel and start items as the batch window decides; the newest are cancelled first."""
        assert self.window is not None
        report = self.engine.load()
        if self.sim.policy.uses_notices:
            report = merge_notices(report, self.sim.notices[self.engine.target.name])
        decision = self.window.observe(report, len(self.running), now)
        for item in self.running[len(self.running) - decision.cancel :]:
            self.cancel(item)
        del self.running[len(self.running) - decision.cancel :]
        most = min(decision.limit, len(self.running) + decision.starts)
        while len(self.running) < most and self.sim.backlog:
            item = self.sim.next_item()
            self.running.append(item)
            sequence = Sequence(
                f"b{self.sim.next_number()}",
                item.prompt_tokens + item.generated,
                item.output_tokens - item.generated,
                self.sim.policy.priority,
                now,
            )
            self.engine.submit(item, sequence)

    def cancel(self, item: Item) -> None:
        """Cancel an item and return it to the backlog; its generated tokens are kept."""
        assert item.sequence is not None
        self.engine.cancel(item.sequence)
        self.sim.metrics.cancels += 1
        self.sim.metrics.wasted_tokens += item.sequence.prefilled
        self.sim.backlog.appendleft(item)

    def finished(self, item: Item) -> None:
        """Record a finished item."""
        self.running.remove(item)
        self.sim.metrics.batch_items += 1

    def item_lost(self, item: Item) -> None:
        """Return an item to the backlog after its target was lost."""
        if item in self.running:
            self.running.remove(item)
        self.sim.backlog.appendleft(item)


class Simulation:
    """Runs one trace under one policy.

    :ivar views: for each entry, its views of the targets by model.
    :ivar notices: online calls in flight at each target, as its feeder knows from the entries.
    :ivar backlog: batch items that wait for a slot.
    """

    def __init__(
        self, shape: FleetShape, policy: Policy, lines: list[TraceLine], seed: int
    ) -> None:
        self.env = simpy.Environment()
        self.shape = shape
        self.policy = policy
        self.lines = lines
        self.rng = random.Random(seed)
        self.targets_per_model = max(1, shape.runners // shape.models)
        self.metrics = Metrics()
        self.report_lag_s = shape.report_lag_s
        self.backlog: deque[Item] = deque()
        self.last_number = 0
        targets = [
            Target(
                f"runner-{n}",
                f"http://10.0.0.1:{9000 + n}",
                f"domain-{n % shape.domains}",
                [f"model-{n % shape.models}"],
                slots=shape.parameters.slots,
            )
            for n in range(shape.runners)
        ]
        self.engines = {
            target.name: SimEngine(self, target, shape.parameters) for target in targets
        }
        self.feeders = {
            name: SimFeeder(self, engine, policy) for name, engine in self.engines.items()
        }
        self.views: list[dict[str, list[TargetView]]] = []
        for entry in range(shape.entries):
            self.views.append(self._views(entry, targets))
        self.budgets = [RetryBudget() for _ in range(shape.entries)]
        self.limits = [OrganisationLimits() for _ in range(shape.entries)]
        self.queues: list[dict[str, FairQueue[Call]]] = [{} for _ in range(shape.entries)]
        self.notices: dict[str, int] = dict.fromkeys(self.engines, 0)

    def _views(self, entry: int, targets: list[Target]) -> dict[str, list[TargetView]]:
        models = sorted({target.models[0] for target in targets})
        return {
            model: [
                TargetView(target.name, target.slots, target.failure_domain)
                for target in choose_subset(
                    f"entry-{entry}",
                    [row for row in targets if row.models[0] == model],
                    self.shape.subset,
                )
            ]
            for model in models
        }

    def next_number(self) -> int:
        """Return a new number for the name of a sequence."""
        self.last_number += 1
        return self.last_number

    def next_item(self) -> Item:
        """Remove and return the first item of the backlog."""
        return self.backlog.popleft()

    def run(self, until: float) -> Metrics:
        """Run the trace until the given simulated time."""
        self.env.process(self._arrivals())
        self.env.run(until=until)
        return self.metrics

    def _arrivals(self) -> Generator[Any, Any, None]:
        for line in self.lines:
            yield self.env.timeout(max(0.0, line.t - self.env.now))
            if line.kind is Kind.ONLINE:
                self.env.process(self._receive(line))
            elif line.kind is Kind.BATCH_JOB:
                for _ in range(line.items):
                    jitter = self.rng.uniform(0.6, 1.4)
                    self.backlog.append(
                        Item(
                            line.org,
                            max(1, int(line.prompt_tokens * jitter)),
                            max(1, int(line.output_tokens * jitter)),
                        )
                    )
            elif line.kind is Kind.FAULT:
                self.env.process(self._fault(line))

    def _fault(self, line: TraceLine) -> Generator[Any, Any, None]:
        affected = [
            engine
            for name, engine in self.engines.items()
            if line.subject in (name, engine.target.failure_domain)
        ]
        if line.fault == "report_lag":
            before, self.report_lag_s = self.report_lag_s, line.value
            yield self.env.timeout(line.for_s)
            self.report_lag_s = before
        for engine in affected:
            if line.fault == "lost":
                engine.fail()
            elif line.fault == "slow":
                engine.model.slow_factor = line.value
            elif line.fault == "drain":
                engine.draining = True
                for views in self.views:
                    for model in views:
                        views[model] = [
                            view for view in views[model] if view.name != engine.target.name
                        ]
        if affected:
            yield self.env.timeout(line.for_s)
        for engine in affected:
            engine.down = False
            engine.model.slow_factor = 1.0

    # Online calls.

    def _receive(self, line: TraceLine) -> Generator[Any, Any, None]:
        self.metrics.calls += 1
        arrived = self.env.now
        yield self.env.timeout(self.shape.caller_s)
        entry = self.rng.randrange(self.shape.entries)
        call = Call(line, arrived, CallProgress(line.repeatable, arrived + line.deadline_s), entry)
        self.budgets[entry].first_try()
        self.dispatch(call)

    def candidates(self, call: Call) -> list[TargetView]:
        """Return the views of the targets that the call's entry may use for its model."""
        return self.views[call.entry][call.line.model or "model-0"]

    def dispatch(self, call: Call) -> None:
        """Send a call to a target, queue it if all are full, or reject it if none is usable."""
        now = self.env.now
        views = self.candidates(call)
        queue = self.queues[call.entry].setdefault(call.line.model, FairQueue())
        most = max_calls_at_target(
            self.shape.parameters.slots,
            self.targets_per_model,
            self.shape.subset,
            self.shape.entries,
        )
        view = self.policy.choose(views, call.line.prefix, now, self.rng, most)
        if view is None:
            if not any(row.circuit.admits(now) for row in views):
                self.reject(call, "target_unreachable")
                return
            try:
                queue.add(call.line.org, call, call.progress.deadline - now)
            except GradepointError as error:
                self.reject(call, error.code)
            return
        self.send(call, view)

    def send(self, call: Call, view: TargetView) -> None:
        """Start an attempt of a call at a target."""
        view.in_flight += 1
        view.circuit.begin(self.env.now)
        self.env.process(self._notice(view.name, 1))
        call.view = view
        call.progress.tries += 1
        self.metrics.tries += 1
        self.env.process(self._deliver(call, view))

    def _deliver(self, call: Call, view: TargetView) -> Generator[Any, Any, None]:
        yield self.env.timeout(self.shape.domain_s)
        engine = self.engines[view.name]
        if engine.down:
            self.handle_failure(call, "target_unreachable", not_run=True)
            return
        line = call.line
        engine.submit(
            call,
            Sequence(
                f"o{self.next_number()}",
                line.prompt_tokens + call.generated,
                max(1, line.output_tokens - call.generated),
                0,
                self.env.now,
                line.prefix,
                line.prefix_tokens,
            ),
        )

    def _notice(self, target: str, change: int) -> Generator[Any, Any, None]:
        """Notify a target's feeder that a call has started (1) or ended (-1) there."""
        yield self.env.timeout(NOTICE_S + self.shape.domain_s)
        self.notices[target] += change

    def online_token(self, engine: SimEngine, call: Call) -> None:
        """Record a token of an online call; after the last one, end the call."""
        now = self.env.now + self.shape.domain_s + self.shape.caller_s
        self.metrics.online_tokens += 1
        if call.first_token is None:
            call.first_token = now - call.arrived
            self.metrics.first_token.append(call.first_token)
            self.metrics.org_first.setdefault(call.line.org, []).append(call.first_token)
            if call.view is not None:
                call.view.observe_first_token(call.first_token)
        elif call.last_token is not None:
            self.metrics.between.append(now - call.last_token)
        call.last_token = now
        if call.generated >= call.line.output_tokens:
            assert call.sequence is not None
            engine.owners.pop(call.sequence.name, None)
            self.metrics.completed += 1
            self.metrics.by_org[call.line.org] += 1
            if call.view is not None:
                call.view.circuit.succeeded()
            self.release_slot(call)

    def release_slot(self, call: Call) -> None:
        """Release a call's slot at its target and dispatch the next queued call of the entry."""
        view, call.view = call.view, None
        if view is None:
            return
        view.in_flight -= 1
        view.circuit.end()
        self.env.process(self._notice(view.name, -1))
        queue = self.queues[call.entry].get(call.line.model)
        if queue is not None and queue.size:
            waiting = queue.take(self.env.now)
            if waiting is not None:
                if self.env.now > waiting.progress.deadline:
                    self.reject(waiting, "queue_deadline")
                else:
                    self.dispatch(waiting)

    def call_lost(self, call: Call) -> None:
        """Handle the loss of the target that ran a call."""
        self.handle_failure(call, "target_lost", not_run=False)

    def handle_failure(self, call: Call, code: str, *, not_run: bool) -> None:
        """Retry or reject a call after a failed attempt."""
        if call.view is not None:
            call.view.circuit.failed(self.env.now)
        self.release_slot(call)
        decision = decide_after_failure(
            call.progress,
            code,
            not_run=not_run,
            now=self.env.now,
            budget=self.budgets[call.entry],
            rng=self.rng,
        )
        if decision.verdict is Verdict.RETRY:
            self.env.process(self._retry_after(call, decision.pause_s))
        else:
            self.reject(call, decision.reason)

    def _retry_after(self, call: Call, pause: float) -> Generator[Any, Any, None]:
        yield self.env.timeout(pause)
        self.dispatch(call)

    def reject(self, call: Call, code: str) -> None:
        """Reject a call and count the error code."""
        self.metrics.refused[code] += 1

"""Simulation model of an engine with continuous batching, stepped without a clock.

The engine stand-in runs it on the asyncio loop, the replay benchmark in virtual time. It
simulates only what is visible at a target's interface: step time grows with the batch and
with prefill, KV-cache memory is bounded, a prefix cache saves prefill, and priorities are
applied by admission order and preemption. Parameters and their source:
docs/design/engine-model.md.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field


@dataclass(frozen=True)
class EngineParameters:
    """Time costs and capacity limits of one engine.

    :param slots: most sequences that run at once.
    :param step_s: seconds of a step with an empty batch (weights are read once).
    :param sequence_s: additional seconds for each running sequence.
    :param prefill_token_s: additional seconds for each prompt token computed.
    :param prefill_chunk: most prompt tokens computed in one step.
    :param kv_tokens: capacity of KV-cache memory in tokens.
    :param cache_tokens: capacity of the prefix cache in tokens.
    """

    slots: int = 16
    step_s: float = 0.012
    sequence_s: float = 0.0004
    prefill_token_s: float = 0.00006
    prefill_chunk: int = 512
    kv_tokens: int = 60000
    cache_tokens: int = 20000


@dataclass
class Sequence:
    """One request within the engine.

    :param priority: lower values run first.
    :param arrived: time of arrival; the earlier of two with the same priority runs first.
    :param prefix: identifier of the prompt's cacheable prefix; empty if it has none.
    :param prefix_tokens: prompt tokens that prompts with the same *prefix* share.
    :param prefilled: tokens whose KV-cache entries were computed or taken from the cache.
    :param recompute_tokens: generated tokens that a preemption dropped from memory, to be
        computed again as if they were part of the prompt.
    """

    name: str
    prompt_tokens: int
    output_tokens: int
    priority: int
    arrived: float
    prefix: str = ""
    prefix_tokens: int = 0
    prefilled: int = 0
    generated: int = 0
    preemptions: int = 0
    recompute_tokens: int = 0

    @property
    def kv_tokens(self) -> int:
        """KV-cache memory held while running, in tokens."""
        return self.prompt_tokens + self.generated

    @property
    def missing_tokens(self) -> int:
        """Tokens to prefill before the next one can be generated."""
        return self.prompt_tokens + self.recompute_tokens - self.prefilled

    @property
    def finished(self) -> bool:
        """Whether all output tokens were generated."""
        return self.generated >= self.output_tokens


@dataclass
class Step:
    """Result of one step.

    :param produced: sequences that got one more token, available after *duration_s*.
    """

    duration_s: float
    prefill_tokens: int = 0
    produced: list[Sequence] = field(default_factory=list)
    finished: list[Sequence] = field(default_factory=list)
    preempted: list[Sequence] = field(default_factory=list)


class EngineModel:
    """Scheduler and memory state of one simulated engine."""

    def __init__(self, parameters: EngineParameters) -> None:
        self.parameters = parameters
        self.waiting: list[Sequence] = []
        self.running: list[Sequence] = []
        self.cache: OrderedDict[str, int] = OrderedDict()
        self.cache_hits = 0
        self.cache_lookups = 0
        self.slow_factor = 1.0

    @property
    def idle(self) -> bool:
        """Whether no sequence is waiting or running."""
        return not self.waiting and not self.running

    @property
    def kv_used(self) -> int:
        """Tokens of KV-cache memory in use by running sequences."""
        return sum(sequence.kv_tokens for sequence in self.running)

    def submit(self, sequence: Sequence) -> None:
        """Add a request to the waiting queue."""
        self.waiting.append(sequence)

    def cancel(self, sequence: Sequence) -> None:
        """Remove a request, whether it is waiting or running."""
        if sequence in self.waiting:
            self.waiting.remove(sequence)
        if sequence in self.running:
            self.running.remove(sequence)

    def step(self) -> Step:
        """Admit, preempt, prefill and generate one token for each prefilled sequence."""
        result = Step(0.0)
        self._admit(result)
        self._preempt_for_memory(result)
        prefill = self._prefill()
        result.prefill_tokens = prefill
        parameters = self.parameters
        result.duration_s = self.slow_factor * (
            parameters.step_s
            + parameters.sequence_s * len(self.running)
            + parameters.prefill_token_s * prefill
        )
        for sequence in list(self.running):
            if sequence.missing_tokens > 0:
                continue
            sequence.generated += 1
            result.produced.append(sequence)
            if sequence.finished:
                self.running.remove(sequence)
                self._cache_prefix(sequence)
                result.finished.append(sequence)
        return result

    def _admit(self, result: Step) -> None:
        self.waiting.sort(key=lambda sequence: (sequence.priority, sequence.arrived))
        while self.waiting:
            first = self.waiting[0]
            if not self._fits(first) and not self._preempt_for(first, result):
                return
            self.waiting.pop(0)
            self._start(first)

    def _fits(self, sequence: Sequence) -> bool:
        if len(self.running) >= self.parameters.slots:
            return False
        return self.kv_used + sequence.kv_tokens + 1 <= self.parameters.kv_tokens

    def _preempt_for(self, sequence: Sequence, result: Step) -> bool:
        while not self._fits(sequence):
            lower_priority = [other for other in self.running if other.priority > sequence.priority]
            if not lower_priority:
                return False
            self._preempt(max(lower_priority, key=lambda other: other.arrived), result)
        return True

    def _preempt(self, victim: Sequence, result: Step) -> None:
        self.running.remove(victim)
        victim.prefilled = 0
        victim.preemptions += 1
        victim.recompute_tokens = victim.generated
        self.waiting.append(victim)
        result.preempted.append(victim)

    def _preempt_for_memory(self, result: Step) -> None:
        while len(self.running) > 1 and (
            self.kv_used + len(self.running) > self.parameters.kv_tokens
        ):
            worst = max(self.running, key=lambda other: (other.priority, other.arrived))
            self._preempt(worst, result)

    def _start(self, sequence: Sequence) -> None:
        self.running.append(sequence)
        sequence.prefilled = 0
        if not sequence.prefix:
            return
        self.cache_lookups += 1
        cached = self.cache.get(sequence.prefix, 0)
        if cached:
            self.cache_hits += 1
            self.cache.move_to_end(sequence.prefix)
            sequence.prefilled = min(cached, sequence.prompt_tokens - 1)

    def _prefill(self) -> int:
        budget = self.parameters.prefill_chunk
        order = sorted(self.running, key=lambda sequence: (sequence.priority, sequence.arrived))
        for sequence in order:
            computed = min(budget, sequence.missing_tokens)
            sequence.prefilled += computed
            budget -= computed
            if budget == 0:
                break
        return self.parameters.prefill_chunk - budget

    def _cache_prefix(self, sequence: Sequence) -> None:
        if not sequence.prefix:
            return
        self.cache[sequence.prefix] = sequence.prefix_tokens
        self.cache.move_to_end(sequence.prefix)
        while sum(self.cache.values()) > self.parameters.cache_tokens:
            self.cache.popitem(last=False)

"""Choose the target of a call from what one daemon knows, without I/O.

The candidates of a model are a stable subset of its targets, spread over failure domains. A prompt
prefix prefers one of them, whose prefix cache it can reuse, unless that target is loaded beyond its
fair share or slow. Otherwise the target with the least expected wait is chosen.

Load reports that targets publish are not used. All daemons read the same report about a second
late, so they would all send their calls to the same target
(docs/design/sharing-rounds.md).
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from ..util.hashing import rank, score

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable, Sequence

    from ..config.document import Target

LOAD_BOUND = 1.25
"""Ratio of a target's load to the mean load above which it no longer attracts its prefixes
(consistent hashing with bounded loads, Mirrokni, Thorup and Zadimoghaddam, 2018)."""

SLOW_FACTOR = 2.0
"""Ratio of a target's first-token time to the mean above which it no longer attracts its
prefixes."""

CALLS_PER_SLOT = 1.25
"""Calls in flight per slot that all daemons together aim for. It exceeds 1 because daemons are
never evenly loaded."""

MIN_CALLS_PER_TARGET = 2
DEFAULT_FIRST_TOKEN_S = 0.05
EWMA_WEIGHT = 0.2
FAILURES_TO_EJECT = 3
FIRST_EJECTION_S = 1.0
MAX_EJECTION_S = 30.0
MAX_PROBES = 1


class CircuitState(Enum):
    """State of a circuit breaker.

    ``CLOSED``: the target gets calls. ``OPEN``: the target is ejected and gets none. ``HALF_OPEN``:
    the ejection is over and the target gets a few probe calls; success closes the circuit, failure
    opens it again.
    """

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half-open"


@dataclass
class Circuit:
    """Circuit breaker of one target: ejects it after repeated failures and probes it afterwards.

    :ivar failures: consecutive failures.
    :ivar open_until: time at which the current ejection ends.
    :ivar ejection_s: duration of the next ejection, doubled by each one up to the maximum.
    :ivar probes: probe calls in flight.
    """

    failures: int = 0
    open_until: float = 0.0
    ejection_s: float = FIRST_EJECTION_S
    probes: int = 0

    def state(self, now: float) -> CircuitState:
        """Return the state at time *now*."""
        if self.failures < FAILURES_TO_EJECT:
            return CircuitState.CLOSED
        return CircuitState.OPEN if now < self.open_until else CircuitState.HALF_OPEN

    def admits(self, now: float) -> bool:
        """Return whether a call may be sent to the target."""
        state = self.state(now)
        if state is CircuitState.HALF_OPEN:
            return self.probes < MAX_PROBES
        return state is CircuitState.CLOSED

    def begin(self, now: float) -> None:
        """Record that a call is sent to the target."""
        if self.state(now) is CircuitState.HALF_OPEN:
            self.probes += 1

    def end(self) -> None:
        """Record that a call has ended, with any result."""
        self.probes = max(0, self.probes - 1)

    def failed(self, now: float) -> bool:
        """Record a failed call; return whether it ejects the target."""
        self.failures += 1
        self.probes = 0
        if self.failures < FAILURES_TO_EJECT:
            return False
        self.open_until = now + self.ejection_s
        self.ejection_s = min(MAX_EJECTION_S, self.ejection_s * 2)
        return True

    def succeeded(self) -> None:
        """Record a complete answer: close the circuit and reset the ejection time."""
        self.failures = 0
        self.probes = 0
        self.ejection_s = FIRST_EJECTION_S


@dataclass
class TargetView:
    """What one daemon has observed of one target; nothing here comes from other daemons.

    :param in_flight: this daemon's calls in flight at the target.
    :param first_token_s: moving average of the time to the first token in seconds; 0 until there is
        a sample.
    """

    name: str
    slots: int
    failure_domain: str
    in_flight: int = 0
    first_token_s: float = 0.0
    circuit: Circuit = field(default_factory=Circuit)

    def observe_first_token(self, seconds: float) -> None:
        """Add one sample of the time to the first token."""
        if self.first_token_s == 0.0:
            self.first_token_s = seconds
        else:
            self.first_token_s += EWMA_WEIGHT * (seconds - self.first_token_s)

    @property
    def expected_wait(self) -> float:
        """Estimate of the wait for a first token, only for comparing targets."""
        return (self.in_flight + 1) * (self.first_token_s or DEFAULT_FIRST_TOKEN_S)


def choose_subset(daemon: str, targets: Sequence[Target], size: int) -> list[Target]:
    """Return the targets of one model that *daemon* uses, spread over failure domains.

    Rendezvous hashing changes the subset little when targets are added or removed, and gives each
    target about the same number of daemons.
    """
    domains: dict[str, list[str]] = {}
    by_name = {target.name: target for target in targets}
    for target in targets:
        domains.setdefault(target.failure_domain, []).append(target.name)
    ranked_domains = [rank(daemon, names) for _, names in sorted(domains.items())]
    # Daemons start with different domains, so that no domain is overloaded.
    ranked_domains.sort(key=lambda names: score(daemon, by_name[names[0]].failure_domain))
    chosen: list[Target] = []
    depth = 0
    while len(chosen) < size and any(depth < len(names) for names in ranked_domains):
        for names in ranked_domains:
            if depth < len(names) and len(chosen) < size:
                chosen.append(by_name[names[depth]])
        depth += 1
    return chosen


def max_calls_at_target(slots: int, targets: int, subset: int, daemons: int) -> int:
    """Return how many calls one daemon may have in flight at a target.

    All daemons together fill the slots with a small surplus. Calls therefore wait in the daemons'
    queues, which are fair between organisations, and not in the engine's queue.

    :param targets: number of targets of the model.
    :param subset: number of these that each daemon uses.
    :param daemons: number of live daemons.
    """
    users = max(1.0, daemons * min(1.0, subset / targets))
    return max(MIN_CALLS_PER_TARGET, math.ceil(slots * CALLS_PER_SLOT / users))


def choose_target(
    candidates: Iterable[TargetView],
    prefix: str,
    now: float,
    rng: random.Random,
    max_in_flight: int,
) -> TargetView | None:
    """Return the target for a call, or None if none can take it now.

    :param prefix: key of the prompt's beginning; empty for no preference.
    :param max_in_flight: calls that this daemon may have in flight at one target.
    """
    available = [
        view for view in candidates if view.circuit.admits(now) and view.in_flight < max_in_flight
    ]
    if len(available) <= 1:
        return available[0] if available else None
    if prefix:
        preferred = max(available, key=lambda view: score(prefix, view.name))
        if _is_acceptable(preferred, available):
            return preferred
    return min(available, key=lambda view: (view.expected_wait, rng.random()))


def _is_acceptable(preferred: TargetView, available: Sequence[TargetView]) -> bool:
    """Return whether *preferred* is neither loaded beyond its fair share nor slow."""
    mean_load = sum(view.in_flight for view in available) / len(available)
    mean_first_token = sum(view.first_token_s for view in available) / len(available)
    overloaded = preferred.in_flight > LOAD_BOUND * mean_load
    slow = preferred.first_token_s > SLOW_FACTOR * mean_first_token
    return not overloaded and not slow

"""Choice of a target: pure decisions over what one daemon knows.

The candidates of a model are a stable subset of its targets, spread over failure
domains. Among them a prompt prefix prefers one target (its prefix cache) unless that
one is loaded beyond its fair share or slow; else the least expected wait is taken.
Published load reports are not used: read a second late by all daemons alike, they sent
every daemon to the same target (docs/design/sharing-rounds.md, round 5).
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
"""Load of the preferred target against the mean, beyond which it is passed over
(consistent hashing with bounded loads, Mirrokni, Thorup and Zadimoghaddam, 2018)."""

SLOW_FACTOR = 2.0
"""First-token time against the mean, beyond which a target loses its prefixes."""

HEADROOM = 1.25
"""Calls in flight against slots; daemons are never quite evenly loaded."""

LEAST_SHARE = 2
UNKNOWN_FIRST_TOKEN_S = 0.05
EWMA_WEIGHT = 0.2
FAILURES_TO_EJECT = 3
FIRST_EJECTION_S = 1.0
LONGEST_EJECTION_S = 30.0
PROBE_CALLS = 1


class CircuitState(Enum):
    """Whether a target gets calls."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half-open"


@dataclass
class Circuit:
    """Ejection of one target after repeated failures, and its careful return."""

    failures: int = 0
    open_until: float = 0.0
    ejection_s: float = FIRST_EJECTION_S
    probes: int = 0

    def state(self, now: float) -> CircuitState:
        """Return the state at *now*."""
        if self.failures < FAILURES_TO_EJECT:
            return CircuitState.CLOSED
        return CircuitState.OPEN if now < self.open_until else CircuitState.HALF_OPEN

    def admits(self, now: float) -> bool:
        """Return whether a call may go to the target."""
        state = self.state(now)
        if state is CircuitState.HALF_OPEN:
            return self.probes < PROBE_CALLS
        return state is CircuitState.CLOSED

    def begin(self, now: float) -> None:
        """Note that a call goes to the target."""
        if self.state(now) is CircuitState.HALF_OPEN:
            self.probes += 1

    def end(self) -> None:
        """Note that a call is over, however it ended."""
        self.probes = max(0, self.probes - 1)

    def failed(self, now: float) -> bool:
        """Note a failure; return whether the target is ejected by it."""
        self.failures += 1
        self.probes = 0
        if self.failures < FAILURES_TO_EJECT:
            return False
        self.open_until = now + self.ejection_s
        self.ejection_s = min(LONGEST_EJECTION_S, self.ejection_s * 2)
        return True

    def succeeded(self) -> None:
        """Note a full answer."""
        self.failures = 0
        self.probes = 0
        self.ejection_s = FIRST_EJECTION_S


@dataclass
class TargetView:
    """What one daemon knows of one target, all of it seen by itself.

    :param in_flight: this daemon's calls at the target.
    :param first_token_s: smoothed time to the first token; 0 before the first.
    """

    name: str
    slots: int
    failure_domain: str
    in_flight: int = 0
    first_token_s: float = 0.0
    circuit: Circuit = field(default_factory=Circuit)

    def observe_first_token(self, seconds: float) -> None:
        """Take one measured time to the first token."""
        if self.first_token_s == 0.0:
            self.first_token_s = seconds
        else:
            self.first_token_s += EWMA_WEIGHT * (seconds - self.first_token_s)

    @property
    def expected_wait(self) -> float:
        """A measure of the wait for a first token, for comparisons."""
        return (self.in_flight + 1) * (self.first_token_s or UNKNOWN_FIRST_TOKEN_S)


def choose_subset(daemon: str, targets: Sequence[Target], size: int) -> list[Target]:
    """Return the targets of one model that *daemon* uses, spread over failure domains.

    Rendezvous hashing keeps the subset nearly the same when targets come and go, and
    gives each target about the same number of daemons.
    """
    domains: dict[str, list[str]] = {}
    by_name = {target.name: target for target in targets}
    for target in targets:
        domains.setdefault(target.failure_domain, []).append(target.name)
    queues = [rank(daemon, names) for _, names in sorted(domains.items())]
    # The domain that comes first differs between daemons.
    queues.sort(key=lambda names: score(daemon, by_name[names[0]].failure_domain))
    chosen: list[Target] = []
    depth = 0
    while len(chosen) < size and any(depth < len(names) for names in queues):
        for names in queues:
            if depth < len(names) and len(chosen) < size:
                chosen.append(by_name[names[depth]])
        depth += 1
    return chosen


def share_of_target(slots: int, targets: int, subset: int, daemons: int) -> int:
    """Return the calls that one daemon may have in flight at a target.

    All daemons together fill the slots and a little more, so that what waits does so in
    the daemons' queues, which are fair between organisations, and not in the engine's.

    :param targets: targets of the model, of which each daemon uses *subset*.
    """
    users = max(1.0, daemons * min(1.0, subset / targets))
    return max(LEAST_SHARE, math.ceil(slots * HEADROOM / users))


def choose_target(
    candidates: Iterable[TargetView],
    prefix: str,
    now: float,
    rng: random.Random,
    most_in_flight: int,
) -> TargetView | None:
    """Return the target for a call, or None if none can take it now.

    :param prefix: key of the prompt's beginning; empty for no preference.
    :param most_in_flight: calls this daemon may have at one target.
    """
    able = [
        view for view in candidates if view.circuit.admits(now) and view.in_flight < most_in_flight
    ]
    if len(able) <= 1:
        return able[0] if able else None
    if prefix:
        preferred = max(able, key=lambda view: score(prefix, view.name))
        if _has_room(preferred, able):
            return preferred
    return min(able, key=lambda view: (view.expected_wait, rng.random()))


def _has_room(preferred: TargetView, able: Sequence[TargetView]) -> bool:
    """Return whether a target is neither loaded beyond its share nor slow."""
    mean_load = sum(view.in_flight for view in able) / len(able)
    mean_first_token = sum(view.first_token_s for view in able) / len(able)
    loaded = preferred.in_flight > LOAD_BOUND * mean_load
    slow = preferred.first_token_s > SLOW_FACTOR * mean_first_token
    return not loaded and not slow

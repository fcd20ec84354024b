"""How old a host's views of the key-value service are, and who asks whether they still hold.

A watch may fall silent without an error, and then everything that rests on it stays as it was. So
one host reads the keys again and again, and tells the others what it found; each of them reads by
itself where it is not told in time. A watch without a wait would cost fewer bytes, but a service
that tells watches of no change answers it as if there were none.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from .. import events
from ..errors import KvError
from ..telemetry.logs import emit
from ..util.clock import monotonic

if TYPE_CHECKING:
    from collections.abc import Mapping

    from ..kv.relay import RelayedKv
    from ..kv.view import PrefixView
    from ..telemetry.metrics import Labels

PROOF_SHARE = 0.5
"""Share of a view's bound after which the first of the hosts that watch proves it, so that one
lost answer is made good within the bound."""
NEXT_WATCHER_S = 0.15
"""Seconds more for each further host that watches: while the first one is well, no other asks."""
LISTENER_S = 0.5
"""Seconds more for a host that does not watch: it is told of a proof within a tenth of that."""
JITTER_S = 0.3
"""Longest seconds more by lot, so that not all hosts ask at once where nobody tells them."""
LONGEST_SLOW_S = 1.0
"""Longest seconds more where the service answers that slowly: who asks tells as much later, and
all would ask a service that is busy already."""
SAME_S = 0.1
"""Seconds by which a proof is later than another one: a tenth of what lies between two. By less,
it is the same one, told again by a third host, and its age says nothing of the service."""
MILLISECONDS = 1000

Proof = tuple[int, int]
"""Milliseconds since a view was known to lack no change, and the digest of what it knew."""


@dataclass
class Proofs:
    """Since when each view is known to lack no change.

    :param prefixes: prefix of each view by its name.
    :param bounds_s: seconds by view in which a change has to be known.
    :ivar proven_at: monotonic time by view; a change that was acknowledged before is known.
    :ivar tried_at: monotonic time of this host's last question by view.
    :ivar slow_s: seconds by view that the service took to answer, by the age of the last proof.
    :ivar count: rises with each proof of this host, so that the others are told at once.
    """

    kv: RelayedKv
    prefixes: Mapping[str, str]
    views: Mapping[str, PrefixView]
    bounds_s: Mapping[str, float]
    proven_at: dict[str, float] = field(default_factory=dict)
    tried_at: dict[str, float] = field(default_factory=dict)
    slow_s: dict[str, float] = field(default_factory=dict)
    count: int = 0
    jitter_s: float = field(default_factory=lambda: random.uniform(0.0, JITTER_S))

    def age_s(self, name: str, now: float) -> float:
        """Return how many seconds ago a view was proven; without end if never."""
        return now - self.proven_at.get(name, float("-inf"))

    def tell(self) -> dict[str, Proof]:
        """Return what proves each view to hosts that know the same."""
        now = monotonic()
        return {
            name: (round((now - at) * MILLISECONDS), self.views[name].digest)
            for name, at in self.proven_at.items()
        }

    def read_ages_s(self) -> dict[Labels, float]:
        """Return the age of each proven view in seconds, as the metrics page shows it."""
        now = monotonic()
        return {(("view", name),): round(now - at, 3) for name, at in self.proven_at.items()}

    def hear(self, told: Mapping[str, Proof]) -> None:
        """Take another host's proofs of views that are the same here."""
        now = monotonic()
        for name, (age_ms, digest) in told.items():
            view = self.views.get(name)
            if view is not None and view.digest == digest:
                self._prove(name, now - age_ms / MILLISECONDS)

    def due_in_s(self, name: str, rank: int | None) -> float:
        """Return in how many seconds this host has to prove a view; 0 or less: now.

        :param rank: this host's place among those that watch; None if it does not.
        """
        allowed = self.bounds_s[name] * PROOF_SHARE
        if rank is None:
            allowed += LISTENER_S + self.jitter_s
        else:
            allowed += rank * NEXT_WATCHER_S
        if rank != 0:
            allowed += self.slow_s.get(name, 0.0)
        now = monotonic()
        tried = now - self.tried_at.get(name, float("-inf"))
        return allowed - min(self.age_s(name, now), tried)

    async def prove(self, name: str) -> bool:
        """Read a view's keys.

        :returns: whether this host had missed a change.
        """
        view = self.views[name]
        asked_at = self.tried_at[name] = monotonic()
        known = view.digest
        try:
            view.reset(await self.kv.read_now(self.prefixes[name]))
        except KvError as error:
            emit(events.VIEW_NOT_PROVEN, view=name, reason=str(error))
            return False
        self._prove(name, asked_at)
        self.count += 1
        return view.digest != known

    def _prove(self, name: str, at: float) -> None:
        """Take a proof, unless it is one that is known and told again a little later."""
        if at > self.proven_at.get(name, float("-inf")) + SAME_S:
            self.proven_at[name] = at
            self.slow_s[name] = min(LONGEST_SLOW_S, monotonic() - at)

"""How old a host's views of the key-value service are, and who asks whether they still hold.

A watch may fall silent without an error, and then everything that rests on it stays as it was. So
one host asks the service again and again whether it missed a change, and tells the others; each
of them asks by itself where it is not told in time.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from .. import events
from ..errors import KvError, KvHistoryLost
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
MILLISECONDS = 1000


@dataclass
class Proofs:
    """Since when each view is known to lack no change.

    :param prefixes: prefix of each view by its name.
    :param bounds_s: seconds by view in which a change has to be known.
    :ivar proven_at: monotonic time by view; a change that was acknowledged before is known.
    :ivar tried_at: monotonic time of this host's last question by view.
    :ivar count: rises with each proof of this host, so that the others are told at once.
    """

    kv: RelayedKv
    prefixes: Mapping[str, str]
    views: Mapping[str, PrefixView]
    bounds_s: Mapping[str, float]
    proven_at: dict[str, float] = field(default_factory=dict)
    tried_at: dict[str, float] = field(default_factory=dict)
    count: int = 0

    def age_s(self, name: str, now: float) -> float:
        """Return how many seconds ago a view was proven; without end if never."""
        return now - self.proven_at.get(name, float("-inf"))

    def tell(self) -> dict[str, int]:
        """Return the age of each proven view in milliseconds."""
        now = monotonic()
        return {name: round((now - at) * MILLISECONDS) for name, at in self.proven_at.items()}

    def read_ages_s(self) -> dict[Labels, float]:
        """Return the age of each proven view in seconds, as the metrics page shows it."""
        now = monotonic()
        return {(("view", name),): round(now - at, 3) for name, at in self.proven_at.items()}

    def hear(self, ages: Mapping[str, int], revisions: Mapping[str, int]) -> None:
        """Take another host's proofs of views that this host knows as far as that one."""
        now = monotonic()
        for name, age in ages.items():
            view = self.views.get(name)
            if view is not None and revisions.get(name, 0) <= view.revision:
                self._prove(name, now - age / MILLISECONDS)

    def due_in_s(self, name: str, rank: int | None) -> float:
        """Return in how many seconds this host has to prove a view; 0 or less: now.

        :param rank: this host's place among those that watch; None if it does not.
        """
        allowed = self.bounds_s[name] * PROOF_SHARE
        allowed += LISTENER_S if rank is None else rank * NEXT_WATCHER_S
        now = monotonic()
        tried = now - self.tried_at.get(name, float("-inf"))
        return allowed - min(self.age_s(name, now), tried)

    async def prove(self, name: str) -> bool:
        """Ask the service for changes of a view that this host missed.

        :returns: whether there were any.
        """
        view = self.views[name]
        asked_at = self.tried_at[name] = monotonic()
        known = view.revision
        try:
            await self._ask(name, view)
        except KvError as error:
            emit(events.VIEW_NOT_PROVEN, view=name, reason=str(error))
            return False
        self._prove(name, asked_at)
        self.count += 1
        return view.revision > known

    async def _ask(self, name: str, view: PrefixView) -> None:
        prefix = self.prefixes[name]
        try:
            page = await self.kv.find_missed(prefix, view.read_to)
        except KvHistoryLost:
            view.reset(await self.kv.range(prefix))
            return
        for event in page.events:
            view.change(event)

    def _prove(self, name: str, at: float) -> None:
        self.proven_at[name] = max(at, self.proven_at.get(name, float("-inf")))

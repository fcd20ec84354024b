"""Age of a host's views of the key-value service, and when a host verifies that they are current.

A watch may stop delivering changes without an error, and the view then becomes stale unnoticed.
Therefore one host reads the watched keys repeatedly and sends the others the result. This is a
*proof* that a view misses no change up to the time of the read. A host that gets no proof in time
reads the keys itself.

A watch request without a wait would cost fewer bytes than a read. But a service that withholds
changes from its watches would answer it as if there were none.
"""

from __future__ import annotations

import math
import random
from typing import TYPE_CHECKING

from .. import events
from ..errors import KvError
from ..telemetry.logs import emit
from ..util.clock import monotonic
from ..util.structs import Struct, field

if TYPE_CHECKING:
    from collections.abc import Mapping

    from ..kv.relay import RelayedKv
    from ..kv.view import PrefixView
    from ..telemetry.metrics import Labels

PROOF_SHARE = 0.5
"""Share of a view's bound after which the first watcher proves it, so that one lost answer can be
repeated within the bound."""
WATCHER_STAGGER_S = 0.15
"""Additional seconds for each further watcher; while the first one works, no other asks."""
NON_WATCHER_DELAY_S = 0.5
"""Additional seconds for a host that does not watch; it receives proofs within a tenth of that."""
MAX_JITTER_S = 0.3
"""Maximum random additional seconds, so that hosts that get no proofs do not all ask at once."""
MAX_ANSWER_DELAY_S = 1.0
"""Maximum additional seconds for a slow service. Proofs then arrive later by the service's answer
time, and without the addition all hosts would ask a service that is already busy."""
SAME_PROOF_S = 0.1
"""Minimum seconds by which a new proof is later than the known one: a tenth of the time between two
proofs. A proof that is less than that later is the same one, relayed by a third host; its age says
nothing about how fast the service answers."""
READ_SHARE = 0.05
"""Share of a core that the repeated reads of one view may take until proofs are made less often,
down to :data:`MAX_PROOF_SHARE`. 10,000 targets need less than that."""
MAX_PROOF_SHARE = 0.7
"""Share of a view's bound after which the first watcher proves it, however costly a read is. The
rest is for the answer and its way to the other hosts, so that the bound holds."""
MILLISECONDS = 1000

Proof = tuple[int, int]
"""Milliseconds since a view was known to miss no change, and the digest of its contents then."""


class Proofs(Struct):
    """Times up to which each view is known to miss no change.

    :param prefixes: prefix of each view by its name.
    :param views: the views by name.
    :param bounds_s: by view, seconds within which a change must be known.
    :ivar proven_at: monotonic time by view; changes that were acknowledged before it are known.
    :ivar tried_at: monotonic time by view of this host's last attempt to prove it.
    :ivar answer_delay_s: by view, seconds that the service took to answer, estimated by the age of
        the last proof on receipt.
    :ivar count: number of proofs that this host obtained itself; an increase is sent to others at
        once.
    :ivar jitter_s: this host's random additional seconds.
    """

    kv: RelayedKv
    prefixes: Mapping[str, str]
    views: Mapping[str, PrefixView]
    bounds_s: Mapping[str, float]
    proven_at: dict[str, float] = field(default_factory=dict)
    tried_at: dict[str, float] = field(default_factory=dict)
    answer_delay_s: dict[str, float] = field(default_factory=dict)
    count: int = 0
    jitter_s: float = field(default_factory=lambda: random.uniform(0.0, MAX_JITTER_S))

    def age_s(self, name: str, now: float) -> float:
        """Return the seconds since a view was proven; infinite if it never was."""
        return now - self.proven_at.get(name, float("-inf"))

    def list_proofs(self) -> dict[str, Proof]:
        """Return the proofs to send, for hosts whose views have the same contents."""
        now = monotonic()
        return {
            name: (round((now - at) * MILLISECONDS), self.views[name].digest)
            for name, at in self.proven_at.items()
        }

    def read_ages_s(self) -> dict[Labels, float]:
        """Return the age of each proven view in seconds, for the metrics page."""
        now = monotonic()
        return {(("view", name),): round(now - at, 3) for name, at in self.proven_at.items()}

    def read_rows(self) -> dict[Labels, float]:
        """Return the number of rows of each view, for the metrics page."""
        return {(("view", name),): len(view.items) for name, view in self.views.items()}

    def read_stored_bytes(self) -> dict[Labels, float]:
        """Return the bytes of the values of each view in the service, for the metrics page."""
        return {(("view", name),): view.stored_bytes for name, view in self.views.items()}

    def receive(self, received: Mapping[str, Proof], sent_at: float | None = None) -> None:
        """Accept another host's proofs of views that have the same contents here.

        :param sent_at: earliest monotonic time at which they may have been sent; None for now.
        """
        sent_at = monotonic() if sent_at is None else sent_at
        for name, (age_ms, digest) in received.items():
            view = self.views.get(name)
            if view is not None and view.digest == digest:
                self._prove(name, sent_at - age_ms / MILLISECONDS)

    def due_in_s(self, name: str, rank: int | None, reached_s: float = math.inf) -> float:
        """Return the seconds until this host has to prove a view; 0 or less means now.

        After a time in which no host reached the service, the watchers prove the views at once. A
        host that does not watch gives their proofs the usual time to arrive, within the bound.

        :param rank: this host's rank among the watchers; None if it does not watch.
        :param reached_s: seconds since the last time at which no host reached the service.
        """
        bound_s = self.bounds_s[name]
        due_age_s = max(
            bound_s * PROOF_SHARE,
            min(bound_s * MAX_PROOF_SHARE, self.views[name].read_cost_s / READ_SHARE),
        )
        if rank is None:
            due_age_s += NON_WATCHER_DELAY_S + self.jitter_s
        else:
            due_age_s += rank * WATCHER_STAGGER_S
        if rank != 0:
            due_age_s += self.answer_delay_s.get(name, 0.0)
        now = monotonic()
        since_try_s = now - self.tried_at.get(name, float("-inf"))
        unproven_s = min(self.age_s(name, now), since_try_s)
        return due_age_s - (min(unproven_s, reached_s) if rank is None else unproven_s)

    async def prove(self, name: str) -> bool:
        """Prove a view by reading its keys.

        :returns: whether this host had missed a change.
        """
        view = self.views[name]
        asked_at = self.tried_at[name] = monotonic()
        known = view.digest
        try:
            view.reset(await self.kv.read_over_new_connection(self.prefixes[name]))
        except KvError as error:
            emit(events.VIEW_NOT_PROVEN, view=name, reason=str(error))
            return False
        self._prove(name, asked_at)
        self.proven_at[name] = max(self.proven_at[name], asked_at)
        self.count += 1
        return view.digest != known

    def _prove(self, name: str, at: float) -> None:
        """Record a proof, unless it is a known one that was relayed later."""
        if at > self.proven_at.get(name, float("-inf")) + SAME_PROOF_S:
            self.proven_at[name] = at
            self.answer_delay_s[name] = min(MAX_ANSWER_DELAY_S, monotonic() - at)

"""Delays batch items under which targets crash soon after the start, without I/O or clocks.

Targets that crash by themselves also end the items that they run, so an item is never given up and
runs within a second of the last crash. Without any delay, a job whose items crashed their targets
would end all targets of a service again and again, and the other items would never complete.

The same decision is made as for callers' requests (:mod:`.suspects`), with the crashes under this
host's items alone, and three differences:

- A crash counts only within :data:`EARLY_CRASH_S` of the start of the item, and a run that lasts
  longer counts as a complete answer.
- Items with a suspected key start one after the other.
- Items with a held key start one after the other as well, :data:`RETRY_DELAY_S` after each crash.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from ..util.structs import Struct, field
from .suspects import Standing, Suspects, Trial

if TYPE_CHECKING:
    from collections.abc import Collection

    from ..ids import SuspectKey, TargetNumber

EARLY_CRASH_S = 0.2
"""Seconds after the start of an item in which a crash of its target counts. Targets that crash
because of their work do so when they begin to write the answer."""
TRIAL_LIFETIME_S = 2 * EARLY_CRASH_S
"""Seconds after which a trial counts as ended whatever became of its run."""
RETRY_DELAY_S = 0.7
"""Seconds from a crash until an item with a held key starts. Its run then takes
:data:`EARLY_CRASH_S` to clear the key, so that all items run within a second of the last crash."""


class CrashBackoff(Struct):
    """The early crashes under a host's items.

    :ivar suspects: crashes and cleared keys.
    :ivar trials: start of the trial of each suspected or held key.
    """

    suspects: Suspects = field(default_factory=Suspects)
    trials: dict[SuspectKey, float] = field(default_factory=dict)

    def may_start(self, keys: Collection[SuspectKey], now: float) -> bool:
        """Return whether an item may start.

        :param keys: keys of the item and of the shared parts of its prompt.
        """
        verdict = self.suspects.judge(keys, now)
        if verdict.standing.value < Standing.SUSPECTED.value:
            return True
        if any(now - self.trials.get(key, -math.inf) < TRIAL_LIFETIME_S for key in verdict.keys):
            return False
        crashed_at = max(self.suspects.records[key].newest_crash_at for key in verdict.keys)
        return verdict.standing is Standing.SUSPECTED or now - crashed_at >= RETRY_DELAY_S

    def note_start(self, keys: Collection[SuspectKey], now: float) -> None:
        """Record that an item starts, which :meth:`may_start` has allowed."""
        verdict = self.suspects.judge(keys, now)
        if verdict.standing.value >= Standing.SUSPECTED.value:
            self.trials.update(dict.fromkeys(verdict.keys, now))

    def note_running(self, keys: Collection[SuspectKey], now: float) -> None:
        """Record that a run has lasted longer than :data:`EARLY_CRASH_S`."""
        for key in keys:
            self.trials.pop(key, None)
            self.suspects.note_answer(key, now)

    def note_end(self, keys: Collection[SuspectKey], started_at: float) -> None:
        """Record that a run which began at *started_at* has ended."""
        for key in keys:
            if self.trials.get(key) == started_at:
                del self.trials[key]

    def note_crash(
        self,
        incarnation: TargetNumber,
        keys: Collection[SuspectKey],
        started_at: float,
        now: float,
    ) -> None:
        """Record that a target crashed under a run which began at *started_at*."""
        if now - started_at >= EARLY_CRASH_S:
            return
        crashed = [
            (key, Trial.ALONE if self.trials.get(key) == started_at else Trial.NONE) for key in keys
        ]
        self.suspects.note_crash(incarnation, crashed, now)
        self.suspects.forget(now)

"""Counts of online calls in flight, sent by the entries to the feeder of each target.

An entry is a process that serves online callers (:mod:`gradepoint.online.entry`). A feeder sends
batch sequences to a target; each target has one.

A target's load report is late, while an entry knows its own calls at once. The feeder adds up the
counts of all entries and drops those of an entry that no longer sends any.
See docs/design/sharing.md.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import msgspec

from ..util.hashing import rank
from .batch_window import LoadReport, merge_notices

if TYPE_CHECKING:
    from collections.abc import Sequence

GATHER_S = 0.02
"""Seconds for which an entry collects changes before it sends them."""
REFRESH_S = 2.0
NOTICE_LIFETIME_S = 7.0


class InFlightNotice(msgspec.Struct, frozen=True, array_like=True, tag="in_flight"):
    """Numbers of calls that one entry has in flight, by target."""

    entry: str
    counts: dict[str, int]
    v: int = 1


def feeder_host(target: str, hosts: Sequence[str]) -> str:
    """Return the host that feeds batch to *target*; every host computes the same one."""
    return rank(f"feeder:{target}", hosts)[0]


@dataclass
class InFlightTable:
    """The last counts of all entries, kept by a feeder.

    :ivar counts: count and time of receipt, by target and entry.
    """

    counts: dict[str, dict[str, tuple[int, float]]] = field(default_factory=dict)

    def take(self, notice: InFlightNotice, now: float) -> None:
        """Store an entry's counts."""
        for target, count in notice.counts.items():
            self.counts.setdefault(target, {})[notice.entry] = (count, now)

    def merge(self, target: str, report: LoadReport, now: float) -> LoadReport:
        """Return *report* with the entries' counts of online calls; unchanged without fresh
        counts."""
        rows = self.counts.get(target, {})
        for entry in [name for name, (_, at) in rows.items() if now - at > NOTICE_LIFETIME_S]:
            del rows[entry]
        if not rows:
            return report
        return merge_notices(report, sum(count for count, _ in rows.values()))

"""Online calls in flight, as the entries tell the feeder of each target.

A target's load report comes late; an entry knows of its own calls at once. The feeder
adds up what the entries say, and forgets an entry that fell silent.
docs/design/sharing.md has what this was measured to bring.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import msgspec

from ..util.hashing import rank
from .slack import LoadReport, merge_notices

if TYPE_CHECKING:
    from collections.abc import Sequence

GATHER_S = 0.02
"""Seconds in which an entry gathers changes before it tells them."""
REFRESH_S = 2.0
LIFETIME_S = 7.0


class InFlightNotice(msgspec.Struct, frozen=True, array_like=True, tag="in_flight"):
    """Calls that one entry has in flight at some targets."""

    entry: str
    counts: dict[str, int]
    v: int = 1


def feeder_host(target: str, hosts: Sequence[str]) -> str:
    """Return the host that feeds batch to *target*, the same at every host."""
    return rank(f"feeder:{target}", hosts)[0]


@dataclass
class InFlightTable:
    """What the entries said last, at a feeder."""

    counts: dict[str, dict[str, tuple[int, float]]] = field(default_factory=dict)

    def take(self, notice: InFlightNotice, now: float) -> None:
        """Note an entry's counts."""
        for target, count in notice.counts.items():
            self.counts.setdefault(target, {})[notice.entry] = (count, now)

    def merge(self, target: str, report: LoadReport, now: float) -> LoadReport:
        """Return *report* with the entries' word, if there is a fresh one."""
        rows = self.counts.get(target, {})
        for entry in [name for name, (_, at) in rows.items() if now - at > LIFETIME_S]:
            del rows[entry]
        if not rows:
            return report
        return merge_notices(report, sum(count for count, _ in rows.values()))

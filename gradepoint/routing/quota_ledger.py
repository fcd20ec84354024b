"""What one host that adds up knows of all hosts' grants to organisations: pure decisions."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from .quotas import (
    LEDGER_IDLE_S,
    TIGHT_SHARE,
    WORD_S,
    Allowance,
    UsualRate,
    Window,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from ..ids import Incarnation, OrganisationNumber

UNNOTICED_S = 1.0
"""Seconds for which a life may be cut off before that is noticed: a little more than what counts as
silence."""
UNKNOWN_SHARE = 0.1
"""Share of an organisation's full room that is there at first where nobody knows what was granted:
a small one has a call, and all of a quota that was just used up stays below what is tolerated."""


@dataclass(frozen=True)
class SilentLife:
    """A listed life that is not heard.

    :param since: time at which it fell silent, and *usual* its usual rates by organisation then.
    :param was_heard: it was heard before; else it has just been listed.
    """

    since: float
    usual: dict[OrganisationNumber, float]
    was_heard: bool = True

    def count_most(
        self, number: OrganisationNumber, allowance: Allowance, hosts: int, now: float
    ) -> float:
        """Return the calls that it may have granted in the last window: at its usual rate or its
        equal part, whichever is more."""
        rate = max(allowance.part_per_s(hosts), self.usual.get(number, 0.0))
        return rate * min(allowance.window_s, now - self.since + UNNOTICED_S)


@dataclass
class QuotaLedger:
    """What one host that adds up knows of all hosts' grants.

    A listed host that it does not hear may be cut off and go on: what it may grant in a window, by
    its usual rate or its equal part, whichever is more, is not granted here.

    :param find_allowance: returns an organisation's allowance, None without a limit.
    :param find_room: returns the room that this host was told of as any other one, None if none.
    :param list_lives: returns the lives that are listed.
    :ivar counts: grants that each life told last, by organisation.
    :ivar usual: usual rates of their grants, and *heard_at* when each was last heard.
    :ivar windows: what all hosts granted in the last window, by organisation.
    :ivar silent: the listed lives that are not heard.
    :ivar listed: how many lives are listed.
    :ivar began_at: time from which this host has added up without a gap.
    :ivar looked_at: time of the last look around, and *few_heard* whether no more than half of the
        listed lives were heard then.
    """

    find_allowance: Callable[[OrganisationNumber], Allowance | None]
    find_room: Callable[[OrganisationNumber], float | None]
    list_lives: Callable[[], Collection[Incarnation]]
    windows: dict[OrganisationNumber, Window] = field(default_factory=dict)
    counts: dict[Incarnation, dict[OrganisationNumber, int]] = field(default_factory=dict)
    usual: dict[Incarnation, dict[OrganisationNumber, UsualRate]] = field(default_factory=dict)
    heard_at: dict[Incarnation, float] = field(default_factory=dict)
    silent: dict[Incarnation, SilentLife] = field(default_factory=dict)
    listed: int = 1
    began_at: float = float("-inf")
    looked_at: float = float("inf")
    few_heard: bool = False

    def find_heard_share(self, now: float) -> float:
        """Return the share of the listed lives that were heard just now.

        A host that is cut off has to see that before it has granted much by its own sums.
        """
        lately = sum(1 for at in self.heard_at.values() if now - at <= WORD_S)
        return min(1.0, lately / max(1, self.listed))

    def take(self, life: Incarnation, told: dict[OrganisationNumber, int], now: float) -> None:
        """Take how many calls a life has granted so far, by organisation."""
        if not self.counts:
            self.began_at = now
        self.heard_at[life] = now
        silent = self.silent.pop(life, None)
        if silent is not None and silent.was_heard:
            self._take_back_silent(silent, now)
        known = life in self.counts
        counts = self.counts.setdefault(life, {})
        usual = self.usual.setdefault(life, {})
        for number, count in told.items():
            # What a life granted before it was first heard was told to others.
            new = count - counts.get(number, count - (1 if known else 0))
            counts[number] = count
            usual.setdefault(number, UsualRate(at=now))
            if new:
                usual[number].add(new, now)
                self._spend(number, new, now)

    def _take_back_silent(self, life: SilentLife, now: float) -> None:
        """Count what a life may have granted while it was not heard, until that is out of the
        window."""
        for number, window in self.windows.items():
            allowance = self.find_allowance(number)
            if allowance is not None:
                count = life.count_most(number, allowance, self.listed, now)
                window.add_spread(count, allowance.window_s, now)

    def _spend(self, number: OrganisationNumber, count: int, now: float) -> None:
        allowance = self.find_allowance(number)
        if allowance is None:
            self.windows.pop(number, None)
            return
        window = self.windows.get(number)
        if window is None:
            window = self.windows[number] = self._begin_window(number, allowance, now)
        window.add(count, now)

    def _begin_window(self, number: OrganisationNumber, allowance: Allowance, now: float) -> Window:
        """Return a window with what may have been granted before this host added up.

        After a restart of all hosts, or where all that added up are cut off, nobody knows.
        """
        window = Window()
        if now - self.began_at >= allowance.window_s:
            return window
        told = self.find_room(number)
        room = allowance.most * UNKNOWN_SHARE if told is None else told
        window.add_spread(max(0.0, allowance.most - room), allowance.window_s, now)
        return window

    def _find_room(self, number: OrganisationNumber, allowance: Allowance, now: float) -> float:
        """Return the calls that there is room for beside what silent lives may grant."""
        elsewhere = sum(
            life.count_most(number, allowance, self.listed, now) for life in self.silent.values()
        )
        granted = self.windows[number].count(allowance.window_s, now)
        return allowance.most - granted - elsewhere

    def note_silent(self, life: Incarnation, now: float) -> None:
        """Take note that a life is not heard: it may be cut off, and go on as it went."""
        self.counts.pop(life, None)
        self.heard_at.pop(life, None)
        usual = self.usual.pop(life, {})
        self.silent[life] = SilentLife(now, {row: rate.read(now) for row, rate in usual.items()})

    def look_around(self, now: float) -> None:
        """Take note of which lives are listed, and leave out organisations that are idle."""
        if now - self.looked_at > UNNOTICED_S:
            # This host stood still, and what the others granted meanwhile is not of this moment.
            self.counts.clear()
            self.heard_at.clear()
            self.usual.clear()
            self.windows.clear()
        self.looked_at = now
        listed = self.list_lives()
        self.listed = len(listed)
        if len(self.counts) * 2 <= self.listed:
            self.few_heard = True
            self.began_at = now
        elif self.few_heard:
            # What the others granted while few were heard is not known.
            self.few_heard = False
            self.windows.clear()
        self.silent = {
            life: self.silent.get(life) or SilentLife(now, {}, was_heard=False)
            for life in listed
            if life not in self.counts
        }
        for life, rates in self.usual.items():
            for number in [row for row, rate in rates.items() if rate.at < now - LEDGER_IDLE_S]:
                del rates[number], self.counts[life][number]
        for number, window in list(self.windows.items()):
            allowance = self.find_allowance(number)
            if allowance is None or not window.count(allowance.window_s, now):
                del self.windows[number]

    def tell(self, now: float) -> dict[OrganisationNumber, float]:
        """Return the room of each organisation that nears its limit."""
        found = {}
        for number in self.windows:
            allowance = self.find_allowance(number)
            if allowance is None:
                continue
            room = self._find_room(number, allowance, now)
            if room < allowance.most * TIGHT_SHARE:
                found[number] = room
        return found

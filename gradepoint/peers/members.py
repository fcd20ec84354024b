"""The hosts that live, as a few of them know it and tell all others: pure, without a clock.

Every host beats to the aggregators only, and these tell everyone which hosts they hear. So a
host sends and hears as many datagrams in a large fleet as in a small one. An aggregator tells
what changed lately, and a digest of all it knows; a host that finds another one asks for the
difference.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from hashlib import blake2b
from typing import TYPE_CHECKING

import msgspec

from ..util.hashing import short_number
from .datagrams import Beat, Member, MemberNews

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from ..ids import ConfigVersion, Incarnation

TOLD_TIMES = 3
"""Datagrams to each host that tell of a change: some may be lost. A host that misses them all finds
another digest."""
MOST_GONE = 24
"""Lives that one datagram tells to be gone: more than hosts are lost at once, but in a disaster."""
MOST_TOLD = 4
"""New or changed members in one datagram. An aggregator sends some thousand datagrams a second, so
that ten times as many, as after a start of the whole fleet, would fill its link; what changed
beside these is asked for by those that find another digest."""
DIGESTS = 1 << 64
"""Digests that there are: two tables that differ are taken for equal once in as many cases."""


class KnownMembers(msgspec.Struct, frozen=True, array_like=True):
    """What a host knows of an aggregator's table, asking for the difference.

    :param numbers: number of each member's beat, by the short number of its life.
    """

    numbers: dict[int, int]


class MissingMembers(msgspec.Struct, frozen=True, array_like=True):
    """What such a host lacks.

    :param rows: members that it does not know, or an older beat of.
    :param gone: short numbers of lives that are not in the table.
    """

    rows: list[Member]
    gone: list[int]


@dataclass
class MemberTable:
    """Members by their lives.

    :ivar digest: stands for every life and the number of its beat.
    :ivar to_tell: how often each change still has to be told, the latest change last.
    """

    rows: dict[Incarnation, Member] = field(default_factory=dict)
    digest: int = 0
    to_tell: dict[Incarnation, int] = field(default_factory=dict)

    def put(self, member: Member) -> None:
        """Take a member, unless a newer beat of it is known."""
        life = member.beat.incarnation
        known = self.rows.get(life)
        if known is not None and known.beat.number >= member.beat.number:
            return
        if known is not None:
            self._count(known, -1)
        self._count(member, 1)
        self.rows[life] = member
        self._note(life)

    def remove(self, life: Incarnation) -> None:
        """Take note that a life has ended, or is not heard."""
        known = self.rows.pop(life, None)
        if known is not None:
            self._count(known, -1)
            self._note(life)

    def _count(self, member: Member, sign: int) -> None:
        raw = b"%b %d" % (member.beat.incarnation.encode(), member.beat.number)
        number = int.from_bytes(blake2b(raw, digest_size=8).digest())
        self.digest = (self.digest + sign * number) % DIGESTS

    def _note(self, life: Incarnation) -> None:
        """Have a change told, after all others."""
        self.to_tell.pop(life, None)
        self.to_tell[life] = TOLD_TIMES

    def tell(self, version: ConfigVersion) -> MemberNews:
        """Return what all hosts are told now, each change a few times.

        :param version: newest configuration that the teller has.
        """
        # The latest come first: a loss does not wait behind a fleet that has just started.
        rows = [life for life in self.to_tell if life in self.rows][-MOST_TOLD:]
        gone = [life for life in self.to_tell if life not in self.rows][-MOST_GONE:]
        for life in (*rows, *gone):
            self.to_tell[life] -= 1
            if not self.to_tell[life]:
                del self.to_tell[life]
        return MemberNews(
            digest=self.digest,
            version=version,
            rows=[self.rows[life] for life in rows],
            gone=[short_number(life) for life in gone],
            more=bool(self.to_tell),
        )

    def take(self, news: MemberNews) -> bool:
        """Take what an aggregator told of its own table; return whether this one is the same."""
        for member in news.rows:
            self.put(member)
        self._remove_short(news.gone)
        return self.digest == news.digest

    def _remove_short(self, gone: Collection[int]) -> None:
        """Remove lives by their short numbers."""
        if gone:
            for life in [life for life in self.rows if short_number(life) in gone]:
                self.remove(life)

    def describe(self, others: Iterable[Member]) -> KnownMembers:
        """Return what is known here and elsewhere, to ask for the rest."""
        rows = [*others, *self.rows.values()]
        return KnownMembers(
            {short_number(row.beat.incarnation): row.beat.number for row in rows},
        )

    def find_missing(self, known: KnownMembers) -> MissingMembers:
        """Return what a host lacks that knows *known*."""
        numbers = {short_number(life): row for life, row in self.rows.items()}
        rows = [
            row
            for number, row in numbers.items()
            if known.numbers.get(number, -1) < row.beat.number
        ]
        return MissingMembers(rows, [number for number in known.numbers if number not in numbers])

    def take_missing(self, missing: MissingMembers, others: Iterable[Member]) -> None:
        """Take what was lacking beside *others*, which were described as known."""
        gone = set(missing.gone)
        for member in [*others, *missing.rows]:
            if short_number(member.beat.incarnation) not in gone:
                self.put(member)
        self._remove_short(gone)


def add_own(told: Beat, direct: Beat) -> Beat:
    """Return a beat that others told, with what its host said last that they do not tell."""
    return msgspec.structs.replace(
        told, views=direct.views, proven=direct.proven, proofs=direct.proofs, jobs=direct.jobs
    )


def strip_beat(beat: Beat) -> Beat:
    """Return what of a beat is told by others. Its views, their proofs and its jobs change often,
    and are told by itself."""
    return msgspec.structs.replace(beat, views={}, proven={}, proofs=0, jobs=[])

"""Entries of another writer that are written, replaced and deleted while faults happen."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from ..foreign_entries import EntryPlaces, draw_entry
from ..platform.store import PlatformStoreStandin
from .routes import HOST

MAX_PAUSE_S = 0.3
"""Most seconds between two series."""
MAX_SERIES = 12
MAX_SERIES_PAUSE_S = 0.02
"""Most seconds between two changes of a series; half of the series are written at once."""
DELETED_SHARE = 0.2
MAX_STANDING = 60
"""Entries that stand at the same time; beyond it, changes delete one."""


@dataclass
class ForeignEntries:
    """Writes the entries of one run, under keys that gradepoint does not use.

    They stand until they are replaced or deleted, and the last ones to the end of the run.

    :param list_names: returns the names of rows of the deployment at this moment.
    :ivar standing: keys of the entries in the store.
    :ivar counts: number of changes by kind.
    """

    seed: int
    store: PlatformStoreStandin
    service: str
    list_names: Callable[[], Sequence[str]]
    standing: set[str] = field(default_factory=set)
    counts: Counter[str] = field(default_factory=Counter)

    def __post_init__(self) -> None:
        # A generator of its own leaves the other draws of the seed as they are.
        self.rng = random.Random(f"{self.seed} entries")
        places = EntryPlaces("night", HOST, self.service).places
        # A place without names is a key that gradepoint uses.
        self.places = [place for place in places if place.suffixes]

    async def write_forever(self) -> None:
        """Change entries in series until cancelled."""
        while True:
            await asyncio.sleep(self.rng.uniform(0.0, MAX_PAUSE_S))
            pause_s = self.rng.choice((0.0, MAX_SERIES_PAUSE_S))
            for _ in range(self.rng.randint(1, MAX_SERIES)):
                self._change()
                if pause_s:
                    await asyncio.sleep(self.rng.uniform(0.0, pause_s))

    def _change(self) -> None:
        """Write or delete one entry."""
        is_full = len(self.standing) >= MAX_STANDING
        if self.standing and (is_full or self.rng.random() < DELETED_SHARE):
            key = self.rng.choice(sorted(self.standing))
            self.standing.discard(key)
            self.store.delete(key)
            self.counts["entry deleted"] += 1
            return
        place = self.rng.choice(self.places)
        entry = draw_entry(place, self.rng, self.list_names())
        self.counts["entry replaced" if entry.key in self.standing else "entry written"] += 1
        self.standing.add(entry.key)
        self.store.put(entry.key, entry.value.raw)

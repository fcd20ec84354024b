"""Entries that another writer may leave in the key-value service, drawn from a seed."""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass, field

import msgspec

from gradepoint.gateway.held import HELD_PREFIX, HeldRow
from gradepoint.gateway.version_history import VERSIONS_KEY, VersionRecord
from gradepoint.ids import (
    HostName,
    Incarnation,
    ItemId,
    ServiceName,
    SoftwareVersion,
    TargetNumber,
)
from gradepoint.jobs.records import (
    END_PREFIX,
    INPUT_PREFIX,
    JOB_PREFIX,
    LARGE_PREFIX,
    PARTIAL_PREFIX,
    QUOTA_PREFIX,
    RESULT_PREFIX,
    Item,
    ItemOutcome,
    JobState,
    PartialText,
    Quota,
    Result,
)
from gradepoint.peers.presence import (
    DATA_HOST_PREFIX,
    KNOWN_DATA_HOST_PREFIX,
    LIVE_PREFIX,
    PRESENCE_PREFIX,
    HostPresence,
)
from gradepoint.routing.suspects import Trial

from .foreign_values import DrawnValue, draw_value

OWN_NAMES = ("another", "other")
"""Beginnings of the usual names: some are listed before and some behind the rows of gradepoint."""
NAMES_EACH = 2
"""Number of names with each beginning. Few, so that the rows of a job meet under the same one."""
ODD_NAMES = (
    *("", "a b", "\u00e9", "..", "%2F", "x" * 100, "a/b/c", "\U0001f600", "a\nb", "0"),
    *("\ud83d", "0\udc00", "\udcff"),
)
"""The last ones have half of a surrogate pair, and are no text."""
ODD_SHARE = 0.2
UNUSED_ADDRESS = "127.0.0.1:9"


@dataclass(frozen=True)
class Place:
    """Where entries are drawn.

    :param prefix: prefix of their keys, or a whole key if *suffixes* is empty.
    :param sound: sound value of the record that readers expect there.
    :param suffixes: ends of keys behind the name of an entry; one is drawn.
    """

    prefix: str
    sound: bytes
    suffixes: tuple[str, ...] = ("",)


@dataclass
class EntryPlaces:
    """The places of all rows that gradepoint reads, for one deployment.

    :param route: name of a route for batch jobs.
    :param host: Host header of its requests.
    :param service: service of the targets.
    :param names: names in other rows, see :func:`~bench.foreign_values.change_names`.
    """

    route: str
    host: str
    service: str
    names: Sequence[str] = ()
    places: list[Place] = field(init=False)

    def __post_init__(self) -> None:
        pack, text = msgspec.msgpack.encode, msgspec.json.encode
        parts = ("/000000", "/000001", "")
        presence = text(
            HostPresence(HostName("other-0"), Incarnation("other-0:1"), "zone-a", UNUSED_ADDRESS)
        )
        held = HeldRow(self.host, "POST", "/plain/a", ["a:1"], [(TargetNumber(7), Trial.ALONE)])
        versions = VersionRecord(
            Incarnation("other-0:1"), {ServiceName(self.service): [SoftwareVersion("v0")]}
        )
        self.places = [
            Place("servers/", self._make_target()),
            Place("op/", b'{"version":7}'),
            Place(JOB_PREFIX, pack(self._make_state())),
            Place(QUOTA_PREFIX, pack(Quota(700))),
            Place(
                INPUT_PREFIX, pack([Item(ItemId("a"), "/night/1", [("x", "y")], b"b", 9)]), parts
            ),
            Place(RESULT_PREFIX, pack([Result(0, ItemOutcome.COMPLETE, "text")]), parts),
            Place(LARGE_PREFIX, b"part of a value", ("/" + "0" * 64 + "/1000/000000", "")),
            Place(PARTIAL_PREFIX, pack({0: PartialText(2, ["a", "b"])})),
            Place(PRESENCE_PREFIX, presence),
            Place(DATA_HOST_PREFIX, presence),
            Place(KNOWN_DATA_HOST_PREFIX, presence),
            Place(HELD_PREFIX, text(held), ("", "-0123456789abcdef")),
            Place(END_PREFIX, b""),
            Place(VERSIONS_KEY, text(versions), ()),
            Place(f"{LIVE_PREFIX}other/", presence),
            Place("status/retire/", b'{"state":"complete"}'),
        ]

    def _make_target(self) -> bytes:
        row = {"service": self.service, "addr": UNUSED_ADDRESS, "zone": "zone-a", "version": "v0"}
        numbers = {"slot_count": 4, "cold_left_ms": 0, "call_seq": 1, "born": 1}
        return msgspec.json.encode({**row, "state": "ready", **numbers})

    def _make_state(self) -> JobState:
        """Return the state of a job of two items, one of which has ended."""
        return JobState(
            self.route,
            self.host,
            Incarnation("other-0:1"),
            1,
            [ItemId("a"), ItemId("b")],
            [9, 9],
            [Result(0, ItemOutcome.COMPLETE)],
            1,
            {1: 1},
            part_sizes=[(1, 9)],
        )


@dataclass(frozen=True)
class Entry:
    """An entry of another writer."""

    key: str
    value: DrawnValue

    def __str__(self) -> str:
        return f"{self.key!r}: {self.value.kind}, {len(self.value.raw)} bytes"


def draw_entry(place: Place, rng: random.Random, names: Sequence[str]) -> Entry:
    """Return an entry under a name of its own.

    :param names: see :class:`EntryPlaces`.
    """
    key = place.prefix
    if place.suffixes:
        name = f"{rng.choice(OWN_NAMES)}-{rng.randrange(NAMES_EACH)}"
        if rng.random() < ODD_SHARE:
            name = rng.choice(ODD_NAMES)
        key += name + rng.choice(place.suffixes)
    if key.startswith(HELD_PREFIX) and "-0123" in key:
        # Readers expect sixteen hexadecimal digits there.
        key = f"{HELD_PREFIX}{rng.getrandbits(64):016x}"
    return Entry(key, draw_value(place.sound, rng, names))


def draw_entry_over(key: str, sound: bytes, rng: random.Random, names: Sequence[str]) -> Entry:
    """Return an entry in place of the value that stands under a key."""
    return Entry(key, draw_value(sound, rng, names))


def draw_entries(places: EntryPlaces, rng: random.Random, count: int) -> list[Entry]:
    """Return *count* entries at each place."""
    return [draw_entry(place, rng, places.names) for place in places.places for _ in range(count)]

"""Incarnations of the listed hosts."""

from __future__ import annotations

import msgspec

from gradepoint.ids import HostName, Incarnation
from gradepoint.peers.presence import PRESENCE_PREFIX, HostPresence, HostTable


def list_host(table: HostTable, host: str, incarnation: str) -> Incarnation:
    """List an incarnation of a host and return it."""
    row = HostPresence(HostName(host), Incarnation(incarnation), "zone", "127.0.0.1:1")
    table.put(PRESENCE_PREFIX + host, msgspec.json.encode(row))
    return row.incarnation


def test_heard_incarnation_stands_for_a_former_one_that_is_still_listed() -> None:
    # Quotas were reserved for the former incarnations of all hosts after these had restarted
    # together, which left large organisations without room.
    table = HostTable()
    former = list_host(table, "a", "a:1")
    silent = list_host(table, "b", "b:1")
    now = Incarnation("a:2")
    assert table.find_current([now]) == {now, silent}
    # A listed incarnation that is still heard may grant calls.
    assert table.find_current([now, former]) == {former, silent}
    assert table.find_current([]) == {former, silent}

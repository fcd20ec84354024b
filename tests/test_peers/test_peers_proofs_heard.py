"""Which proofs of other hosts a host may accept."""

from __future__ import annotations

import asyncio
from typing import Any

from gradepoint.kv.omission import RowLimit
from gradepoint.kv.service import KeyValue, RangeResult, WatchEvent
from gradepoint.kv.view import PrefixView
from gradepoint.peers.proofs import Proofs
from gradepoint.standins.virtual_time import run_virtual
from tests.support.views import ValuesFollower

BOUND_S = 2.0


def make_view(revision: int) -> PrefixView:
    """Return a view of one key."""
    view = PrefixView(ValuesFollower())
    view.reset(RangeResult((KeyValue("a", b"1", 1),), revision))
    return view


def test_proof_by_a_host_that_never_knew_a_key_is_rejected() -> None:
    """A proof by a host that missed a key must not be accepted by a host that knows the key.

    A target appeared at revision 20 and was removed at 22. One host missed both changes, reads all
    keys at 23, finds what it knows, and proves its view at 19. Another host received the first
    change and not the second.
    """
    sender, receiver = make_view(19), make_view(19)
    receiver.change(WatchEvent("b", b"ready", 20))
    sender.reset(RangeResult((KeyValue("a", b"1", 1),), 23))
    assert sender.revision == 19
    store: Any = None
    proofs = Proofs(store, {"targets": ""}, {"targets": receiver}, {"targets": 2.0})
    proofs.receive({"targets": (0, sender.digest)})
    assert "targets" not in proofs.proven_at


def test_relayed_proof_does_not_count_as_a_slow_service() -> None:
    """A relayed proof must not be taken as a sign that the service is slow.

    A host receives a proof at once, and the same one from another watcher most of a second later.
    The age of the second tells when that watcher's heartbeat was due. If it counted as the answer
    time of the service, the host would wait longer for the next proof, as it does while the service
    is slow.
    """

    async def work() -> None:
        view, store = make_view(10), None
        unused: Any = store
        proofs = Proofs(unused, {"targets": ""}, {"targets": view}, {"targets": 2.0})
        proofs.receive({"targets": (4, view.digest)})
        due_s = proofs.due_in_s("targets", None)
        await asyncio.sleep(0.9)
        proofs.receive({"targets": (899, view.digest)})
        assert proofs.due_in_s("targets", None) <= due_s - 0.9

    run_virtual(work())


def test_view_with_large_rows_of_another_writer_is_read_less_often() -> None:
    # Each proof reads all values: 60 of 1 MB took a seventh of a core as long as they stood.
    async def work() -> None:
        limits = (RowLimit("a", 1000, lambda key, value: False),)
        views = {"many": PrefixView(ValuesFollower(), limits), "few": make_view(1)}
        rows = [KeyValue("a", b"x" * 60_000_000, 1)]
        rows += [KeyValue(f"target-{number}", b"x" * 300, 1) for number in range(10_000)]
        views["many"].reset(RangeResult(tuple(rows), 1))
        views["sound"] = PrefixView(ValuesFollower(), limits)
        views["sound"].reset(RangeResult(tuple(rows[1:]), 1))
        store: Any = None
        proofs = Proofs(store, {}, views, dict.fromkeys(views, BOUND_S))
        proofs.receive({name: (0, view.digest) for name, view in views.items()})
        due_s = {name: proofs.due_in_s(name, 0) for name in views}
        assert due_s["few"] == due_s["sound"] < due_s["many"]
        # Due at the bound, a proof came too late by the time of each answer.
        assert due_s["many"] <= BOUND_S - BOUND_S / 4

    run_virtual(work())

"""Whose proofs a host may take as its own."""

from __future__ import annotations

import asyncio
from typing import Any

from gradepoint.kv.service import KeyValue, RangeResult, WatchEvent
from gradepoint.kv.view import PrefixView
from gradepoint.peers.proofs import Proofs
from gradepoint.standins.virtual_time import run_virtual
from tests.support.views import KeptValues


def make_view(revision: int) -> PrefixView:
    """Return a view of one key."""
    view = PrefixView(KeptValues())
    view.reset(RangeResult((KeyValue("a", b"1", 1),), revision))
    return view


def test_the_proof_of_a_host_that_never_knew_a_key_says_nothing_of_it() -> None:
    """A target came at 20 and went at 22. One host missed both; it reads all keys at 23, finds what
    it knows, and proves its view at 19. Another heard that the target came and not that it went.
    """
    teller, listener = make_view(19), make_view(19)
    listener.change(WatchEvent("b", b"ready", 20))
    teller.reset(RangeResult((KeyValue("a", b"1", 1),), 23))
    assert teller.revision == 19
    store: Any = None
    proofs = Proofs(store, {"targets": ""}, {"targets": listener}, {"targets": 2.0})
    proofs.hear({"targets": (0, teller.digest)})
    assert "targets" not in proofs.proven_at


def test_a_proof_that_a_third_host_tells_again_does_not_make_the_service_slow() -> None:
    """A host hears of a proof at once, and of the same one from another watcher most of a second
    later. Its age then says when that one's beat was due, not that the service was slow; taken so,
    a host would wait for the next proof as much longer as it does where the service is slow.
    """

    async def work() -> None:
        view, store = make_view(10), None
        unused: Any = store
        proofs = Proofs(unused, {"targets": ""}, {"targets": view}, {"targets": 2.0})
        proofs.hear({"targets": (4, view.digest)})
        due_s = proofs.due_in_s("targets", None)
        await asyncio.sleep(0.9)
        proofs.hear({"targets": (899, view.digest)})
        assert proofs.due_in_s("targets", None) <= due_s - 0.9

    run_virtual(work())

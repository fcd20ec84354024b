"""Requests and answers of other hosts with fields that no version of this program sends."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import msgspec
import pytest

from gradepoint.errors import DecodingError
from gradepoint.jobs.api import JobApi
from gradepoint.jobs.shared_listing import SharedListing
from gradepoint.kv.view import ViewUpdate
from gradepoint.peers.presence import decode_presence
from gradepoint.peers.watchers import ViewUpdates, Watchers
from gradepoint.standins.virtual_time import run_virtual
from gradepoint.util.tasks import TaskGroup

NO_NUMBERS = ["", "x", "-1", "1.5", "\u00b2", "9" * 400, "9" * 10000]


def make_request(**query: str) -> Any:
    """Return a request of another host."""
    return SimpleNamespace(path="/jobs/j", query=query)


@pytest.mark.parametrize("text", NO_NUMBERS)
def test_request_with_a_field_that_is_no_number_is_refused(text: str) -> None:
    """ValueError or OverflowError ended the call with 500, which is logged as a fault."""

    async def main() -> None:
        view = SimpleNamespace(make_update=lambda revision, digest: None)
        proofs = SimpleNamespace(list_proofs=dict)
        watchers: Any = SimpleNamespace(views={"jobs": view}, proofs=proofs, update_bytes=0)
        for query in ({"jobs": text}, {"jobs-digest": text, "jobs": "1"}):
            assert Watchers.answer_update_request(watchers, make_request(**query)).status == 400
        job = SimpleNamespace(entered=True)
        worker = SimpleNamespace(jobs={"j": job})
        api: Any = SimpleNamespace(worker=worker, leaving=False, may_answer_for=lambda _: True)
        for query in ({"wait_ms": text}, {"position": text}):
            assert (await JobApi.answer_peer(api, make_request(**query))).status == 400
        listing: Any = SimpleNamespace(latest_begun_at=0.0)
        assert (await SharedListing.answer(listing, make_request(age_ms=text))).status == 400

    run_virtual(main())


@pytest.mark.parametrize(
    "address", ["", "10.0.0.1", "10.0.0.1:", "10.0.0.1:99999", "10.0.0.1:0", "name:1", ":1", "a:-1"]
)
def test_presence_with_an_address_that_no_datagram_reaches_is_unreadable(address: str) -> None:
    """Sending to it raised OverflowError, or looked up a name, in the loop that sends to all."""
    row = {"host": "h", "incarnation": "h:1", "failure_domain": "d", "peer_address": address}
    with pytest.raises(DecodingError):
        decode_presence("h", msgspec.json.encode(row))


def test_view_that_only_the_other_version_has_is_left_out() -> None:
    """KeyError ended the loop that fetches updates, so that the views behind it got none."""

    async def main() -> None:
        applied: list[int] = []
        view = SimpleNamespace(
            revision=0, digest=0, apply_update=lambda part: applied.append(part.revision)
        )
        parts = {"newer": ViewUpdate(1, False), "jobs": ViewUpdate(2, False)}
        body = msgspec.msgpack.encode(ViewUpdates(parts, {}))

        async def send(*_: Any) -> Any:
            return SimpleNamespace(status=200, read=read)

        async def read() -> bytes:
            return body

        watchers: Any = SimpleNamespace(
            views={"jobs": view},
            unread=set(),
            missed_at={},
            tasks=TaskGroup(),
            http=SimpleNamespace(send=send),
            proofs=SimpleNamespace(receive=lambda *_: None),
            _find_offered=lambda *_: {},
        )
        assert await Watchers._fetch(watchers, "10.0.0.1:1")
        assert applied == [2]

    run_virtual(main())

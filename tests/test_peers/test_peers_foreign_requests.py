"""Requests and answers of other hosts with fields that no version of this program sends."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import pytest

from gradepoint.jobs.api import JobApi
from gradepoint.jobs.shared_listing import SharedListing
from gradepoint.peers.watchers import Watchers
from gradepoint.standins.virtual_time import run_virtual

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

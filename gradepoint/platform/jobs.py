"""The platform's HTTP interface for batch jobs, whose paths call a job a "lot"."""

from __future__ import annotations

import base64
from typing import TYPE_CHECKING, Annotated
from urllib.parse import unquote

import msgspec

from ..errors import DecodingError, GradepointError
from ..ids import ItemId
from ..jobs.calls import EndJob, JobCall, ReadItem, ReadResults
from ..jobs.records import Item, ItemOutcome
from ..util import decoding
from ..util.numbers import read_whole_number, read_wire_number
from ..wire.http_client import find_request_fault
from .headers import WAIT_MS

if TYPE_CHECKING:
    from ..jobs.calls import ResultPage
    from ..wire.http_types import Request

JOB_PATH = "/api/lots/"
ITEM_PATH = "/api/items/"
MAX_READ_WAIT_S = 1.0
"""Longest time in seconds that a read may wait for new results."""
MAX_ITEMS = 200
"""Largest number of items in one job."""

MAX_TOKENS = (1 << 53) - 1
"""Most tokens of one item. Sums of the tokens of all items are kept in 64 bits."""

ITEM_STATES = {ItemOutcome.COMPLETE: "complete", ItemOutcome.DEAD: "dead"}


class _Item(msgspec.Struct):
    id: str
    path: str
    headers: dict[str, str]
    body: str
    # Prompt tokens plus the maximum number of output tokens.
    tokens: Annotated[int, msgspec.Meta(ge=0, le=MAX_TOKENS)]


class _Submission(msgspec.Struct):
    items: list[_Item]


class _Result(msgspec.Struct):
    id: str
    state: str
    # The complete output text of the item.
    message: str


class _Page(msgspec.Struct):
    total_count: int
    # The position after the last result listed here.
    next_token: int
    results: list[_Result]


class PlatformJobDialect:
    """Implements :class:`~gradepoint.jobs.calls.JobDialect` for the platform."""

    def read_job_call(self, request: Request) -> JobCall | None:
        """See :meth:`JobDialect.read_job_call`."""
        path = request.target.partition("?")[0]
        if path.startswith(JOB_PATH):
            client_id = unquote(path[len(JOB_PATH) :])
            if request.method == "DELETE":
                return EndJob(client_id)
            if request.method == "GET":
                return ReadResults(client_id, _read_position(request), _read_wait(request))
        elif path.startswith(ITEM_PATH) and request.method == "GET":
            return ReadItem(unquote(path[len(ITEM_PATH) :]), ItemId(request.query.get("id", "")))
        return None

    def decode_submission(self, body: bytes) -> list[Item]:
        """See :meth:`JobDialect.decode_submission`."""
        try:
            rows = decoding.decode_json(body, _Submission).items
            if len(rows) > MAX_ITEMS:
                raise GradepointError("bad_request", f"A job has at most {MAX_ITEMS} items.")
            return [_read_item(row) for row in rows]
        except (DecodingError, ValueError) as error:
            # ValueError: a body is not base64.
            raise GradepointError("bad_request", f"The job cannot be read: {error}.") from error

    def encode_page(self, page: ResultPage) -> bytes:
        """See :meth:`JobDialect.encode_page`."""
        rows = [
            _Result(page.item_ids[row.index], ITEM_STATES[row.end], row.text)
            for row in page.results
        ]
        return msgspec.json.encode(_Page(page.total, page.position + len(rows), rows))


def _read_item(row: _Item) -> Item:
    headers = list(row.headers.items())
    body = base64.b64decode(row.body, validate=True)
    # The id is sent in a header, too.
    fault = find_request_fault(row.path, [*headers, ("id", row.id)], body)
    if fault:
        raise GradepointError("bad_request", f"Item {row.id!r} cannot be sent: {fault}.")
    return Item(ItemId(row.id), row.path, headers, body, row.tokens)


def _read_position(request: Request) -> int:
    position = read_wire_number(request.query.get("after_rev", "0"))
    if position is None:
        raise GradepointError("bad_request", "The position must be a whole number of 64 bits.")
    return position


def _read_wait(request: Request) -> float:
    wait_ms = read_whole_number(request.headers.get(WAIT_MS, "")) or 0
    return min(round(MAX_READ_WAIT_S * 1000), wait_ms) / 1000

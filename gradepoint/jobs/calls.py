"""Decoded calls of batch clients, and the interface of the codec for their wire format."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from ..util.structs import Struct

if TYPE_CHECKING:
    from ..ids import ItemId
    from ..wire.http_types import Request
    from .records import Item, Result


class ReadResults(Struct, frozen=True):
    """A request for a job's results from a position on.

    :param client_id: the job's id as its client sent it.
    :param wait_s: seconds that the answer may be delayed until there is a result.
    """

    client_id: str
    position: int
    wait_s: float


class ReadItem(Struct, frozen=True):
    """A request for the body of one item, as it was submitted."""

    client_id: str
    item_id: ItemId


class EndJob(Struct, frozen=True):
    """A request to end a job; items that have not ended are not run any more."""

    client_id: str


JobCall = ReadResults | ReadItem | EndJob


class ResultPage(Struct, frozen=True):
    """Consecutive results of a job.

    :param total: number of items of the job.
    :param position: position of the first of *results* in the list of all results.
    :param item_ids: ids of the job's items by index.
    """

    total: int
    position: int
    results: list[Result]
    item_ids: list[ItemId]


class JobDialect(Protocol):
    """Decodes calls of batch clients and encodes the answers."""

    def read_job_call(self, request: Request) -> JobCall | None:
        """Decode a call about a job; None if the request is not such a call."""

    def decode_submission(self, body: bytes) -> list[Item]:
        """Decode the items of a submitted job.

        :raises GradepointError: ``bad_request``.
        """

    def encode_page(self, page: ResultPage) -> bytes:
        """Encode the answer to :class:`ReadResults`."""

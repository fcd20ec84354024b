"""Calls of batch clients, decoded, and the port to how they are spoken."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from ..ids import ItemId
    from ..wire.http_types import Request
    from .records import Item, Result


@dataclass(frozen=True)
class ReadResults:
    """Read results from a position on.

    :param client_id: the job's id as its client gave it.
    :param wait_s: seconds that the answer may wait for a result to exist.
    """

    client_id: str
    position: int
    wait_s: float


@dataclass(frozen=True)
class ReadItem:
    """Read the body of an item."""

    client_id: str
    item_id: ItemId


@dataclass(frozen=True)
class EndJob:
    """End a job."""

    client_id: str


JobCall = ReadResults | ReadItem | EndJob


@dataclass(frozen=True)
class ResultPage:
    """Some results of a job, in order.

    :param total: items of the job.
    :param position: that of the first of *results*.
    :param item_ids: ids of the job's items by index.
    """

    total: int
    position: int
    results: list[Result]
    item_ids: list[ItemId]


class JobDialect(Protocol):
    """Reads calls of batch clients and writes their answers."""

    def read_job_call(self, request: Request) -> JobCall | None:
        """Decode a call about a job; None where the request is none."""

    def decode_submission(self, body: bytes) -> list[Item]:
        """Decode a job.

        :raises GradepointError: ``bad_request``.
        """

    def encode_page(self, page: ResultPage) -> bytes:
        """Encode results."""

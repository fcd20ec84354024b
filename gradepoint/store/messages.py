"""Requests to the store program and its replies."""

from __future__ import annotations

from ..wire.rpc import PROTOCOL_VERSION, Message


class PutObject(Message, tag="put"):
    """Write an object; its content is in the data frame of the request."""

    hash: str
    v: int = PROTOCOL_VERSION


class GetObject(Message, tag="get"):
    """Read an object; the content is in the data frame of the reply."""

    hash: str
    v: int = PROTOCOL_VERSION


class HaveObjects(Message, tag="have"):
    """Request which of these objects exist; their content is not checked."""

    hashes: list[str]
    v: int = PROTOCOL_VERSION


class ListObjects(Message, tag="list"):
    """List at most *limit* object names in ascending order, starting after *after*."""

    after: str
    limit: int
    v: int = PROTOCOL_VERSION


class DeleteObject(Message, tag="delete"):
    """Delete an object last written at least *min_age_s* seconds ago."""

    hash: str
    min_age_s: float
    v: int = PROTOCOL_VERSION


class Done(Message, tag="done"):
    """The request was carried out.

    :param found: False if the object to read has no good copy, or if the object to delete is
        missing or too recent.
    """

    found: bool = True
    v: int = PROTOCOL_VERSION


class Names(Message, tag="names"):
    """Object names, as the reply to :class:`HaveObjects` and :class:`ListObjects`."""

    hashes: list[str]
    v: int = PROTOCOL_VERSION


StoreRequest = PutObject | GetObject | HaveObjects | ListObjects | DeleteObject
StoreReply = Done | Names

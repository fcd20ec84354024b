"""Messages of the store program."""

from __future__ import annotations

from ..wire.rpc import PROTOCOL_VERSION, Message


class PutObject(Message, tag="put"):
    """Write the object in the data frame."""

    hash: str
    v: int = PROTOCOL_VERSION


class GetObject(Message, tag="get"):
    """Read an object."""

    hash: str
    v: int = PROTOCOL_VERSION


class HaveObjects(Message, tag="have"):
    """Ask which of these objects are there."""

    hashes: list[str]
    v: int = PROTOCOL_VERSION


class ListObjects(Message, tag="list"):
    """List names after *after*, at most *limit*."""

    after: str
    limit: int
    v: int = PROTOCOL_VERSION


class DeleteObject(Message, tag="delete"):
    """Delete an object last written at least *least_age_s* seconds ago."""

    hash: str
    least_age_s: float
    v: int = PROTOCOL_VERSION


class Done(Message, tag="done"):
    """The request was carried out; *found* tells of an object asked for."""

    found: bool = True
    v: int = PROTOCOL_VERSION


class Names(Message, tag="names"):
    """Names of objects."""

    hashes: list[str]
    v: int = PROTOCOL_VERSION


StoreRequest = PutObject | GetObject | HaveObjects | ListObjects | DeleteObject
StoreReply = Done | Names

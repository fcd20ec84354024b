"""Request handling of the store program."""

from __future__ import annotations

from itertools import islice
from typing import TYPE_CHECKING

from .. import events
from ..ids import ObjectHash
from ..telemetry import metrics
from ..telemetry.logs import emit
from ..wire.rpc import Failed, Message, RpcServer
from .messages import (
    DeleteObject,
    Done,
    GetObject,
    HaveObjects,
    ListObjects,
    Names,
    PutObject,
    StoreRequest,
)

if TYPE_CHECKING:
    from .disk import DiskStore


class StoreServer:
    """Serves the objects of one disk over RPC."""

    def __init__(self, disk: DiskStore) -> None:
        self.disk = disk
        self.rpc = RpcServer(StoreRequest, self.handle)

    async def handle(self, message: Message, data: bytes) -> tuple[Message, bytes]:
        """Execute one request and return the reply message and its data frame."""
        metrics.shared().objects.add(1, {"operation": type(message).__name__})
        if isinstance(message, PutObject):
            self.disk.put(ObjectHash(message.hash), data)
            return Done(), b""
        if isinstance(message, GetObject):
            return self._get(ObjectHash(message.hash))
        if isinstance(message, HaveObjects):
            return Names([name for name in message.hashes if self.disk.has(ObjectHash(name))]), b""
        if isinstance(message, ListObjects):
            later = (name for name in self.disk.names() if name > message.after)
            return Names(list(islice(later, message.limit))), b""
        if isinstance(message, DeleteObject):
            return Done(self.disk.delete(ObjectHash(message.hash), message.min_age_s)), b""
        return Failed("unknown request"), b""

    def _get(self, name: ObjectHash) -> tuple[Message, bytes]:
        data = self.disk.read(name)
        if data is None:
            if self.disk.has(name):
                emit(events.OBJECT_CORRUPT, object=name)
                self.disk.quarantine(name)
            return Done(False), b""
        return Done(), data

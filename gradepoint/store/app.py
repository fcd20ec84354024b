"""The store program: bulk objects over zmq, health and metrics over HTTP."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

from ..errors import GradepointError
from ..wire.http_server import HttpServer
from ..wire.pages import answer_common_page
from .disk import DiskStore
from .server import StoreServer

if TYPE_CHECKING:
    from ..settings import Settings
    from ..wire.http_types import Request, Response


class StoreApp:
    """State and edges of the store program."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        if not settings.data_folder:
            raise GradepointError("settings_invalid", "data_folder is empty on this host.")
        self.store = StoreServer(DiskStore(Path(settings.data_folder)))
        self.http = HttpServer(self.handle)

    async def start(self) -> None:
        """Listen."""
        self.store.rpc.start(self.settings.address, self.settings.store_port)
        await self.http.start(self.settings.address, self.settings.store_http_port)

    async def stop(self) -> None:
        """Stop listening."""
        await self.http.stop()
        await self.abort()

    async def abort(self) -> None:
        """Stop at once, as a killed process would."""
        self.http.abort()
        await self.store.rpc.stop()

    async def handle(self, request: Request) -> Response:
        """Answer health and metrics."""
        page = await answer_common_page(request, lambda: True)
        if page is None:
            raise GradepointError("not_found")
        return page

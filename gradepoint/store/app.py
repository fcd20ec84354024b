"""The store program: serves bulk objects over RPC (ZeroMQ), health and metrics over HTTP."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

from ..errors import GradepointError
from ..wire.http_server import HttpServer
from ..wire.listening import open_port
from ..wire.pages import answer_common_page
from .disk import DiskStore
from .server import StoreServer

if TYPE_CHECKING:
    from ..settings import Settings
    from ..wire.http_types import Request, Response


class StoreApp:
    """The store program of one host: its object server and its HTTP server."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        if not settings.data_folder:
            raise GradepointError("settings_invalid", "data_folder is empty on this host.")
        self.store = StoreServer(DiskStore(Path(settings.data_folder)))
        self.http = HttpServer(self.handle)

    async def start(self) -> None:
        """Open the RPC port and the HTTP port."""
        settings = self.settings
        await open_port(
            "store",
            f"{settings.address}:{settings.store_port}",
            lambda: self.store.rpc.start(settings.address, settings.store_port),
        )
        await open_port(
            "health",
            f"{settings.address}:{settings.store_http_port}",
            lambda: self.http.start(settings.address, settings.store_http_port),
        )

    async def stop(self) -> None:
        """Stop the HTTP server gracefully, then everything else."""
        await self.http.stop()
        await self.abort()

    async def abort(self) -> None:
        """Stop without waiting for requests in progress, as a killed process does."""
        self.http.abort()
        await self.store.rpc.stop()

    async def handle(self, request: Request) -> Response:
        """Answer a health or metrics request.

        :raises GradepointError: ``not_found`` for any other path.
        """
        page = await answer_common_page(request, lambda: True)
        if page is None:
            raise GradepointError("not_found")
        return page

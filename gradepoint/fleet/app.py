"""The control program: the control node and the administration API."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..admin.api import AdminApi
from .control import ControlNode

if TYPE_CHECKING:
    from ..settings import Settings


class ControlApp:
    """State and edges of the control program."""

    def __init__(self, settings: Settings, seed: int | None = None) -> None:
        self.node = ControlNode(settings, seed)
        self.admin = AdminApi(self.node)

    async def start(self) -> None:
        """Join the fleet and listen for operators."""
        await self.node.start()
        await self.admin.start()

    async def stop(self) -> None:
        """Leave the fleet."""
        await self.admin.server.stop()
        await self.node.stop()

    async def abort(self) -> None:
        """Stop at once, as a killed process would."""
        self.admin.server.abort()
        await self.node.abort()

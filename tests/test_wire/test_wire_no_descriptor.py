"""A server that gets no descriptor for its port can wait for one."""

from __future__ import annotations

import asyncio
import errno
import socket
from typing import Any

import pytest

from gradepoint.wire.http_server import HttpServer
from gradepoint.wire.http_types import Request, Response


async def answer(_: Request) -> Response:
    """Answer a request."""
    return Response()


def test_port_without_a_descriptor_is_an_error_that_passes(monkeypatch: pytest.MonkeyPatch) -> None:
    # asyncio returned a server without any socket: IndexError ended the program at its start.
    def fail(*_: Any) -> None:
        raise OSError(errno.EMFILE, "Too many open files")

    async def work() -> None:
        server = HttpServer(answer)
        with monkeypatch.context() as patch:
            patch.setattr(socket, "socket", fail)
            with pytest.raises(OSError, match="Too many open files"):
                await server.start("127.0.0.1", 0)
        await server.start("127.0.0.1", 0)
        server.abort()

    asyncio.run(work())

"""``gradepoint-gateway``: program that serves callers and batch jobs on the platform.

Opens the port for callers before the imports of the program, which take most of the start: a call
that arrives meanwhile waits in the listen queue, where a closed port would cost it its only retry.
Therefore this module imports little, and the program is in :mod:`gradepoint.cmd.gateway_program`.
"""

from __future__ import annotations

import gc
import json
import socket
import sys
from typing import TYPE_CHECKING

from .process import prepare_process, report_end

if TYPE_CHECKING:
    from pathlib import Path

LISTEN_BACKLOG = 1024
"""Connections that wait until the program accepts them: more than a host gets during its start."""


def open_callers_port(arguments: list[str]) -> socket.socket | None:
    """Listen on ``callers_address`` of the settings file in the command line.

    :returns: the listening socket, or None if anything about the command line, the settings or the
        address is wrong. The program then reports it when it checks all settings or opens its
        ports.
    """
    if len(arguments) != 2 or arguments[0] != "--settings":
        return None
    try:
        with open(arguments[1], "rb") as file:
            ip, _, port = json.load(file)["callers_address"].rpartition(":")
        return socket.create_server((ip, int(port)), backlog=LISTEN_BACKLOG)
    except Exception:
        return None


def import_asyncio_without_ssl() -> None:
    """Import asyncio as on a system without ssl, whose import takes 8 ms of processor time.

    No connection of the gateway uses TLS. The entry None makes imports of a module fail, which
    asyncio supports for ssl; later imports of ssl by libraries succeed again.
    """
    if "asyncio" in sys.modules or "ssl" in sys.modules:
        return
    sys.modules["ssl"] = None  # type: ignore[assignment]
    try:
        import asyncio  # noqa: F401
    finally:
        del sys.modules["ssl"]


def run() -> None:
    """Run the console entry point."""
    prepare_process()
    listener = open_callers_port(sys.argv[1:])
    # Nothing that the imports create is garbage; looking for it takes 7 ms of processor time.
    gc.disable()
    with report_end("gateway"):
        import_asyncio_without_ssl()
        from .gateway_program import run_gateway
        from .runner import run_command

    def main(settings: Path) -> None:
        """Serve callers and batch clients for this host."""
        run_gateway(settings, listener)

    run_command("gateway", main)


if __name__ == "__main__":
    run()

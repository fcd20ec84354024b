"""``gradepoint-data-host``: stores jobs on disk while the key-value service is unavailable."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING

from .. import events
from ..kv.limits import KvLimits
from ..platform import store
from ..spool.app import DataHost
from ..spool.settings import DataHostSettings, load_data_host_settings
from ..telemetry import logs
from ..util.loop import run_coroutine
from .runner import require_settings, run_command, stop_event

if TYPE_CHECKING:
    from pathlib import Path


def main(settings: Path) -> None:
    """Keep jobs for this host's failure domain."""
    checked = require_settings(load_data_host_settings(settings))
    logs.configure("data-host", checked.host, checked.log_level, checked.log_style)
    run_coroutine(serve(checked))


async def serve(settings: DataHostSettings) -> None:
    """Run the data host until a stop signal arrives."""
    stop_requested = stop_event()
    kv = store.PlatformStore(
        settings.store_address,
        settings.store_timeout_s,
        settings.store_history_s,
        KvLimits(settings.store_value_bytes),
    )
    data_host = DataHost(settings, kv)
    asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, lambda: None)
    await data_host.start()
    logs.emit(events.PROGRAM_STARTED, address=settings.address)
    await stop_requested.wait()
    logs.emit(events.PROGRAM_STOPPING)
    await data_host.stop()


def run() -> None:
    """Run the console entry point."""
    run_command(main)


if __name__ == "__main__":
    run()

"""The data host program, apart from the first steps (:mod:`gradepoint.cmd.data_host`)."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING

from .. import events
from ..kv.limits import KvLimits
from ..peers.presence import make_presence_limits
from ..platform import store
from ..spool.app import DataHost
from ..spool.bounds import derive_bounds
from ..spool.settings import DataHostSettings, check_data_host_settings
from ..telemetry import logs
from .runner import require_settings, run_logged, run_until_stopped

if TYPE_CHECKING:
    from pathlib import Path


def run_data_host(settings: Path) -> None:
    """Keep jobs for this host's failure domain."""
    checked = require_settings("data-host", settings, check_data_host_settings)
    logs.configure("data-host", checked.host, checked.log_level, checked.log_style)
    logs.emit(events.PROGRAM_STARTING, address=f"{checked.address}:{checked.peer_port}")
    run_logged(serve(checked))


async def serve(settings: DataHostSettings) -> None:
    """Run the data host until a stop signal arrives; SIGHUP has no effect."""
    answer_bytes = derive_bounds(settings.memory_mb).answer_bytes
    kv = store.PlatformStore(
        settings.store_address,
        settings.store_timeout_s,
        settings.store_history_s,
        KvLimits(settings.store_value_bytes),
        max_answer_bytes=answer_bytes,
        max_range_bytes=answer_bytes,
        row_limits=make_presence_limits(),
    )
    asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, lambda: None)
    await run_until_stopped(DataHost(settings, kv), settings.address)

"""The gateway program, apart from the opening of its port (:mod:`gradepoint.cmd.gateway`)."""

from __future__ import annotations

import asyncio
import gc
import signal
from typing import TYPE_CHECKING

from .. import events
from ..gateway.app import Gateway
from ..gateway.parts import PlatformAdapter
from ..gateway.row_limits import make_row_limits
from ..gateway.settings import GatewaySettings, check_gateway_settings
from ..kv.limits import KvLimits
from ..platform import configuration, headers, jobs, retirement, store, targets
from ..telemetry import logs
from ..wire.addresses import split_address
from .runner import require_settings, run_logged, run_until_stopped

if TYPE_CHECKING:
    import socket
    from pathlib import Path


PLATFORM = PlatformAdapter(
    dialect=headers.PlatformDialect(),
    job_dialect=jobs.PlatformJobDialect(),
    decode_configuration=configuration.decode_configuration,
    decode_target=targets.decode_target,
    shorten_target=targets.shorten_target,
    read_target_name=targets.read_target_name,
    read_retired_host=retirement.read_retired_host,
    status_key=retirement.status_key,
    encode_drained_status=retirement.encode_drained_status,
    config_key=configuration.CONFIG_KEY,
    operator_prefix=configuration.OPERATOR_PREFIX,
    targets_prefix=targets.TARGETS_PREFIX,
)
"""Formats and keys of the platform, which the gateway itself does not know."""


def run_gateway(settings: Path, listener: socket.socket | None) -> None:
    """Serve callers and batch clients for this host.

    :param listener: the open port for callers, or None if it is not open yet.
    """
    checked = require_settings("gateway", settings, check_gateway_settings)
    logs.configure("gateway", checked.host, checked.log_level, checked.log_style)
    logs.emit(events.PROGRAM_STARTING, address=checked.callers_address)
    run_logged(serve(checked, keep_if_current(listener, checked.callers_address)))


def keep_if_current(listener: socket.socket | None, address: str) -> socket.socket | None:
    """Return *listener* if it listens on *address*; otherwise close it and return None.

    The settings file may have changed since the port was opened.

    :param address: ``IP:PORT``.
    """
    if listener is not None and listener.getsockname() != split_address(address):
        listener.close()
        return None
    return listener


async def serve(settings: GatewaySettings, listener: socket.socket | None) -> None:
    """Run the gateway until a stop signal arrives; SIGHUP reloads its settings."""
    kv = store.PlatformStore(
        settings.store_address,
        settings.store_timeout_s,
        settings.store_history_s,
        KvLimits(settings.store_value_bytes),
        row_limits=make_row_limits(PLATFORM),
    )
    gateway = Gateway(settings, kv, PLATFORM, listener)
    asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, gateway.reload)
    await run_until_stopped(gateway, settings.callers_address, keep_start_objects)


def keep_start_objects() -> None:
    """Turn the garbage collection on, which leaves out what the start has created.

    The objects of the imports and constructors live as long as the process.
    """
    gc.freeze()
    gc.enable()

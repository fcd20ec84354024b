"""``gradepoint local``: runs all programs and stand-ins on one event loop in one process."""

from __future__ import annotations

import asyncio
import tempfile
from pathlib import Path
from typing import Any

import msgspec

from ..standins.tier import LOCAL_CALLER_KEY, LOCAL_OPERATOR_KEY, LocalTier, make_engines, url_of
from ..telemetry import logs
from ..util import decoding
from .runner import stop_event

READY_POLL_S = 0.05
"""Seconds between two checks of whether the tier is ready."""


class LocalSettings(msgspec.Struct, forbid_unknown_fields=True):
    """Settings of a local tier.

    :param domains: failure domains; one host is started in each.
    :param engines: number of stand-ins of inference engines.
    :param data_folder: folder for the data of the hosts; empty for a temporary one.
    :param settings: values that override the settings of every host.
    """

    domains: tuple[str, ...] = ("domain-a", "domain-b")
    engines: int = 3
    data_folder: str = ""
    log_level: str = "WARNING"
    settings: dict[str, Any] = {}


def run_local(settings_path: Path | None, ready_file: Path | None) -> None:
    """Run a local tier until a stop signal arrives.

    :param settings_path: JSON file with :class:`LocalSettings`; None for the defaults.
    :param ready_file: file that is created with the tier's addresses and keys once it is ready.
    """
    settings = LocalSettings()
    if settings_path is not None:
        settings = decoding.decode_json(settings_path.read_bytes(), LocalSettings)
    logs.configure("local", "local", settings.log_level, "text")
    asyncio.run(_serve(settings, ready_file))


async def _serve(settings: LocalSettings, ready_file: Path | None) -> None:
    stop_requested = stop_event()
    with tempfile.TemporaryDirectory(prefix="gradepoint-") as temporary:
        folder = Path(settings.data_folder or temporary)
        engines = make_engines(settings.engines, [])
        tier = LocalTier(
            folder, list(settings.domains), engines, settings_overrides=settings.settings
        )
        await tier.start()
        await wait_ready(tier)
        description = describe(tier)
        if ready_file is not None:
            partial = ready_file.with_suffix(".partial")
            partial.write_bytes(msgspec.json.format(msgspec.json.encode(description), indent=2))
            partial.rename(ready_file)
        print(msgspec.json.encode(description).decode(), flush=True)
        await stop_requested.wait()
        await tier.stop()


async def wait_ready(tier: LocalTier) -> None:
    """Wait until every program has a configuration and lists all hosts."""
    while True:
        views = [view for host in tier.hosts for view in (host.entry.fleet, host.batch.fleet)]
        if all(view.ready and len(view.hosts()) == len(tier.hosts) for view in views):
            return
        await asyncio.sleep(READY_POLL_S)


def describe(tier: LocalTier) -> dict[str, Any]:
    """Return the addresses and keys of a tier, as printed once it is ready."""
    first = tier.hosts[0]
    return {
        "entry_url": first.entry_url,
        "entry_urls": [host.entry_url for host in tier.hosts],
        "batch_url": url_of(first.settings.batch_port),
        "admin_url": first.admin_url,
        "metrics_url": f"{first.entry_url}/metrics",
        "api_key": LOCAL_CALLER_KEY,
        "operator_key": LOCAL_OPERATOR_KEY,
        "standins": {
            "kv": tier.kv_url,
            "host_list": url_of(tier.host_list.server.port),
            "weights": url_of(tier.weights.server.port),
            "service": url_of(tier.service.server.port),
            "engines": [url_of(engine.server.port) for engine in tier.engines],
        },
    }

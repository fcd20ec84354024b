"""Deployments beside entries of another writer."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import pytest

from bench.foreign_entries import Entry, EntryPlaces, draw_entry_over
from gradepoint import events
from gradepoint.events import Event
from gradepoint.telemetry import logs

from .platform import HOST, Deployment

FAULTS = (events.LOOP_FAILED, events.TASK_FAILED, events.HANDLER_FAILED, events.ROW_FAILED)
"""Events of an exception that no reader expected."""
DATA_HOST = "data-0"
SPARE_JOB = "old"
"""A job that has ended and of which no results are read any more."""
SPARE_KEYS = (
    *("servers/t2", "gp/live/known-data/", "gp/live/versions"),
    *(f"gp/{kind}/{SPARE_JOB}" for kind in ("job", "input", "result", "partial")),
)
"""Beginnings of keys of ours that the deployment can do without: one target of three, records of
data hosts that are listed, and a job that has ended."""
NEEDED_KEYS = (
    *("op/config", "servers/", "gp/quota/", "gp/job/", "gp/input/", "gp/result/", "gp/partial/"),
    "gp/live/",
)
"""Beginnings of keys of ours that the deployment needs."""


@contextmanager
def collect_faults() -> Iterator[list[str]]:
    """Yield a list that receives a line for each of :data:`FAULTS` that is logged."""
    faults: list[str] = []

    def collect(event: Event, fields: dict[str, Any]) -> None:
        if event in FAULTS:
            faults.append(f"{event.name} {fields}"[:600])

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(logs, "_write_json", collect)
        yield faults


def list_places(deployment: Deployment) -> EntryPlaces:
    """Return the places of entries, with the names of the rows of a deployment."""
    names = [target.name for target in deployment.targets]
    for gateway in deployment.gateways:
        names += [gateway.own.host, gateway.own.incarnation, gateway.own.peer_address]
    names += [target.address() for target in deployment.targets]
    names += ["before", "before-0", "night", "model", HOST, "organisation"]
    return EntryPlaces("night", HOST, "model", names)


async def restart_all(deployment: Deployment, folder: Path) -> None:
    """Kill all gateways and data hosts in the same moment, and start as many again."""
    hosts = [gateway.settings.host for gateway in deployment.gateways]
    data_hosts = [data_host.presence.own.host for data_host in deployment.data_hosts]
    for gateway in list(deployment.gateways):
        await deployment.kill(gateway)
    for data_host in list(deployment.data_hosts):
        await deployment.kill_data_host(data_host)
    for host in hosts:
        await deployment.add_gateway(host)
    for host in data_hosts:
        await deployment.add_data_host(host, folder / host)


def draw_entries_over(
    deployment: Deployment, prefixes: Sequence[str], rng: random.Random
) -> list[Entry]:
    """Return an entry over each key that stands below one of the prefixes."""
    names = list_places(deployment).names
    keys = sorted(key for key in deployment.store.keys.keys if key.startswith(tuple(prefixes)))
    found = [(key, deployment.store.read(key) or b"") for key in keys]
    return [draw_entry_over(key, value, rng, names) for key, value in found]


def put_entries(deployment: Deployment, entries: list[Entry]) -> None:
    """Write entries; the last one for a key stands."""
    for entry in entries:
        deployment.store.put(entry.key, entry.value.raw)


async def check_service(deployment: Deployment) -> None:
    """Check that each gateway serves calls of each kind."""
    for gateway in range(len(deployment.gateways)):
        for path in ("/single/plain/a", "/plain/a", "/stream/a", "/resume/a"):
            for _ in range(2):
                answer = await deployment.call(path, gateway=gateway)
                assert (answer.status, answer.broken) == (200, False), (path, answer)


async def check_job(deployment: Deployment, job: str, items: int, max_runs: int) -> None:
    """Check that all items of a job are done, each exactly once in the results.

    :param max_runs: most runs of an item that are allowed.
    """
    rows = await deployment.read_all_results(job, gateway=len(deployment.gateways) - 1)
    assert Counter(row["id"] for row in rows) == {f"{job}-{n}": 1 for n in range(items)}
    assert {row["state"] for row in rows} == {"complete"}
    runs = sum((target.ran for target in deployment.targets), Counter())
    assert all(1 <= runs[f"{job}-{n}"] <= max_runs for n in range(items)), runs


def make_generator(seed: int) -> random.Random:
    """Return the generator of the entries of a seed."""
    return random.Random(f"{seed} entries")

"""All hosts start at once while the store serves few reads or does not answer some hosts."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from typing import TYPE_CHECKING

import msgspec
import pytest

from bench.platform.store import PAGE_ITEMS, RateLimit
from gradepoint.ids import Incarnation
from gradepoint.peers.presence import PRESENCE_PREFIX
from gradepoint.wire.http_types import Request, Response
from tests.support.platform import Deployment, run_in_virtual_time, until

if TYPE_CHECKING:
    from gradepoint.gateway.app import Gateway

RANGE_PATH = "/api/kv-range"
READS_PER_S, WRITES_PER_S = 12.0, 20.0
TARGETS = PAGE_ITEMS * 2 + 5
READ_FACTOR = 4
"""Complete reads of all views that a fleet may make until all hosts have them: one host reads, and
a few others have begun to read before they hear it."""


class CountedReads:
    """Pages of range reads that a store answered, by prefix and last key before them."""

    def __init__(self, deployment: Deployment) -> None:
        self.pages: Counter[tuple[str, str]] = Counter()
        self.inner = deployment.store.handle
        deployment.store.server.handler = self.handle

    async def handle(self, request: Request) -> Response:
        """Answer a call as the store does, and count it if it is a page that was read."""
        response = await self.inner(request)
        if request.path == RANGE_PATH and response.status == 200:
            query = request.query
            self.pages[query["path_prefix"], query.get("after_rev", "")] += 1
        return response


async def start_all(deployment: Deployment, hosts: int, targets: int) -> list[Gateway]:
    """Start hosts that the store lists with their former incarnations; do not wait for them."""
    await deployment.start(gateways=0, targets=1)
    entry = deployment.targets[0].entry()
    for number in range(targets):
        deployment.store.put(f"servers/idle-{number:04d}", entry)
    gateways = [deployment.make_gateway(f"host-{number}") for number in range(hosts)]
    for gateway in gateways:
        incarnation = Incarnation(f"{gateway.own.host}:former")
        former = msgspec.structs.replace(gateway.own, incarnation=incarnation)
        deployment.store.put(PRESENCE_PREFIX + gateway.own.host, msgspec.json.encode(former))
    return gateways


async def run_all(deployment: Deployment, gateways: list[Gateway]) -> None:
    """Let all hosts run, and wait until all of them have every view."""
    for gateway in gateways:
        await gateway.start()
        deployment.gateways.append(gateway)
    await until(lambda: all(gateway.watchers.first_read.is_set() for gateway in gateways))


@pytest.mark.parametrize("hosts", [10, 30])
def test_reads_of_a_start_of_all_do_not_grow_with_the_hosts(hosts: int) -> None:
    # Each host read every page by itself, and hosts that got the rate of few reads were not ready
    # for minutes.
    async def work(deployment: Deployment) -> None:
        gateways = await start_all(deployment, hosts, TARGETS)
        reads = CountedReads(deployment)
        deployment.store.reads = RateLimit(READS_PER_S)
        deployment.store.writes = RateLimit(WRITES_PER_S)
        await run_all(deployment, gateways)
        assert reads.pages.total() <= READ_FACTOR * len(reads.pages)

    run_in_virtual_time(work, hosts)


def test_host_without_the_store_gets_its_views_from_hosts_that_start_too() -> None:
    # A host whose calls the store refused served nothing although all others had the views.
    async def work(deployment: Deployment) -> None:
        gateways = await start_all(deployment, 3, 1)
        cut_off = gateways[0]
        cut_off.kv.direct.base_url = "http://127.0.0.1:9"  # type: ignore[attr-defined]
        await run_all(deployment, gateways)
        assert cut_off.ready
        assert cut_off.kv.counts.bytes_received == 0

    run_in_virtual_time(work)


def test_pages_before_a_refused_page_are_not_read_again() -> None:
    # A later page that was refused for longer than 0.6 s cost all pages before it once more.
    async def work(deployment: Deployment) -> None:
        gateways = await start_all(deployment, 1, TARGETS)
        reads = CountedReads(deployment)
        answer, rng = reads.handle, random.Random(1)

        async def refuse_most_later_pages(request: Request) -> Response:
            is_later = request.path == RANGE_PATH and "after_rev" in request.query
            if is_later and rng.random() < 0.95:
                return Response(rng.choice((429, 503)))
            return await answer(request)

        pages: Counter[tuple[str, str]] = Counter()

        async def note_pages() -> None:
            # The proofs that follow the first reads read all pages anew.
            await gateways[0].watchers.first_read.wait()
            pages.update(reads.pages)

        deployment.store.server.handler = refuse_most_later_pages
        noting = asyncio.ensure_future(note_pages())
        await run_all(deployment, gateways)
        await noting
        first_pages = {key: n for key, n in pages.items() if not key[1]}
        assert len(first_pages) >= len(gateways[0].watchers.views)
        assert set(first_pages.values()) == {1}

    run_in_virtual_time(work)

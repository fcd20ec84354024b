"""Where proofs of views may come late, be wrong, or cost a lot."""

from __future__ import annotations

import asyncio

import pytest

from gradepoint import events
from gradepoint.peers import watchers as watchers_module
from gradepoint.wire.http_types import Response
from tests.support.platform import Deployment, configuration, run_in_virtual_time

from .test_peers_belief_age import (
    IN_FORCE_S,
    all_have,
    all_see_draining,
    measure,
    network,
    say_draining,
    settle,
)

DEAF_S = 1.2
"""Seconds for which the store tells watches of no change before it forgets."""
WATCH_CALL = "/api/kv-watch"
RANGE_CALL = "/api/kv-range"


@pytest.mark.parametrize("phase", [0.0, 0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.7, 0.8, 0.9])
@pytest.mark.parametrize("cut", [False, True])
def test_an_answer_of_a_store_that_tells_no_change_is_no_proof(phase: float, cut: bool) -> None:
    """A question that a store answers while it tells watches of no change finds none either. Taken
    as proof, it puts the next question off past the bound.
    """

    async def work(deployment: Deployment) -> None:
        await settle(deployment)
        store = deployment.store
        await asyncio.sleep(phase)
        store.deaf = True
        store.put("op/config", configuration(2))
        leaving = say_draining(deployment, 0)
        held: list[float] = []

        async def look() -> None:
            held.append(await measure(lambda: all_have(deployment, 2)))
            held.append(held[0] + await measure(lambda: all_see_draining(deployment, leaving)))

        looking = asyncio.ensure_future(look())
        if cut:
            # A watch that is sent anew in the last moments is told nothing until its wait ends.
            await asyncio.sleep(DEAF_S - 0.04)
            store.cut_watches()
            await asyncio.sleep(0.04)
        else:
            await asyncio.sleep(DEAF_S)
        store.deaf = False
        store.forget_history()
        await looking
        assert max(held) <= IN_FORCE_S

    run_in_virtual_time(work)


@pytest.mark.parametrize("phase", [0.0, 0.2, 0.4, 0.6, 0.8])
def test_a_forgotten_history_is_read_past_silent_connections(phase: float) -> None:
    """Open connections fell silent and the store forgot its history: what a question is told to
    read anew is read on a connection that rested, which is as silent.
    """

    async def work(deployment: Deployment) -> None:
        await settle(deployment)
        await asyncio.sleep(phase)
        network().mute_open()
        deployment.store.put("op/config", configuration(2))
        leaving = say_draining(deployment, 0)
        deployment.store.forget_history()
        first = await measure(lambda: all_have(deployment, 2))
        second = first + await measure(lambda: all_see_draining(deployment, leaving))
        assert second <= IN_FORCE_S

    run_in_virtual_time(work)


@pytest.mark.parametrize("delay_s", [0.0, 0.3, 0.6, 0.7, 0.8, 1.0])
def test_a_slow_store_is_not_asked_by_all_hosts(delay_s: float) -> None:
    """Where the store answers slowly, proofs of the one who asks come late to the others, and each
    of them asks as well, again and again.
    """

    async def work(deployment: Deployment) -> None:
        await settle(deployment, gateways=12)
        store = deployment.store
        before = dict(store.calls)
        store.delay_s = delay_s

        await asyncio.sleep(10.0)
        calls = {path: store.calls[path] - before.get(path, 0) for path in store.calls}
        assert calls[WATCH_CALL] + calls[RANGE_CALL] <= 10 * 10
        assert all(gateway.kv.reaches_store for gateway in deployment.gateways)

    run_in_virtual_time(work)


@pytest.mark.parametrize("rate", [0, 5, 20, 50])
def test_watches_that_work_are_not_begun_anew(rate: int, monkeypatch: pytest.MonkeyPatch) -> None:
    """While keys change often, some other watcher is a little ahead at times, and what a question
    finds may be on its way by the watch. Neither says that the watch fell silent.
    """
    missed = []
    emit = watchers_module.emit

    def count(event: object, **fields: object) -> None:
        if event is events.WATCH_MISSED:
            missed.append(fields)
        emit(event, **fields)  # type: ignore[arg-type]

    monkeypatch.setattr(watchers_module, "emit", count)

    async def work(deployment: Deployment) -> None:
        await settle(deployment, gateways=6)
        store = deployment.store
        missed.clear()
        for _ in range(max(1, 5 * rate)):
            if rate:
                target = deployment.targets[1]
                store.put(f"servers/{target.name}", target.entry())
            await asyncio.sleep(1 / rate if rate else 5)
        assert len(missed) <= 3

    run_in_virtual_time(work)


def test_a_peer_that_cannot_tell_the_news_costs_no_reads(monkeypatch: pytest.MonkeyPatch) -> None:
    """Where a host answers a question for news with a failure, who asked reads the answer as news,
    its loop ends by the fault, and each beginning reads every key anew.
    """

    async def work(deployment: Deployment) -> None:
        await settle(deployment, gateways=6)
        store = deployment.store
        watchers = [gateway.watchers for gateway in deployment.gateways]

        def count_reads() -> int:
            """Return the reads that prove no view."""
            return store.calls[RANGE_CALL] - sum(watcher.proofs.count for watcher in watchers)

        before = count_reads()

        def refuse(*_: object) -> Response:
            return Response(503)

        for gateway in deployment.gateways:
            monkeypatch.setattr(gateway.watchers, "answer_news", refuse)
        monkeypatch.setattr(watchers_module.Watchers, "answer_news", refuse)
        for _ in range(40):
            target = deployment.targets[1]
            store.put(f"servers/{target.name}", target.entry())
            await asyncio.sleep(0.25)
        assert count_reads() - before <= 6

    run_in_virtual_time(work)


def test_news_is_fetched_from_another_host_where_one_has_just_ended() -> None:
    """A host that watched ends, and is still heard for a while. Those that asked it for news took
    all hosts for silent, and watched by themselves: 31 of 53 at once.
    """

    async def work(deployment: Deployment) -> None:
        await settle(deployment, gateways=8)
        watching = [row for row in deployment.gateways if row.watchers.watching]
        listening = [row for row in deployment.gateways if not row.watchers.watching]
        watching[0].peer_server.abort()
        for number in range(10):
            target = deployment.targets[1]
            target.slots = 8 + number
            deployment.store.put(f"servers/{target.name}", target.entry())
            await asyncio.sleep(0.2)
        assert not any(row.watchers.watching for row in listening)

    run_in_virtual_time(work)

"""Proofs of views that come late, are wrong, or cost much."""

from __future__ import annotations

import asyncio

import pytest

from gradepoint import events
from gradepoint.peers import watchers as watchers_module
from gradepoint.wire.http_types import Response
from tests.support.platform import Deployment, configuration, run_in_virtual_time

from .test_peers_view_age import (
    IN_FORCE_S,
    all_see_draining,
    all_use_version,
    announce_draining,
    measure_delay,
    network,
    start_settled,
)

WITHHOLD_S = 1.2
"""Seconds for which the store withholds changes from watches before it compacts its history."""
WATCH_CALL = "/api/kv-watch"
RANGE_CALL = "/api/kv-range"


@pytest.mark.parametrize("phase", [0.0, 0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.7, 0.8, 0.9])
@pytest.mark.parametrize("cut", [False, True])
def test_answer_of_a_store_that_withholds_changes_is_no_proof(phase: float, cut: bool) -> None:
    """A read answered while the store withholds changes must not count as a proof.

    Such an answer contains no change either. Taken as a proof, it postpones the next check past the
    bound.
    """

    async def work(deployment: Deployment) -> None:
        await start_settled(deployment)
        store = deployment.store
        await asyncio.sleep(phase)
        store.watches_muted = True
        store.put("op/config", configuration(2))
        leaving = announce_draining(deployment, 0)
        delays: list[float] = []

        async def measure_delays() -> None:
            delays.append(await measure_delay(lambda: all_use_version(deployment, 2)))
            delays.append(
                delays[0] + await measure_delay(lambda: all_see_draining(deployment, leaving))
            )

        measuring = asyncio.ensure_future(measure_delays())
        if cut:
            # A watch that is sent again in the last moments gets no answer until its wait ends.
            await asyncio.sleep(WITHHOLD_S - 0.04)
            store.reset_watches()
            await asyncio.sleep(0.04)
        else:
            await asyncio.sleep(WITHHOLD_S)
        store.watches_muted = False
        store.compact_history()
        await measuring
        assert max(delays) <= IN_FORCE_S

    run_in_virtual_time(work)


@pytest.mark.parametrize("phase", [0.0, 0.2, 0.4, 0.6, 0.8])
def test_compacted_history_is_read_despite_silent_connections(phase: float) -> None:
    """Compacted history must be read on a connection that is not silent.

    When open connections fall silent and the store compacts its history, a watch is ordered to read
    all keys again. The read used an idle connection, which was silent too.
    """

    async def work(deployment: Deployment) -> None:
        await start_settled(deployment)
        await asyncio.sleep(phase)
        network().mute_connections()
        deployment.store.put("op/config", configuration(2))
        leaving = announce_draining(deployment, 0)
        deployment.store.compact_history()
        first = await measure_delay(lambda: all_use_version(deployment, 2))
        second = first + await measure_delay(lambda: all_see_draining(deployment, leaving))
        assert second <= IN_FORCE_S

    run_in_virtual_time(work)


@pytest.mark.parametrize("delay_s", [0.0, 0.3, 0.6, 0.7, 0.8, 1.0])
def test_slow_store_is_not_asked_by_all_hosts(delay_s: float) -> None:
    """A slow store must not cause all hosts to read.

    Proofs of the host that reads then arrive late at the others, and each of them would read as
    well, again and again.
    """

    async def work(deployment: Deployment) -> None:
        await start_settled(deployment, gateways=12)
        store = deployment.store
        before = dict(store.calls)
        store.delay_s = delay_s

        await asyncio.sleep(10.0)
        calls = {path: store.calls[path] - before.get(path, 0) for path in store.calls}
        assert calls[WATCH_CALL] + calls[RANGE_CALL] <= 10 * 10
        assert all(gateway.kv.reaches_store for gateway in deployment.gateways)

    run_in_virtual_time(work)


@pytest.mark.parametrize("rate", [0, 5, 20, 50])
def test_working_watches_are_not_restarted(rate: int, monkeypatch: pytest.MonkeyPatch) -> None:
    """Watches that work must not be restarted while keys change often.

    Another watcher is then slightly ahead at times, and a change found by a read may still be on
    its way through the watch. Neither means that the watch fell silent.
    """
    missed = []
    emit = watchers_module.emit

    def count(event: object, **fields: object) -> None:
        if event is events.WATCH_MISSED:
            missed.append(fields)
        emit(event, **fields)  # type: ignore[arg-type]

    monkeypatch.setattr(watchers_module, "emit", count)

    async def work(deployment: Deployment) -> None:
        await start_settled(deployment, gateways=6)
        store = deployment.store
        missed.clear()
        for _ in range(max(1, 5 * rate)):
            if rate:
                target = deployment.targets[1]
                store.put(f"servers/{target.name}", target.entry())
            await asyncio.sleep(1 / rate if rate else 5)
        assert len(missed) <= 3

    run_in_virtual_time(work)


def test_failing_update_requests_cause_no_full_reads(monkeypatch: pytest.MonkeyPatch) -> None:
    """A host that answers update requests with an error must not cause full reads.

    The requesting host took the error response for updates and its loop failed; each restart of the
    loop read every key again.
    """

    async def work(deployment: Deployment) -> None:
        await start_settled(deployment, gateways=6)
        store = deployment.store
        watchers = [gateway.watchers for gateway in deployment.gateways]

        def count_reads() -> int:
            """Return the number of reads that were not proofs."""
            return store.calls[RANGE_CALL] - sum(watcher.proofs.count for watcher in watchers)

        before = count_reads()

        def refuse(*_: object) -> Response:
            return Response(503)

        for gateway in deployment.gateways:
            monkeypatch.setattr(gateway.watchers, "answer_update_request", refuse)
        monkeypatch.setattr(watchers_module.Watchers, "answer_update_request", refuse)
        for _ in range(40):
            target = deployment.targets[1]
            store.put(f"servers/{target.name}", target.entry())
            await asyncio.sleep(0.25)
        assert count_reads() - before <= 6

    run_in_virtual_time(work)


def test_updates_are_fetched_from_another_host_if_one_has_just_stopped() -> None:
    """The end of one watcher must not make other hosts watch.

    A watcher that stopped is still heard for a while. Hosts that requested updates from it took all
    watchers for silent and watched themselves: 31 of 53 hosts at the same time.
    """

    async def work(deployment: Deployment) -> None:
        await start_settled(deployment, gateways=8)
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

"""The engine stand-in: scheduling, memory, delayed and lost cache events, fencing of orders."""

from __future__ import annotations

import asyncio

from gradepoint.standins.engine import EngineStandin
from gradepoint.standins.engine_model import EngineModel, EngineParameters, Sequence
from tests.support.tier import Caller


def test_online_sequences_run_before_batch_and_preempt_it() -> None:
    model = EngineModel(EngineParameters(slots=2))
    batch = [Sequence(f"b{n}", 10, 50, 10, n) for n in range(3)]
    for sequence in batch:
        model.submit(sequence)
    model.step()
    assert model.running == batch[:2]
    online = Sequence("o", 10, 5, 0, 9.0)
    model.submit(online)
    step = model.step()
    assert online in model.running
    assert step.preempted == [batch[1]]
    while not online.finished:
        model.step()
    for _ in range(200):
        model.step()
    assert all(sequence.finished for sequence in batch)


def test_memory_is_bounded_and_a_cached_prefix_saves_prefill() -> None:
    model = EngineModel(EngineParameters(slots=8, kv_tokens=100, prefill_chunk=1000))
    for number in range(4):
        model.submit(Sequence(f"s{number}", 40, 5, 0, number))
    while not model.idle:
        model.step()
        assert model.kv_used <= 100
    model = EngineModel(EngineParameters())
    first = Sequence("a", 400, 1, 0, 0.0, "p", 300)
    model.submit(first)
    plain = model.step().prefill_tokens
    model.submit(Sequence("b", 400, 1, 0, 1.0, "p", 300))
    assert model.step().prefill_tokens == plain - 300


def test_cache_events_are_delayed_with_gaps_and_stale_orders_are_refused() -> None:
    async def main() -> None:
        engine = EngineStandin("e", ["m@v1"], report_lag_s=0.2, order_duration_s=0.0)
        await engine.start("127.0.0.1", 0)
        caller = Caller()
        url = f"http://127.0.0.1:{engine.server.port}"
        for number in range(15):
            body = {"model": "m@v1", "prompt": f"{number}", "max_tokens": 1}
            assert (await caller.send(url + "/v1/completions", "POST", body)).status == 200
        early = (await caller.send(url + "/cache_events?since=0")).json
        await asyncio.sleep(0.3)
        late = (await caller.send(url + "/cache_events?since=0")).json
        assert len(early) < len(late) == 13
        for fencing, status in ((7, 200), (6, 409), (8, 200)):
            order = {"kind": "drain", "fencing": fencing}
            assert (await caller.send(url + "/orders", "POST", order)).status == status
        caller.http.close()
        await engine.stop()

    asyncio.run(main())

"""Idempotency keys: one run and one answer, at any host, under faults of the service."""

from __future__ import annotations

import asyncio
import random

import pytest

from gradepoint.errors import GradepointError, Outcome
from gradepoint.online.claims import ClaimKeeper, Held, KeptAnswer
from gradepoint.standins.memory_kv import KvFault, MemoryKv, MemoryKvClient
from gradepoint.standins.virtual_time import run_virtual

HOSTS = ("h1", "h2", "h3")


def make_keepers(seed: int, rate: float) -> list[ClaimKeeper]:
    """Return one keeper a host over one service."""
    rng = random.Random(seed)
    store = MemoryKv()

    def fault(kind: str) -> KvFault:
        if rng.random() >= rate:
            return KvFault.NONE
        if kind != "txn":
            return KvFault.LOST_BEFORE
        return rng.choice([KvFault.DOWN, KvFault.LOST_BEFORE, KvFault.LOST_AFTER, KvFault.LATE])

    return [ClaimKeeper(MemoryKvClient(store, fault), host, lambda: list(HOSTS)) for host in HOSTS]


async def send(
    keeper: ClaimKeeper, key: str, ran: list[str], *, repeatable: bool = False
) -> KeptAnswer | Outcome:
    """Send a keyed call once, as an entry does."""
    try:
        held = await keeper.claim("org", key, "digest", repeatable=repeatable)
    except GradepointError as error:
        return error.outcome
    if isinstance(held, KeptAnswer):
        return held
    ran.append(key)
    await asyncio.sleep(0.05)
    answer = KeptAnswer(200, {}, f"answer {len(ran)}".encode())
    await keeper.keep(held, answer)
    return answer


@pytest.mark.parametrize("seed", range(40))
def test_resends_to_any_host_run_once_and_get_the_same_answer(seed: int) -> None:
    async def main() -> None:
        keepers = make_keepers(seed, 0.25)
        ran: list[str] = []
        answers: list[KeptAnswer | Outcome] = []
        for _ in range(6):
            sends = [send(keeper, f"k{number}", ran) for keeper in keepers for number in range(4)]
            answers += await asyncio.gather(*sends)
            await asyncio.sleep(3.0)
        for number in range(4):
            assert ran.count(f"k{number}") <= 1
        refused_as_not_run = [answer for answer in answers if answer is Outcome.NOT_RUN]
        assert len(ran) + len(refused_as_not_run) > 0

    run_virtual(main())


def test_kept_answer_is_the_same_at_every_host() -> None:
    async def main() -> None:
        keepers = make_keepers(1, 0.0)
        ran: list[str] = []
        first = await send(keepers[0], "k", ran)
        assert isinstance(first, KeptAnswer)
        for keeper in keepers:
            assert await send(keeper, "k", ran) == first
        assert ran == ["k"]

    run_virtual(main())


def test_claims_that_come_together_share_a_transaction() -> None:
    async def main() -> None:
        keeper = make_keepers(1, 0.0)[0]
        held = await asyncio.gather(
            *(keeper.claim("org", f"k{n}", "d", repeatable=True) for n in range(20))
        )
        assert all(isinstance(row, Held) for row in held)
        assert keeper.service.counts.writes == 1

    run_virtual(main())


def test_key_of_a_lost_holder_is_unknown_and_never_runs_again() -> None:
    async def main() -> None:
        keepers = make_keepers(1, 0.0)
        assert isinstance(await keepers[0].claim("org", "k", "d", repeatable=False), Held)
        with pytest.raises(GradepointError) as running:
            await keepers[1].claim("org", "k", "d", repeatable=False)
        assert running.value.code == "in_progress"
        keepers[1].live_hosts = lambda: ["h2", "h3"]
        with pytest.raises(GradepointError) as lost:
            await keepers[1].claim("org", "k", "d", repeatable=False)
        assert lost.value.code == "holder_lost"
        assert lost.value.outcome is Outcome.UNKNOWN

    run_virtual(main())


def test_same_key_with_other_content_is_refused() -> None:
    async def main() -> None:
        keepers = make_keepers(1, 0.0)
        await send(keepers[0], "k", [])
        with pytest.raises(GradepointError) as refused:
            await keepers[1].claim("org", "k", "other", repeatable=False)
        assert refused.value.code == "idempotency_mismatch"

    run_virtual(main())


def test_service_down_refuses_as_not_run() -> None:
    async def main() -> None:
        keeper = make_keepers(1, 1.0)[0]
        assert await send(keeper, "k", []) is Outcome.NOT_RUN

    run_virtual(main())


def test_released_key_runs_again_elsewhere() -> None:
    async def main() -> None:
        keepers = make_keepers(1, 0.0)
        held = await keepers[0].claim("org", "k", "digest", repeatable=False)
        assert isinstance(held, Held)
        await keepers[0].release(held)
        ran: list[str] = []
        assert isinstance(await send(keepers[1], "k", ran), KeptAnswer)
        assert ran == ["k"]

    run_virtual(main())

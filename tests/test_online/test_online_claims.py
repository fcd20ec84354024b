"""Idempotency keys under faults of the key-value service.

Guards against a call that runs twice, or gets two answers, when the caller resends it to other
hosts while requests to the service or their replies are lost.
"""

from __future__ import annotations

import asyncio
import random

import msgspec
import pytest

from gradepoint.errors import GradepointError, Outcome
from gradepoint.kv.limits import KvLimits
from gradepoint.kv.service import Put, Transaction
from gradepoint.online.claims import (
    Claim,
    ClaimState,
    ClaimStore,
    HeldClaim,
    StoredAnswer,
    claim_key,
    resolve_existing_claim,
)
from gradepoint.standins.memory_kv import ETCD_LIMITS, KvFault, MemoryKv, MemoryKvClient
from gradepoint.standins.virtual_time import run_virtual

HOSTS = ("h1", "h2", "h3")


def make_stores(seed: int, rate: float) -> list[ClaimStore]:
    """Return one claim store per host, all over one service that fails at *rate*."""
    rng = random.Random(seed)
    service = MemoryKv(limits=ETCD_LIMITS)

    def fault(kind: str) -> KvFault:
        if rng.random() >= rate:
            return KvFault.NONE
        if kind != "txn":
            return KvFault.LOST_BEFORE
        return rng.choice([KvFault.DOWN, KvFault.LOST_BEFORE, KvFault.LOST_AFTER, KvFault.LATE])

    return [ClaimStore(MemoryKvClient(service, fault), host, lambda: list(HOSTS)) for host in HOSTS]


async def send(
    store: ClaimStore, key: str, ran: list[str], *, repeatable: bool = False
) -> StoredAnswer | Outcome:
    """Send a call with a key once, as an entry does; count it in *ran* if it runs."""
    try:
        held = await store.claim("org", key, "digest", repeatable=repeatable)
    except GradepointError as error:
        return error.outcome
    if isinstance(held, StoredAnswer):
        return held
    ran.append(key)
    await asyncio.sleep(0.05)
    answer = StoredAnswer(200, {}, f"answer {len(ran)}".encode())
    await store.store_answer(held, answer)
    return answer


@pytest.mark.parametrize("seed", range(40))
def test_resends_to_any_host_run_once_and_get_the_same_answer(seed: int) -> None:
    async def main() -> None:
        stores = make_stores(seed, 0.25)
        ran: list[str] = []
        answers: list[StoredAnswer | Outcome] = []
        for _ in range(6):
            sends = [send(store, f"k{number}", ran) for store in stores for number in range(4)]
            answers += await asyncio.gather(*sends)
            await asyncio.sleep(3.0)
        for number in range(4):
            assert ran.count(f"k{number}") <= 1
        refused_as_not_run = [answer for answer in answers if answer is Outcome.NOT_RUN]
        assert len(ran) + len(refused_as_not_run) > 0

    run_virtual(main())


def test_stored_answer_is_the_same_at_every_host() -> None:
    async def main() -> None:
        stores = make_stores(1, 0.0)
        ran: list[str] = []
        first = await send(stores[0], "k", ran)
        assert isinstance(first, StoredAnswer)
        for store in stores:
            assert await send(store, "k", ran) == first
        assert ran == ["k"]

    run_virtual(main())


def test_concurrent_claims_share_a_transaction() -> None:
    async def main() -> None:
        store = make_stores(1, 0.0)[0]
        held = await asyncio.gather(
            *(store.claim("org", f"k{n}", "d", repeatable=True) for n in range(20))
        )
        assert all(isinstance(row, HeldClaim) for row in held)
        assert store.service.counts.writes == 1

    run_virtual(main())


def test_answer_that_the_service_refuses_is_not_written_forever() -> None:
    """The call has run: its claim must end, without the answer that is too large."""

    async def main() -> None:
        service = MemoryKv(limits=KvLimits(value_bytes=800))
        client = MemoryKvClient(service)
        store = ClaimStore(client, HOSTS[0], lambda: list(HOSTS))
        held = await store.claim("org", "k", "d", repeatable=True)
        assert isinstance(held, HeldClaim)
        await store.store_answer(held, StoredAnswer(200, {}, bytes(1000)))
        written = client.counts.writes
        await asyncio.sleep(60.0)
        assert client.counts.writes == written
        raw = service.keys[held.key].value
        assert msgspec.json.decode(raw, type=Claim).state is ClaimState.DONE

    run_virtual(main())


def test_claim_of_a_lost_host_is_unknown_and_does_not_run_again() -> None:
    async def main() -> None:
        stores = make_stores(1, 0.0)
        assert isinstance(await stores[0].claim("org", "k", "d", repeatable=False), HeldClaim)
        with pytest.raises(GradepointError) as running:
            await stores[1].claim("org", "k", "d", repeatable=False)
        assert running.value.code == "in_progress"
        stores[1].live_hosts = lambda: ["h2", "h3"]
        with pytest.raises(GradepointError) as lost:
            await stores[1].claim("org", "k", "d", repeatable=False)
        assert lost.value.code == "holder_lost"
        assert lost.value.outcome is Outcome.UNKNOWN

    run_virtual(main())


def test_same_key_with_another_request_is_refused() -> None:
    async def main() -> None:
        stores = make_stores(1, 0.0)
        await send(stores[0], "k", [])
        with pytest.raises(GradepointError) as refused:
            await stores[1].claim("org", "k", "other", repeatable=False)
        assert refused.value.code == "idempotency_mismatch"

    run_virtual(main())


def test_unavailable_service_refuses_calls_as_not_run() -> None:
    async def main() -> None:
        store = make_stores(1, 1.0)[0]
        assert await send(store, "k", []) is Outcome.NOT_RUN

    run_virtual(main())


def test_released_key_runs_again_elsewhere() -> None:
    async def main() -> None:
        stores = make_stores(1, 0.0)
        held = await stores[0].claim("org", "k", "digest", repeatable=False)
        assert isinstance(held, HeldClaim)
        await stores[0].release(held)
        ran: list[str] = []
        assert isinstance(await send(stores[1], "k", ran), StoredAnswer)
        assert ran == ["k"]

    run_virtual(main())


def encode_claim(answer: StoredAnswer) -> bytes:
    """Return the claim of an ended call."""
    return msgspec.json.encode(Claim("digest", ClaimState.DONE, "h1", "w", True, 0, "", answer))


@pytest.mark.parametrize(
    "value",
    [
        b"\xff",
        b'{"a":' + b"[" * 5000 + b"]" * 5000 + b"}",
        b"{}",
        encode_claim(StoredAnswer(0, {}, b"")),
        encode_claim(StoredAnswer(1 << 60, {}, b"")),
    ],
)
def test_overwritten_claim_is_refused_as_unknown(value: bytes) -> None:
    """The call never got an answer: the exception ended the task that writes the claim."""

    async def main() -> None:
        store = make_stores(1, 0.0)[0]
        name = claim_key("org", "k")
        await store.service.transact(Transaction((), (Put(name, value),)))
        async with asyncio.timeout(10.0):
            with pytest.raises(GradepointError) as refused:
                await store.claim("org", "k", "digest", repeatable=True)
        assert (refused.value.code, refused.value.outcome) == ("record_unreadable", Outcome.UNKNOWN)
        assert not store.active_writers
        held = await store.claim("org", "other", "digest", repeatable=True)
        assert isinstance(held, HeldClaim)
        await store.service.transact(Transaction((), (Put(held.key, value),)))
        await store.store_answer(held, StoredAnswer(200, {}, b"answer"))
        await store.release(held)

    run_virtual(main())


def test_claim_with_an_unknown_reason_is_refused_as_unknown() -> None:
    """A code that is not in the catalogue raised KeyError, which callers saw as 500."""
    claim = Claim("digest", ClaimState.UNKNOWN, "h1", "w", False, 0, "no such code")
    with pytest.raises(GradepointError) as refused:
        resolve_existing_claim(claim, "digest", set())
    assert refused.value.outcome is Outcome.UNKNOWN


def test_overwritten_claim_in_a_group_does_not_block_the_others() -> None:
    async def main() -> None:
        store = make_stores(1, 0.0)[0]
        await store.service.transact(Transaction((), (Put(claim_key("org", "k"), b"\xff"),)))
        claims = [store.claim("org", key, "digest", repeatable=True) for key in ("k", "a", "b")]
        async with asyncio.timeout(10.0):
            refused, *held = await asyncio.gather(*claims, return_exceptions=True)
        assert isinstance(refused, GradepointError)
        assert all(isinstance(row, HeldClaim) for row in held)

    run_virtual(main())

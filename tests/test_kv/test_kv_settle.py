"""Outcomes of writes whose responses are lost, and configuration versions built on them."""

from __future__ import annotations

import random

import msgspec
import pytest

from gradepoint.config.document import Document, KeyHash, Model, ModelVersion, Organisation
from gradepoint.config.versions import (
    CURRENT_KEY,
    ConfigInForce,
    ConfigRecord,
    apply_document,
    decode_record,
    read_current,
)
from gradepoint.errors import GradepointError, KvRejected
from gradepoint.kv.limits import KvLimits
from gradepoint.kv.service import Expect, Put, Transaction
from gradepoint.kv.settle import WriteOutcome, WriteOutcomeUnknown, settle
from gradepoint.standins.memory_kv import KvFault, MemoryKv, MemoryKvClient
from gradepoint.standins.virtual_time import run_virtual
from gradepoint.util.hashing import sha256_hex


def client_with_faults(store: MemoryKv, *faults: KvFault) -> MemoryKvClient:
    """Return a client whose first transactions fail with *faults*, one each."""
    remaining = list(faults)

    def fault(kind: str) -> KvFault:
        return remaining.pop(0) if kind == "txn" and remaining else KvFault.NONE

    return MemoryKvClient(store, fault)


def make_document(name: str) -> Document:
    """Return a small valid configuration document."""
    return Document(1, name, [Model("m", [ModelVersion("v1", "w")], "v1")], [], [])


@pytest.mark.parametrize(
    ("faults", "error", "writes"),
    [
        ((), KvRejected, 1),
        ((KvFault.DOWN,), KvRejected, 2),
        ((KvFault.LOST_BEFORE,), WriteOutcomeUnknown, 2),
    ],
)
def test_refused_write_is_not_retried(
    faults: tuple[KvFault, ...], error: type[Exception], writes: int
) -> None:
    """After an attempt without an answer, the refusal of the next one does not settle the first."""

    async def main() -> None:
        client = client_with_faults(MemoryKv(limits=KvLimits(value_bytes=4)), *faults)

        async def is_ours() -> bool:
            return False

        with pytest.raises(error):
            await settle(client, Transaction((), (Put("k", b"12345"),)), is_ours, max_attempts=5)
        assert client.counts.writes == writes

    run_virtual(main())


@pytest.mark.parametrize(
    ("faults", "wanted"),
    [
        ((KvFault.NONE,), WriteOutcome.TOOK_EFFECT),
        ((KvFault.LOST_AFTER,), WriteOutcome.TOOK_EFFECT),
        ((KvFault.LOST_BEFORE,), WriteOutcome.TOOK_EFFECT),
        ((KvFault.DOWN, KvFault.LOST_AFTER), WriteOutcome.TOOK_EFFECT),
        ((KvFault.LOST_BEFORE, KvFault.LOST_AFTER), WriteOutcome.TOOK_EFFECT),
    ],
)
def test_own_write_is_recognised_after_lost_responses(
    faults: tuple[KvFault, ...], wanted: WriteOutcome
) -> None:
    async def main() -> None:
        store = MemoryKv()
        client = client_with_faults(store, *faults)

        async def is_ours() -> bool:
            item = await client.get("k")
            return item is not None and item.value == b"ours"

        transaction = Transaction((Expect("k", 0),), (Put("k", b"ours"),))
        settled, _ = await settle(client, transaction, is_ours)
        assert settled is wanted
        assert store.keys["k"].value == b"ours"

    run_virtual(main())


def test_write_after_another_writer_is_a_lost_race() -> None:
    async def main() -> None:
        store = MemoryKv()
        store.apply(Transaction((), (Put("k", b"theirs"),)))
        client = client_with_faults(store, KvFault.LOST_BEFORE)

        async def is_ours() -> bool:
            item = await client.get("k")
            return item is not None and item.value == b"ours"

        transaction = Transaction((Expect("k", 0),), (Put("k", b"ours"),))
        settled, _ = await settle(client, transaction, is_ours)
        assert settled is WriteOutcome.LOST_RACE

    run_virtual(main())


def test_write_without_a_definite_response_has_an_unknown_outcome() -> None:
    async def main() -> None:
        client = client_with_faults(MemoryKv(), *[KvFault.LATE] * 3)
        with pytest.raises(WriteOutcomeUnknown) as raised:
            await settle(client, Transaction((), (Put("k", b""),)), lambda: None)  # type: ignore[arg-type, return-value]
        assert raised.value.may_have_applied

    run_virtual(main())


def test_apply_whose_response_is_lost_is_reported_as_applied() -> None:
    async def main() -> None:
        store = MemoryKv()
        applied = await apply_document(
            client_with_faults(store, KvFault.LOST_AFTER), make_document("a"), "op", None
        )
        assert (applied.version, applied.changed) == (1, True)
        again = await apply_document(client_with_faults(store), make_document("a"), "op", None)
        assert (again.version, again.changed) == (1, False)

    run_virtual(main())


@pytest.mark.parametrize("seed", range(30))
def test_concurrent_applies_have_one_winner_per_version(seed: int) -> None:
    async def main() -> None:
        import asyncio

        rng = random.Random(seed)
        store = MemoryKv()

        def fault(kind: str) -> KvFault:
            if kind != "txn" or rng.random() > 0.4:
                return KvFault.NONE
            return rng.choice([KvFault.LOST_AFTER, KvFault.LOST_BEFORE, KvFault.DOWN])

        winners: dict[int, list[str]] = {}
        versions_seen: list[int] = []
        follower = ConfigInForce()

        async def operator(name: str) -> None:
            client = MemoryKvClient(store, fault)
            for number in range(5):
                try:
                    current, _ = await read_current(client)
                    base = current.version if current else 0
                    applied = await apply_document(
                        client, make_document(f"{name}-{number}"), name, base
                    )
                    winners.setdefault(applied.version, []).append(f"{name}-{number}")
                except GradepointError as error:
                    assert error.code in (
                        "config_conflict",
                        "service_uncertain",
                        "service_unavailable",
                    )
                await asyncio.sleep(rng.uniform(0, 0.01))

        async def watch() -> None:
            async for event in MemoryKvClient(store).watch(CURRENT_KEY, 1):
                assert event.value is not None
                follower.take(decode_record(event.value))
                versions_seen.append(follower.version)

        watcher = asyncio.ensure_future(watch())
        await asyncio.gather(*(operator(name) for name in "abc"))
        await asyncio.sleep(0.1)
        watcher.cancel()
        assert all(len(names) == 1 for names in winners.values())
        assert versions_seen == sorted(versions_seen)
        for version, names in winners.items():
            for event in store.history:
                if event.key == CURRENT_KEY and event.value is not None:
                    record = decode_record(event.value)
                    if record.version == version:
                        assert record.document.name == names[0]

    run_virtual(main())


def test_document_too_large_to_store_is_refused() -> None:
    async def main() -> None:
        keys = [KeyHash(f"{n:032x}", sha256_hex(str(n).encode())) for n in range(30000)]
        document = msgspec.structs.replace(
            make_document("large"), organisations=[Organisation("org", keys)]
        )
        store = MemoryKv()
        with pytest.raises(GradepointError) as refused:
            await apply_document(MemoryKvClient(store), document, "op", None)
        assert refused.value.code == "config_invalid"
        assert not store.keys

    run_virtual(main())


def test_only_a_higher_configuration_version_is_applied() -> None:
    config = ConfigInForce()
    assert config.take(ConfigRecord(5, make_document("five"), "w", "op", 0))
    assert not config.take(ConfigRecord(4, make_document("four"), "w", "op", 0))
    assert not config.take(ConfigRecord(5, make_document("other"), "w", "op", 0))
    assert config.document.name == "five"

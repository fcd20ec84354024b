"""Configuration and audit records of another writer cost themselves only."""

from __future__ import annotations

import asyncio
import zlib
from types import SimpleNamespace
from typing import Any

import msgspec
import pytest

from gradepoint.admin.api import AdminApi
from gradepoint.batch.records import JobRecord, job_key
from gradepoint.config import delta
from gradepoint.config.document import Document, Model, ModelVersion
from gradepoint.config.versions import (
    CURRENT_KEY,
    ConfigRecord,
    apply_document,
    audit_key,
    decode_record,
    encode_record,
    read_current,
)
from gradepoint.errors import DecodingError, GradepointError, KvUnreadable
from gradepoint.fleet.control import ControlNode
from gradepoint.kv.service import Put, Transaction
from gradepoint.settings import Settings
from gradepoint.standins.memory_kv import MemoryKv, MemoryKvClient
from gradepoint.standins.virtual_time import run_virtual

NESTED = b'{"unknown":' + b"[" * 5000 + b"]" * 5000 + b"}"
DOCUMENT = Document(1, "d", [Model("m", [ModelVersion("v1", "w")], "v1")], [], [])
RECORD = ConfigRecord(1, DOCUMENT, "w", "ops", 0)
SOUND = encode_record(RECORD)
FOREIGN = {
    "no compression": b"{}",
    "empty": b"",
    "cut": SOUND[:-5],
    "nested": zlib.compress(NESTED),
    "over 64 bits": zlib.compress(
        msgspec.json.encode(msgspec.to_builtins(RECORD) | {"version": 1 << 70})
    ),
    "unpacks to far more": zlib.compress(msgspec.json.encode(RECORD) + b" " * (64 << 20)),
}


def write(store: MemoryKv, key: str, value: bytes) -> None:
    """Write a value as another writer does."""
    store.apply(Transaction((), (Put(key, value),)))


@pytest.mark.parametrize("name", FOREIGN)
def test_foreign_record_raises_the_decoding_error_only(name: str) -> None:
    with pytest.raises(DecodingError):
        decode_record(FOREIGN[name])


def test_unpacking_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    """A value of 1 MB could take 1 GB of memory."""
    monkeypatch.setattr(delta, "MAX_UNPACKED_BYTES", 100)
    assert delta.decompress(zlib.compress(b"x" * 100)) == b"x" * 100
    with pytest.raises(DecodingError):
        delta.decompress(zlib.compress(b"x" * 101))


@pytest.mark.parametrize("name", FOREIGN)
def test_version_can_be_applied_over_a_foreign_record(name: str) -> None:
    """The operator's apply is what restores the record."""

    async def main() -> None:
        store = MemoryKv()
        client = MemoryKvClient(store)
        for number in range(3):
            document = msgspec.structs.replace(DOCUMENT, name=f"d{number}")
            assert (await apply_document(client, document, "ops", None)).version == number + 1
        write(store, CURRENT_KEY, FOREIGN[name])
        write(store, audit_key(99), b"no record")
        with pytest.raises(KvUnreadable):
            await read_current(client)
        with pytest.raises(GradepointError) as refused:
            await apply_document(client, DOCUMENT, "ops", 2)
        assert refused.value.code == "config_conflict"
        assert (await apply_document(client, DOCUMENT, "ops", 3)).version == 4
        found, _ = await read_current(client)
        assert found is not None and found.version == 4

    run_virtual(main())


def test_control_keeps_its_version_and_takes_the_next_one() -> None:
    """The watch of the configuration ended with each foreign value."""

    async def main() -> None:
        store = MemoryKv()
        node = ControlNode(Settings({"host": "h", "failure_domain": "d", "kv_url": "http://k"}))
        node.kv = MemoryKvClient(store)  # type: ignore[assignment]
        write(store, CURRENT_KEY, FOREIGN["cut"])
        watch = asyncio.ensure_future(node._watch())
        await asyncio.sleep(0.1)
        write(store, CURRENT_KEY, SOUND)
        await asyncio.sleep(0.1)
        write(store, CURRENT_KEY, FOREIGN["nested"])
        await asyncio.sleep(0.1)
        assert node.config.version == 1 and not watch.done()
        second = msgspec.structs.replace(RECORD, version=2)
        write(store, CURRENT_KEY, encode_record(second))
        await asyncio.sleep(0.1)
        assert node.config.version == 2 and node.kv_health.failing_since is None
        watch.cancel()
        await node.abort()

    run_virtual(main())


@pytest.mark.parametrize("value", [b"\xff", NESTED, b"{}"])
def test_administration_lists_what_can_be_read(value: bytes) -> None:
    """The audit and the list of jobs were answered 500 "internal"."""

    async def main() -> None:
        store = MemoryKv()
        client = MemoryKvClient(store)
        await apply_document(client, DOCUMENT, "ops", None)
        job = JobRecord("job", "org", "f", "/v1/completions", "24h", "d", 0, 1, 1, 1)
        write(store, job_key("org", "job"), msgspec.json.encode(job))
        for key in (audit_key(2), job_key("org", "other")):
            write(store, key, value)
        control: Any = SimpleNamespace(kv=client, config=None)
        api = AdminApi(control)
        audit = msgspec.json.decode((await api._audit()).body)
        assert [row["version"] for row in audit["audit"]] == [1]
        jobs = msgspec.json.decode((await api._jobs()).body)
        assert [row["id"] for row in jobs["jobs"]] == ["job"]

    run_virtual(main())


@pytest.mark.parametrize(
    "collections",
    [
        {"nope": delta.CollectionDelta([], [])},
        {"targets": delta.CollectionDelta([{}], [])},
        {"targets": delta.CollectionDelta([{"name": []}], [])},
        {"targets": delta.CollectionDelta([], [], ["nope"])},
        {"name": delta.CollectionDelta([], [])},
    ],
)
def test_delta_of_another_form_is_rejected(collections: dict[str, Any]) -> None:
    """An exception kept the host from asking for the whole record in its place."""
    foreign = delta.DocumentDelta(1, "", {}, [], collections)
    assert delta.apply_delta(DOCUMENT, foreign) is None

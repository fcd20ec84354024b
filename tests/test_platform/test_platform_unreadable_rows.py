"""Rows in the store's answers that cannot be decoded: each is left out, and no other one."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import Any

import pytest

from bench.platform.store import PAGE_ITEMS, PlatformStoreStandin
from gradepoint import events
from gradepoint.errors import KvUncertain
from gradepoint.kv import unreadable
from gradepoint.kv.omission import is_omitted
from gradepoint.kv.service import Expect, PartialRange, Put, Transaction, WatchEvent
from gradepoint.platform.store import PlatformStore
from gradepoint.wire.http_types import Request, Response
from tests.support.platform import until

from .test_platform_store import with_store

NO_TEXT = ("p/\ud83d", "p/a\udc00", "p/\udcff")
"""Keys with half of a surrogate pair."""
BAD_FIELDS: list[dict[str, Any]] = [
    {"key_path": None},
    {"key_path": 7},
    {"value": None},
    {"rev": "7"},
    {"rev": -1},
    {"rev": 1 << 64},
    {"rev": float("nan")},
    {"lease": []},
]


def record_events(monkeypatch: pytest.MonkeyPatch) -> list[tuple[events.Event, dict[str, str]]]:
    """Return a list to which each event about a row is appended, with its fields."""
    seen: list[tuple[events.Event, dict[str, str]]] = []
    monkeypatch.setattr(unreadable, "emit", lambda event, **row: seen.append((event, row)))
    return seen


async def read_keys(client: PlatformStore, prefix: str = "p/") -> list[str]:
    """Return the keys of a range."""
    return [item.key for item in (await client.range(prefix)).items]


@pytest.mark.parametrize("key", NO_TEXT)
def test_key_that_is_no_text_hides_no_other_row(key: str, monkeypatch: pytest.MonkeyPatch) -> None:
    # Every read of the prefix failed for as long as the key stood.
    async def work(store: PlatformStoreStandin, client: PlatformStore) -> None:
        seen = record_events(monkeypatch)
        for name in ("p/0", key, "p/z", "p/\U0001f600"):
            store.put(name, b"x")
        for _ in range(3):
            assert sorted(await read_keys(client)) == ["p/0", "p/z", "p/\U0001f600"]
        named = [fields for event, fields in seen if event is events.RECORD_UNREADABLE]
        shown = key.encode(errors="backslashreplace").decode()
        assert named == [{"key": shown, "reason": "key is no text"}]

    with_store(work)


@pytest.mark.parametrize("raw", [b"p/\xff", b"p/\xed\xa0\xbd"])
def test_key_in_other_bytes_than_utf_8_hides_no_other_row(raw: bytes) -> None:
    async def work(store: PlatformStoreStandin, client: PlatformStore) -> None:
        targets = []

        async def answer(request: Request) -> Response:
            targets.append(request.target)
            rows = [b'{"key_path":"%b","value":"eA==","rev":3}' % raw] * PAGE_ITEMS
            if len(targets) > 1:
                rows = [b'{"key_path":"p/z","value":"eA==","rev":4}']
            more = b"false" if len(targets) > 1 else b"true"
            return Response(
                200, {}, b'{"items":[%b],"has_more":%b,"timestamp":9}' % (b",".join(rows), more)
            )

        store.server.handler = answer
        assert await read_keys(client) == ["p/z"]
        # The next page begins behind the bytes that the store sent.
        assert targets[1].endswith("".join(f"%{byte:02X}" for byte in raw[2:]))

    with_store(work)


@pytest.mark.parametrize("half", ["\ud83d", "\udcff"])
@pytest.mark.parametrize("count", [1, PAGE_ITEMS - 1, PAGE_ITEMS, 2 * PAGE_ITEMS + 1])
def test_pages_go_on_behind_keys_that_are_no_text(count: int, half: str) -> None:
    async def work(store: PlatformStoreStandin, client: PlatformStore) -> None:
        sound = [f"p/{number:03d}" for number in range(PAGE_ITEMS - 1)]
        behind = [f"p/\uffff{number:03d}" for number in range(PAGE_ITEMS + 1)]
        for key in [*sound, *(f"p/{half}{number:03d}" for number in range(count)), *behind]:
            store.put(key, b"x")
        assert await read_keys(client) == [*sound, *behind]

    with_store(work)


def test_pages_that_begin_anew_end_the_read() -> None:
    # A store that rejects such a key in a query might send the first page again, without an end.
    async def work(store: PlatformStoreStandin, client: PlatformStore) -> None:
        pages = [
            b'{"items":[{"key_path":"p/a","rev":1}],"has_more":true,"timestamp":9}',
            b'{"items":[{"key_path":"p/\\ud83d","rev":2}],"has_more":true,"timestamp":9}',
        ]
        calls = 0

        async def answer(_: Request) -> Response:
            nonlocal calls
            calls += 1
            return Response(200, {}, pages[(calls - 1) % 2])

        store.server.handler = answer
        read = PartialRange("p/")
        with pytest.raises(KvUncertain):
            await client.read_on(read)
        assert calls == 3
        # The next try begins anew.
        assert not read.items and not read.cursors

    with_store(work)


@pytest.mark.parametrize("fields", BAD_FIELDS, ids=str)
def test_row_with_a_bad_field_hides_no_other_row(fields: dict[str, Any]) -> None:
    async def work(store: PlatformStoreStandin, client: PlatformStore) -> None:
        for key in ("p/a", "p/b", "p/c"):
            store.put(key, b"x")
        store.replaced_fields["p/b"] = fields
        assert await read_keys(client) == ["p/a", "p/c"]
        conflict = Transaction((Expect("p/a", 0), Expect("p/b", 0)), (Put("p/a", b"y"),))
        result = await client.transact(conflict)
        assert not result.succeeded
        assert [row.key for row in result.current] == ["p/a"]

    with_store(work)


@pytest.mark.parametrize("text", ["%%%%", "QQ", "QQ==QQ==", "\u00e9", "Q\nQ=="])
def test_value_that_is_no_base64_is_omitted(text: str, monkeypatch: pytest.MonkeyPatch) -> None:
    # It made the read of the whole prefix uncertain, or was taken for another value.
    async def work(store: PlatformStoreStandin, client: PlatformStore) -> None:
        seen = record_events(monkeypatch)
        for key in ("p/a", "p/b"):
            store.put(key, b"x")
        store.replaced_fields["p/a"] = {"value": text}
        first, second = (await client.range("p/")).items
        assert (first.key, second.value) == ("p/a", b"x")
        assert is_omitted(first.value)
        found = await client.get("p/a")
        assert found is not None and found.value == first.value
        # Its key can be written all the same.
        assert (
            await client.transact(
                Transaction((Expect("p/a", found.revision),), (Put("p/a", b"y"),))
            )
        ).succeeded
        named = [event for event, _ in seen if event is events.RECORD_UNREADABLE]
        assert len(named) == 1

    with_store(work)


def test_watch_goes_on_behind_changes_that_cannot_be_read() -> None:
    async def work(store: PlatformStoreStandin, client: PlatformStore) -> None:
        seen: list[WatchEvent] = []

        async def watch() -> None:
            async for event in client.watch("p/", 1):
                seen.append(event)

        watching = asyncio.ensure_future(watch())
        for key, fields in enumerate(({}, {"rev": None}, {"value": "%%%%"})):
            store.replaced_fields[f"p/{key}"] = fields
        for key in ("p/\ud83d", "p/0", "p/1", "p/2", "p/\ud83d"):
            store.put(key, b"x")
            await asyncio.sleep(0.1)
        store.delete("p/\ud83d")
        store.delete("p/0")
        await until(lambda: len(seen) == 3)
        calls = Counter(store.calls)
        await asyncio.sleep(1.0)
        assert Counter(store.calls) - calls == Counter()
        assert [(event.key, event.value is None) for event in seen] == [
            ("p/0", False),
            ("p/2", False),
            ("p/0", True),
        ]
        assert is_omitted(seen[1].value or b"")
        watching.cancel()

    with_store(work)


@pytest.mark.parametrize("body", [b"", b"{", b'{"has_more":false}', b'{"items":{}}', b"[]"])
def test_answer_without_rows_is_uncertain(body: bytes) -> None:
    async def work(store: PlatformStoreStandin, client: PlatformStore) -> None:
        async def answer(_: Request) -> Response:
            return Response(200, {}, body)

        store.server.handler = answer
        with pytest.raises(KvUncertain):
            await client.range("p/")

    with_store(work)

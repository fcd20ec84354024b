"""Tests of the client of an etcd cluster against answers that are not whole."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from gradepoint.errors import KvUncertain
from gradepoint.kv.etcd import EtcdClient
from gradepoint.standins import kv
from gradepoint.standins.kv import KvStandin
from gradepoint.standins.ports import free_port

HEAD = b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n\r\n"


@pytest.mark.parametrize("body", [b"", b'{"kvs": [{"key"'])
def test_answer_cut_by_an_orderly_close_is_uncertain(body: bytes) -> None:
    """The call may have been carried out, so that it must not end by an unexpected error."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(HEAD + body)
        writer.close()

    async def main() -> None:
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        client = EtcdClient(f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}")
        try:
            with pytest.raises(KvUncertain):
                await client.get("key")
        finally:
            server.close()

    asyncio.run(main())


def test_key_that_is_no_text_hides_no_other_key() -> None:
    """Every read and watch of the prefix failed as long as the key stood."""

    async def main() -> None:
        service = KvStandin()
        port = free_port()
        await service.start("127.0.0.1", port)
        client = EtcdClient(f"http://127.0.0.1:{port}")
        service.revision += 1
        service._put(b"p/\xff\xfe", b"value", 0)
        service._put(b"p/a", b"\x00\xff", 0)
        found = await client.range("p/")
        assert [(item.key, item.value) for item in found.items] == [("p/a", b"\x00\xff")]
        watch = client.watch("p/", 1)
        async with asyncio.timeout(10.0):
            assert (await anext(watch)).key == "p/a"
            service.revision += 1
            service._delete(b"p/\xff\xfe")
            service._delete(b"p/a")
            service._notify()
            changed = await anext(watch)
        assert (changed.key, changed.value) == ("p/a", None)
        await watch.aclose()  # type: ignore[attr-defined]
        client.http.close()
        await service.server.stop()

    asyncio.run(main())


BAD_FIELDS: list[dict[str, Any]] = [
    {"key": "%"},
    {"key": None},
    {"value": "QQ"},
    {"mod_revision": "-1"},
    {"mod_revision": str(1 << 64)},
]


@pytest.mark.parametrize("fields", BAD_FIELDS, ids=str)
def test_row_that_cannot_be_decoded_hides_no_other_row(
    fields: dict[str, Any], monkeypatch: pytest.MonkeyPatch
) -> None:
    # Every read and watch of the prefix failed as long as the row stood.
    async def main() -> None:
        service = KvStandin()
        port = free_port()
        await service.start("127.0.0.1", port)
        client = EtcdClient(f"http://127.0.0.1:{port}")
        for name in (b"p/a", b"p/b", b"p/c"):
            service.revision += 1
            service._put(name, b"value", 0)
        found = await client.range("p/")
        assert [item.key for item in found.items] == ["p/a", "p/c"]
        with pytest.raises(KvUncertain):
            await client.get("p/b")
        watch = client.watch("p/", 1)
        async with asyncio.timeout(10.0):
            assert [(await anext(watch)).key for _ in range(2)] == ["p/a", "p/c"]
            service.revision += 1
            service._delete(b"p/a")
            service._notify()
            changed = await anext(watch)
        assert (changed.key, changed.value) == ("p/a", None)
        await watch.aclose()  # type: ignore[attr-defined]
        client.http.close()
        service.server.abort()

    encode_key = kv._encode_key

    def encode_row(name: bytes, stored: kv.StoredKey) -> dict[str, Any]:
        return {**encode_key(name, stored), **(fields if name == b"p/b" else {})}

    monkeypatch.setattr(kv, "_encode_key", encode_row)
    asyncio.run(main())

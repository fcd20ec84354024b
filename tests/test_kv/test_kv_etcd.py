"""Tests of the client of an etcd cluster against answers that are not whole."""

from __future__ import annotations

import asyncio

import pytest

from gradepoint.errors import KvUncertain
from gradepoint.kv.etcd import EtcdClient

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

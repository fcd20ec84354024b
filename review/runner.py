"""Stand-in of one model runner, run as a process of its own.

Prints one line for each request that it begins to run, and for each that it sends to its end.
"""

from __future__ import annotations

import argparse
import asyncio
import hashlib
import json
import sys
import time

from .messages import Answer, Request, serve

SLOTS = 8
QUEUE = 24
ONLINE_PATH = "/lohu930/"
ONLINE_EVENTS = 39


def piece(item: str, number: int, size: int) -> str:
    """Return the data of event *number*; it is the same on every runner."""
    text = hashlib.sha256(f"{item}.{number}".encode()).hexdigest()
    return (text * (size // len(text) + 1))[:size]


def whole_text(item: str, events: int, size: int) -> str:
    """Return the whole output of an item."""
    return "\n".join(piece(item, number, size) for number in range(events))


class Runner:
    """One runner."""

    def __init__(self, options: argparse.Namespace) -> None:
        self.options = options
        self.slots = asyncio.Semaphore(SLOTS)
        self.waiting = 0

    def note(self, kind: str, item: str, **fields: object) -> None:
        """Print one line of the record."""
        row = {"at": round(time.time(), 3), "runner": self.options.name, "what": kind, "id": item}
        print(json.dumps({**row, **fields}), flush=True)

    async def handle(
        self, request: Request, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> Answer | None:
        """Answer one request."""
        options = self.options
        if request.method == "GET":
            return Answer(200, b"", {"X-Instance-Id": options.name})
        item = request.headers.get("x-attempt-id", "")
        if request.headers.get("x-target-instance", options.name) != options.name:
            return Answer(421, b"", {"X-Instance-Id": options.name, "X-Not-Run": "1"})
        if self.waiting >= QUEUE:
            return Answer(503, b"", {"X-Not-Run": "1"})
        gone = asyncio.ensure_future(reader.read(1))
        self.waiting += 1
        try:
            await self.slots.acquire()
        finally:
            self.waiting -= 1
        try:
            return await self._run(request, item, writer, gone)
        finally:
            self.slots.release()
            gone.cancel()

    async def _run(
        self, request: Request, item: str, writer: asyncio.StreamWriter, gone: asyncio.Future[bytes]
    ) -> None:
        options = self.options
        if gone.done():
            return
        await asyncio.sleep(options.first_ms / 1000)
        events = ONLINE_EVENTS if request.path.startswith(ONLINE_PATH) else options.events
        begin = int(request.headers.get("last-event-id", "-1")) + 1
        self.note("begun", item, after=begin - 1)
        framing = "Connection: close" if options.unframed else "Transfer-Encoding: chunked"
        writer.write(
            (
                f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {item}\r\nX-Server-Seal: {options.name}.{item}"
                f"\r\nX-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n{framing}\r\n\r\n"
            ).encode()
        )
        started = time.monotonic()
        for number in range(begin, events, options.stride):
            end = min(events, number + options.stride)
            due = started + (end - begin) * options.event_ms / 1000
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            if gone.done() or writer.is_closing():
                self.note("left", item, event=number)
                return
            data = "".join(
                f"id: {n}\ndata: {piece(item, n, options.size)}\n\n" for n in range(number, end)
            ).encode()
            writer.write(data if options.unframed else b"%x\r\n%b\r\n" % (len(data), data))
        if not options.unframed:
            writer.write(b"0\r\n\r\n")
        await writer.drain()
        self.note("finished", item, event=events - 1)

    async def run(self) -> None:
        """Serve until the process ends."""
        ip, _, port = self.options.listen.rpartition(":")
        server = await asyncio.start_server(
            lambda reader, writer: serve(self.handle, reader, writer), ip, int(port)
        )
        async with server:
            await server.serve_forever()


def main() -> None:
    """Run one runner."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--name", required=True)
    parser.add_argument("--listen", required=True)
    parser.add_argument("--events", type=int, default=268)
    parser.add_argument("--size", type=int, default=55)
    parser.add_argument("--event-ms", type=float, default=9.0)
    parser.add_argument("--first-ms", type=float, default=30.0)
    parser.add_argument("--stride", type=int, default=4)
    parser.add_argument("--unframed", action="store_true")
    try:
        asyncio.run(Runner(parser.parse_args()).run())
    except KeyboardInterrupt:
        sys.exit(0)


if __name__ == "__main__":
    main()

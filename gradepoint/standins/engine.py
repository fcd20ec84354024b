"""Stand-in for a model engine: an OpenAI-compatible HTTP API in front of the engine model.

The generated text is a function of model and prompt, so that a test can tell a complete and
correct answer from any other. Beyond the public API it has:

- ``priority`` and ``continue_text`` in request bodies; ``x-stream-id`` in responses;
- ``GET /v1/streams/ID?offset=N`` to resume and ``DELETE /v1/streams/ID`` to cancel;
- ``POST /kv/export`` and ``POST /kv/import``;
- ``GET /load`` (delayed), ``GET /cache_events?since=N`` (delayed, some events are lost);
- ``GET /state`` and ``POST /orders`` with a fencing number;
- ``PUT /_faults`` to inject faults, ``GET /_ran`` for the number of runs of each prompt.
"""

from __future__ import annotations

import asyncio
import itertools
import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import msgspec

from ..util import decoding
from ..util.clock import monotonic, wall_seconds
from ..util.hashing import sha256_hex
from ..util.tasks import TaskGroup
from ..wire import sse
from ..wire.http_server import HttpServer
from ..wire.http_types import EVENT_STREAM_TYPE, Response, json_response
from .engine_model import EngineModel, EngineParameters, Sequence
from .faults import EngineFaults

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from ..wire.http_types import Request

Json = dict[str, Any]

ANSWER_WORDS = (
    "clay",
    "wool",
    "loom",
    "glaze",
    "birch",
    "linen",
    "amber",
    "kiln",
    "thread",
    "felt",
    "bowl",
    "scarf",
    "card",
    "value",
    "till",
    "spoon",
    "oak",
    "dye",
    "mitten",
    "lace",
)
UNREAD_STREAM_LIFETIME_S = 5.0
"""Seconds for which a stream without a reader continues, so that it can be resumed."""

PREFIX_CHARACTERS = 64
"""Leading characters of a prompt that identify its cached prefix; 4 count as one token."""

COMPLETION_PATHS = ("/v1/completions", "/v1/chat/completions")
NOT_RUN = {"x-not-run": "true"}
"""Header of responses to requests that were refused before they ran."""


def expected_tokens(model: str, prompt: str, max_tokens: int | None) -> list[str]:
    """Return the tokens of the complete answer to a prompt.

    :param max_tokens: number of tokens; None for one that depends on the prompt.
    """
    seed = sha256_hex(f"{model}\x00{prompt}".encode())
    count = max_tokens if max_tokens is not None else 8 + int(seed[:4], 16) % 24
    rng = random.Random(seed)
    return [rng.choice(ANSWER_WORDS) + " " for _ in range(count)]


def get_prompt(body: Json) -> str:
    """Return the prompt text of a completion or chat request body."""
    if "messages" in body:
        return "\n".join(f"{row['role']}: {row['content']}" for row in body["messages"])
    prompt = body.get("prompt", "")
    return prompt if isinstance(prompt, str) else msgspec.json.encode(prompt).decode()


@dataclass
class EngineStream:
    """An answer that is being generated.

    :param tokens: the complete answer.
    :param offset: number of tokens that the request passed in ``continue_text``; generation
        starts after them.
    :param changed: set when a token was generated or the stream was cut.
    :param cut: whether the stream was cancelled or broken by an injected fault.
    """

    name: str
    model: str
    tokens: list[str]
    offset: int
    sequence: Sequence
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    cut: bool = False
    reader_count: int = 0
    last_read_at: float = 0.0

    @property
    def available_tokens(self) -> int:
        """Number of tokens of the complete answer that exist now."""
        return self.offset + self.sequence.generated

    @property
    def finished(self) -> bool:
        """Whether the answer is complete."""
        return self.sequence.finished


class EngineStandin:
    """HTTP server of one simulated engine.

    :param checks_fencing: refuse an order with a fencing number below the highest received.
    :param report_lag_s: seconds by which load reports and cache events are delayed.
    :param order_duration_s: seconds until an order has taken effect.
    :ivar ran: how often each prompt was run.
    :ivar imported: KV-cache blobs of ``POST /kv/import`` by hash of the prompt.
    """

    def __init__(
        self,
        name: str,
        models: list[str],
        *,
        checks_fencing: bool = True,
        parameters: EngineParameters | None = None,
        report_lag_s: float = 0.5,
        order_duration_s: float = 0.2,
    ) -> None:
        self.name = name
        self.models = set(models)
        self.checks_fencing = checks_fencing
        self.model = EngineModel(parameters or EngineParameters())
        self.report_lag_s = report_lag_s
        self.order_duration_s = order_duration_s
        self.faults = EngineFaults()
        self.streams: dict[str, EngineStream] = {}
        self.role = "both"
        self.draining = False
        self.stopped = False
        self.highest_fencing = 0
        self.orders: list[Json] = []
        self.ran: dict[str, int] = {}
        self.load_reports: list[tuple[float, Json]] = []
        self.cache_events: list[Json] = []
        self.imported: dict[str, Json] = {}
        self.stream_numbers = itertools.count(1)
        self.has_work = asyncio.Event()
        self.tasks = TaskGroup()
        self.server = HttpServer(self.handle)

    async def start(self, address: str, port: int) -> None:
        """Open the port and start the generation loop."""
        await self.server.start(address, port)
        self.tasks.start(self._run())

    async def stop(self) -> None:
        """Stop without finishing requests, as a crashed target does."""
        await self.tasks.stop()
        self.server.abort()

    # Generation loop

    async def _run(self) -> None:
        while True:
            if self.model.idle:
                self.has_work.clear()
                self._record_load()
                await self.has_work.wait()
            self.model.slow_factor = self.faults.slow_factor
            step = self.model.step()
            await asyncio.sleep(step.duration_s)
            for sequence in step.produced:
                stream = self.streams.get(sequence.name)
                if stream is not None:
                    stream.changed.set()
            self._record_load()
            self._cancel_unread_streams()

    def _record_load(self) -> None:
        running = self.model.running
        online = sum(1 for sequence in running if sequence.priority <= 0)
        waiting = sum(1 for sequence in self.model.waiting if sequence.priority <= 0)
        report = {
            "running": len(running),
            "online_running": online,
            "online_waiting": waiting,
            "waiting": len(self.model.waiting),
            "kv_used": self.model.kv_used,
            "kv_tokens": self.model.parameters.kv_tokens,
        }
        now = monotonic()
        self.load_reports.append((now, report))
        while len(self.load_reports) > 1 and self.load_reports[1][0] < now - self.report_lag_s:
            self.load_reports.pop(0)

    def _cancel_unread_streams(self) -> None:
        now = monotonic()
        for name, stream in list(self.streams.items()):
            if stream.reader_count == 0 and now - stream.last_read_at > UNREAD_STREAM_LIFETIME_S:
                self.model.cancel(stream.sequence)
                del self.streams[name]

    # Requests

    async def handle(self, request: Request) -> Response:
        """Handle one HTTP request."""
        body = await request.read_body()
        path = request.path
        if path == "/_faults":
            self.faults = decoding.decode_json(body, EngineFaults)
            return json_response({})
        if path == "/_ran":
            return json_response(self.ran)
        if self.faults.silent:
            await asyncio.sleep(3600)
        if path in COMPLETION_PATHS:
            return await self._complete(
                decoding.decode_json(body), path.endswith("chat/completions")
            )
        if path.startswith("/v1/streams/"):
            return self._handle_stream_request(request, path.rsplit("/", 1)[1])
        if path == "/load":
            return json_response(self.load_reports[0][1] if self.load_reports else {})
        if path == "/cache_events":
            since = int(request.query.get("since", "0"))
            return json_response(self._visible_cache_events(since))
        if path == "/state":
            return json_response(self.state())
        if path == "/orders":
            return await self._execute_order(decoding.decode_json(body))
        if path == "/kv/export":
            return self._export(decoding.decode_json(body))
        if path == "/kv/import":
            blob = decoding.decode_json(body)
            self.imported[blob["prompt_hash"]] = blob
            return json_response({"imported": True})
        return json_response({"error": {"message": "no such path"}}, 404, headers=NOT_RUN)

    def state(self) -> Json:
        """Return the current state, as ``GET /state`` reports it."""
        in_progress = len(self.model.running) + len(self.model.waiting)
        return {
            "models": sorted(self.models),
            "role": self.role,
            "draining": self.draining,
            "stopped": self.stopped,
            "in_progress": in_progress,
            "fencing": self.highest_fencing,
        }

    async def _complete(self, body: Json, chat: bool) -> Response:
        refusal = self._find_refusal_reason(body)
        if refusal:
            return json_response({"error": {"message": refusal}}, 503, headers=NOT_RUN)
        if body["model"] not in self.models:
            return json_response({"error": {"message": "model not loaded"}}, 404, headers=NOT_RUN)
        stream = self._start_stream(body)
        headers = {"x-stream-id": stream.name}
        if body.get("stream"):
            headers["content-type"] = EVENT_STREAM_TYPE
            usage = bool((body.get("stream_options") or {}).get("include_usage"))
            pieces = self._events(stream, stream.offset, chat, usage)
            return Response(200, headers, stream=pieces)
        text = ""
        async for token in self._tokens(stream, stream.offset):
            text += token
        return json_response(_make_response_body(stream, text, chat), 200, headers)

    def _find_refusal_reason(self, body: Json) -> str:
        if self.faults.refuse:
            return "refusing on purpose"
        if self.stopped or self.draining:
            return "this engine takes no new work"
        return ""

    def _start_stream(self, body: Json) -> EngineStream:
        prompt = get_prompt(body)
        self.ran[prompt] = self.ran.get(prompt, 0) + 1
        tokens = expected_tokens(body["model"], prompt, body.get("max_tokens"))
        offset = len(str(body.get("continue_text") or "").split())
        name = f"{self.name}-{next(self.stream_numbers)}"
        prompt_tokens = max(1, len(prompt) // 4) + offset
        prefix = sha256_hex(prompt[:PREFIX_CHARACTERS].encode())
        if sha256_hex(prompt.encode()) in self.imported:
            prompt_tokens = 1
        sequence = Sequence(
            name,
            prompt_tokens,
            len(tokens) - offset,
            int(body.get("priority", 0)),
            monotonic(),
            prefix,
            min(prompt_tokens, PREFIX_CHARACTERS // 4),
        )
        stream = EngineStream(name, body["model"], tokens, offset, sequence)
        self.streams[name] = stream
        if sequence.output_tokens > 0:
            self.model.submit(sequence)
            self.has_work.set()
        if self.faults.killer_text and self.faults.killer_text in prompt:
            for other in self.streams.values():
                other.cut = True
                other.changed.set()
        self._publish_cache_event(prefix)
        return stream

    def _publish_cache_event(self, prefix: str) -> None:
        number = len(self.cache_events) + 1
        # Every seventh event is lost, to simulate gaps.
        if number % 7:
            self.cache_events.append({"number": number, "stored": prefix, "at": monotonic()})
        else:
            self.cache_events.append({"number": number, "stored": "", "at": float("inf")})

    def _visible_cache_events(self, since: int) -> list[Json]:
        """Return the events numbered above *since* that are older than the reporting delay."""
        latest = monotonic() - self.report_lag_s
        return [row for row in self.cache_events if row["number"] > since and row["at"] <= latest]

    async def _tokens(self, stream: EngineStream, offset: int) -> AsyncIterator[str]:
        stream.reader_count += 1
        sent = offset
        try:
            while True:
                while sent < stream.available_tokens:
                    if self.faults.cut_after_tokens and sent >= self.faults.cut_after_tokens:
                        self.faults.cut_after_tokens = 0
                        raise ConnectionResetError("stream cut by fault injection")
                    yield stream.tokens[sent]
                    sent += 1
                if stream.finished:
                    break
                if stream.cut:
                    raise ConnectionResetError("stream cut by fault injection")
                stream.changed.clear()
                await stream.changed.wait()
        finally:
            stream.reader_count -= 1
            stream.last_read_at = monotonic()

    async def _events(
        self, stream: EngineStream, offset: int, chat: bool, usage: bool
    ) -> AsyncIterator[bytes]:
        async for token in self._tokens(stream, offset):
            yield sse.encode(_make_chunk(stream, token, chat, None))
        yield sse.encode(_make_chunk(stream, "", chat, "stop"))
        if usage:
            final = _make_chunk(stream, "", chat, None) | {"choices": [], "usage": _usage(stream)}
            yield sse.encode(final)
        yield sse.encode_raw(sse.DONE)

    def _handle_stream_request(self, request: Request, name: str) -> Response:
        stream = self.streams.get(name)
        if stream is None:
            return json_response({"error": {"message": "no such stream"}}, 404)
        if request.method == "DELETE":
            self.model.cancel(stream.sequence)
            stream.cut = True
            stream.changed.set()
            del self.streams[name]
            return json_response({"cancelled": True, "tokens": stream.available_tokens})
        if stream.cut:
            return json_response({"error": {"message": "stream was cut"}}, 404)
        offset = int(request.query.get("offset", "0"))
        chat = request.query.get("chat") == "1"
        headers = {"x-stream-id": name, "content-type": EVENT_STREAM_TYPE}
        return Response(200, headers, stream=self._events(stream, offset, chat, False))

    async def _execute_order(self, order: Json) -> Response:
        fencing = int(order.get("fencing", 0))
        if self.checks_fencing and fencing < self.highest_fencing:
            return json_response({"error": {"message": "old fencing number"}}, 409)
        self.highest_fencing = max(self.highest_fencing, fencing)
        await asyncio.sleep(self.order_duration_s)
        self.orders.append(order)
        kind = order["kind"]
        if kind == "load":
            self.models.add(order["model"])
        elif kind == "unload":
            self.models.discard(order["model"])
        elif kind == "role":
            self.role = order["role"]
        elif kind == "drain":
            self.draining = True
        elif kind == "stop":
            self.stopped = True
        elif kind == "activate":
            self.draining = self.stopped = False
        return json_response(self.state())

    def _export(self, call: Json) -> Response:
        stream = self.streams.get(call["stream_id"])
        if stream is None:
            return json_response({"error": {"message": "no such stream"}}, 404)
        return json_response(
            {
                "prompt_hash": call.get("prompt_hash", ""),
                "model": stream.model,
                "tokens": stream.available_tokens,
            }
        )


def _make_chunk(stream: EngineStream, token: str, chat: bool, finish: str | None) -> Json:
    choice: Json = {"index": 0, "finish_reason": finish, "logprobs": None}
    if chat:
        choice["delta"] = {"content": token} if token else {}
    else:
        choice["text"] = token
    kind = "chat.completion.chunk" if chat else "text_completion"
    return {
        "id": stream.name,
        "object": kind,
        "created": wall_seconds(),
        "model": stream.model,
        "choices": [choice],
    }


def _usage(stream: EngineStream) -> Json:
    prompt = stream.sequence.prompt_tokens
    completion_tokens = len(stream.tokens)
    return {
        "prompt_tokens": prompt,
        "completion_tokens": completion_tokens,
        "total_tokens": prompt + completion_tokens,
    }


def _make_response_body(stream: EngineStream, text: str, chat: bool) -> Json:
    choice: Json = {"index": 0, "finish_reason": "stop", "logprobs": None}
    if chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    kind = "chat.completion" if chat else "text_completion"
    return {
        "id": stream.name,
        "object": kind,
        "created": wall_seconds(),
        "model": stream.model,
        "choices": [choice],
        "usage": _usage(stream),
    }

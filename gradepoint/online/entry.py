"""The entry program: callers' HTTP, from key check to outcome."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from .. import events
from ..config.access import KeyRing
from ..config.resolve import public_names
from ..errors import GradepointError, Outcome
from ..fleet.local import FleetView
from ..kv.etcd import EtcdClient
from ..routing.limits import OrganisationLimits
from ..routing.retries import CallProgress
from ..telemetry import metrics
from ..telemetry.logs import emit
from ..util.clock import monotonic
from ..util.hashing import new_token, sha256_hex
from ..util.tasks import TaskGroup
from ..wire import sse
from ..wire.http_server import HttpServer, ServerLimits
from ..wire.http_types import (
    EVENT_STREAM_TYPE,
    HEADER_OUTCOME,
    HEADER_REASON,
    HEADER_REQUEST_ID,
    Response,
    error_body,
    error_headers,
    error_response,
    json_response,
)
from ..wire.pages import answer_common_page
from ..wire.target_client import TargetAnswer
from .claims import ClaimKeeper, Held, KeptAnswer
from .execute import CallContext, CallExecutor, StreamState
from .notify import FeederNotifier
from .relay import BatchRelay
from .requests import CHAT_PATH, COMPLETION_PATH, CallTerms, parse_completion, read_terms
from .services import ServiceCaller
from .streams import ClosingStream, StreamRun
from .targets import TargetPool

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator, Awaitable, Callable

    from ..config.document import Organisation
    from ..settings import Settings
    from ..wire.http_types import Request

RELAYED = ("/v1/files", "/v1/batches")
SERVICES_PREFIX = "/services/"
COMPLETE_HEADERS = {HEADER_OUTCOME: Outcome.COMPLETE.value, HEADER_REASON: "ok"}


class Entry:
    """State and edges of the entry program."""

    def __init__(self, settings: Settings, seed: int | None = None) -> None:
        self.settings = settings
        rng = random.Random(seed)
        self.fleet = FleetView(settings, "entry", self._leaving_in_flight)
        self.keys = KeyRing(self.fleet.config)
        self.limits = OrganisationLimits()
        self.pool = TargetPool(
            self.fleet.config,
            settings.host,
            settings.subset_size,
            settings.in_flight_per_target,
            rng,
        )
        self.pool.daemons = lambda: len(self.fleet.hosts())
        self.executor = CallExecutor(self.pool, rng)
        self.services = ServiceCaller(rng)
        self.relay = BatchRelay(settings, self.fleet)
        self.kv = EtcdClient(settings.kv_url, settings.kv_timeout_s)
        self.claims = ClaimKeeper(self.kv, settings.host, self.fleet.hosts)
        self.notifier = FeederNotifier(self.pool, self.fleet, settings.host)
        self.tasks = TaskGroup()
        self.server = HttpServer(
            self.handle,
            ServerLimits(
                settings.max_connections,
                settings.max_header_bytes,
                settings.max_body_bytes,
                settings.idle_timeout_s,
            ),
        )

    async def start(self) -> None:
        """Listen for callers."""
        await self.fleet.start()
        self.tasks.keep("notifier", self.notifier.run)
        await self.server.start(self.settings.address, self.settings.entry_port)

    async def stop(self) -> None:
        """End calls in progress, then stop."""
        await self.server.stop(grace_s=10.0)
        await self.abort()

    async def abort(self) -> None:
        """Stop at once, as a killed process would."""
        self.server.abort()
        await self.tasks.stop()
        self.notifier.close()
        await self.fleet.stop()
        await self.claims.stop()

    def _leaving_in_flight(self) -> dict[str, int]:
        return self.pool.leaving_in_flight()

    async def handle(self, request: Request) -> Response:
        """Answer one request; every answer carries an outcome."""
        page = await answer_common_page(request, lambda: self.fleet.ready)
        if page is not None:
            return page
        request_id = f"req-{new_token()}"
        try:
            response = await self._route(request, request_id)
        except GradepointError as error:
            response = self._refuse(error, request)
        response.headers.setdefault(HEADER_REQUEST_ID, request_id)
        outcome = response.headers.get(HEADER_OUTCOME, "streaming")
        metrics.shared().calls.add(1, {"outcome": outcome})
        return response

    def _refuse(self, error: GradepointError, request: Request) -> Response:
        metrics.shared().refusals.add(1, {"reason": error.code})
        emit(events.CALL_REFUSED, code=error.code, path=request.path)
        return error_response(error, resend_is_safe=_resend_is_safe(request, error))

    async def _route(self, request: Request, request_id: str) -> Response:
        path = request.path
        if path.startswith(RELAYED):
            return await self.relay.relay(request)
        organisation = self.keys.organisation(request.headers)
        if path == "/v1/models" or path.startswith("/v1/models/"):
            return self._models(path)
        if path in (CHAT_PATH, COMPLETION_PATH):
            _require(request, "POST")
            return await self._completion(request, request_id, organisation)
        if path.startswith(SERVICES_PREFIX):
            return await self._service(request, organisation)
        raise GradepointError("not_found", f"There is no path {path!r}.")

    def _models(self, path: str) -> Response:
        rows = [
            {"id": name, "object": "model", "created": 0, "owned_by": "gradepoint"}
            for name in public_names(self.fleet.config.document)
        ]
        if path == "/v1/models":
            return json_response({"object": "list", "data": rows}, headers=COMPLETE_HEADERS)
        wanted = path.removeprefix("/v1/models/")
        for row in rows:
            if row["id"] == wanted:
                return json_response(row, headers=COMPLETE_HEADERS)
        raise GradepointError("unknown_model", f"There is no model {wanted!r}.")

    # Completions

    async def _completion(
        self, request: Request, request_id: str, organisation: Organisation
    ) -> Response:
        terms = read_terms(request, self.settings.default_deadline_s)
        raw = await request.read_body()
        parsed = parse_completion(request.path, raw, self.fleet.config.document)
        digest = sha256_hex(request.path.encode() + b"\x00" + raw)
        started = monotonic()
        progress = CallProgress(terms.repeatable, started + terms.deadline_s)
        priority = self.fleet.config.document.sharing.online_priority
        call = CallContext(parsed, organisation.name, progress, priority)
        self.limits.admit(organisation, len(self.fleet.hosts()), started)
        if parsed.stream:
            return await self._stream(call, terms, digest, request_id)
        try:
            return await self._keyed(organisation, terms, digest, lambda: self._whole(call))
        finally:
            self.limits.leave(organisation.name)

    async def _whole(self, call: CallContext) -> KeptAnswer:
        answer = await self.executor.run_whole(call)
        return _target_answer(answer)

    async def _keyed(
        self,
        organisation: Organisation,
        terms: CallTerms,
        digest: str,
        run: Callable[[], Awaitable[KeptAnswer]],
    ) -> Response:
        """Run a call under its idempotency key, if it has one."""
        if not terms.key:
            return _response(await run())
        held = await self.claims.claim(
            organisation.name, terms.key, digest, repeatable=terms.repeatable
        )
        if isinstance(held, KeptAnswer):
            return _response(held)
        try:
            answer = await run()
        except BaseException as error:
            await self._end_claim(held, error)
            raise
        await self.claims.keep(held, answer)
        return _response(answer)

    async def _end_claim(self, held: Held, error: BaseException) -> None:
        if isinstance(error, GradepointError):
            if error.outcome is Outcome.NOT_RUN:
                await self.claims.release(held)
            else:
                await self.claims.keep_unknown(held, error.code)
            return
        await self.claims.keep_unknown(held, "target_lost")

    async def _stream(
        self, call: CallContext, terms: CallTerms, digest: str, request_id: str
    ) -> Response:
        held: Held | None = None
        state = StreamState(request_id)
        try:
            if terms.key:
                claimed = await self.claims.claim(
                    call.organisation, terms.key, digest, repeatable=terms.repeatable
                )
                if isinstance(claimed, KeptAnswer):
                    self.limits.leave(call.organisation)
                    return _response(claimed)
                held = claimed
            pieces = self.executor.run_stream(call, state)
            # The head waits for the first token, so that early failures keep their status.
            first = await anext(pieces)
        except BaseException as error:
            self.limits.leave(call.organisation)
            if held is not None:
                await self._end_claim(held, error)
            raise
        if isinstance(first, TargetAnswer):
            self.limits.leave(call.organisation)
            if held is not None:
                await self.claims.release(held)
            return _response(_target_answer(first))
        run = StreamRun(call, pieces, held, self._end_stream)
        headers = {
            "content-type": EVENT_STREAM_TYPE,
            "cache-control": "no-store",
            "trailer": f"{HEADER_OUTCOME}, {HEADER_REASON}",
        }
        body = ClosingStream(self._stream_body(run, first), run.end)
        return Response(200, headers, stream=body, trailers=lambda: run.ending)

    async def _stream_body(self, run: StreamRun, first: bytes) -> AsyncGenerator[bytes, None]:
        sent: list[bytes] = [sse.encode_raw(first)]
        done = sse.encode_raw(sse.DONE)
        try:
            yield sent[0]
            async for piece in run.pieces:
                assert isinstance(piece, bytes)
                event = sse.encode_raw(piece)
                if run.held is not None:
                    sent.append(event)
                yield event
            run.ending.update(COMPLETE_HEADERS)
            if run.held is not None:
                held, run.held = run.held, None
                answer = KeptAnswer(
                    200,
                    {"content-type": EVENT_STREAM_TYPE, **COMPLETE_HEADERS},
                    b"".join([*sent, done]),
                )
                await self.claims.keep(held, answer)
            yield done
        except GradepointError as error:
            # A stream that broke after it began has run: it ends as unknown, aloud.
            error.outcome = Outcome.UNKNOWN
            metrics.shared().refusals.add(1, {"reason": error.code})
            safe = run.call.progress.repeatable
            run.ending.update(error_headers(error, resend_is_safe=safe))
            yield sse.encode(error_body(error))

    async def _end_stream(self, run: StreamRun) -> None:
        self.limits.leave(run.call.organisation)
        metrics.shared().calls.add(1, {"outcome": run.ending.get(HEADER_OUTCOME, "left")})
        if run.held is not None:
            reason = run.ending.get(HEADER_REASON, "target_lost")
            await self.claims.keep_unknown(run.held, reason)

    # Plain services

    async def _service(self, request: Request, organisation: Organisation) -> Response:
        name, _, rest = request.target.removeprefix(SERVICES_PREFIX).partition("/")
        service = self.fleet.config.services.get(name)
        if service is None:
            raise GradepointError("unknown_service", f"There is no service {name!r}.")
        terms = read_terms(request, self.settings.default_deadline_s)
        repeatable = terms.repeatable and request.method in service.repeatable_methods
        body = await request.read_body()
        digest = sha256_hex(f"{request.method} {request.target}\x00".encode() + body)
        started = monotonic()
        progress = CallProgress(repeatable, started + terms.deadline_s)
        self.limits.admit(organisation, len(self.fleet.hosts()), started)

        async def run() -> KeptAnswer:
            answer = await self.services.call(
                service, request.method, f"/{rest}", request.headers, body, progress
            )
            kept = KeptAnswer(answer.status, _answer_headers(answer), answer.body)
            kept.headers.update(COMPLETE_HEADERS)
            if not repeatable:
                kept.headers["x-should-retry"] = "false"
            return kept

        call_terms = CallTerms(terms.deadline_s, repeatable, terms.key)
        try:
            return await self._keyed(organisation, call_terms, digest, run)
        except GradepointError as error:
            if error.outcome is Outcome.UNKNOWN and not repeatable and not terms.key:
                return error_response(error, resend_is_safe=False)
            raise
        finally:
            self.limits.leave(organisation.name)


def _require(request: Request, method: str) -> None:
    if request.method != method:
        raise GradepointError("method_not_allowed", f"Use {method} here.")


def _resend_is_safe(request: Request, error: GradepointError) -> bool:
    """Whether a public client may resend by itself after *error*.

    An unknown outcome of a not-repeatable call must not be resent; with a key, a resend
    finds the claim and never runs again, so that an answer still to come may be fetched.
    """
    mark = request.headers.get("gradepoint-not-repeatable", "false").strip().lower()
    if error.outcome is Outcome.NOT_RUN or mark in ("false", "0"):
        return True
    return error.code == "in_progress"


def _answer_headers(answer: TargetAnswer) -> dict[str, str]:
    kept = ("content-type", "x-request-id", "location")
    return {name: answer.headers[name] for name in kept if name in answer.headers}


def _target_answer(answer: TargetAnswer) -> KeptAnswer:
    """Return a target's completion as an answer; its refusal of the request is not-run."""
    headers = {"content-type": "application/json"}
    if answer.status == 200:
        headers.update(COMPLETE_HEADERS)
    else:
        headers.update({HEADER_OUTCOME: Outcome.NOT_RUN.value, HEADER_REASON: "bad_request"})
    return KeptAnswer(answer.status, headers, answer.body)


def _response(answer: KeptAnswer) -> Response:
    return Response(answer.status, dict(answer.headers), answer.body)

"""The entry program: the HTTP API for callers, from authentication to the outcome."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from .. import events
from ..config.access import Authenticator
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
from ..wire.listening import open_port
from ..wire.pages import answer_common_page
from ..wire.target_client import TargetAnswer
from .claims import ClaimStore, HeldClaim, StoredAnswer
from .execute import CallContext, CallExecutor, StreamState
from .notify import FeederNotifier
from .relay import BatchRelay
from .requests import CHAT_PATH, COMPLETION_PATH, CallOptions, parse_call_options, parse_completion
from .services import ServiceCaller
from .streams import ClosingStream, StreamedCall
from .targets import TargetPool

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator, Awaitable, Callable

    from ..config.document import Organisation
    from ..settings import Settings
    from ..wire.http_types import Request

RELAYED_PREFIXES = ("/v1/files", "/v1/batches")
SERVICES_PREFIX = "/services/"
COMPLETE_HEADERS = {HEADER_OUTCOME: Outcome.COMPLETE.value, HEADER_REASON: "ok"}


class EntryApp:
    """The entry program: its components, their start and stop, and the HTTP handlers.

    :param seed: seed of the random choices; None for an unpredictable one.
    """

    def __init__(self, settings: Settings, seed: int | None = None) -> None:
        self.settings = settings
        rng = random.Random(seed)
        self.fleet = FleetView(settings, "entry", self._leaving_in_flight)
        self.keys = Authenticator(self.fleet.config)
        self.limits = OrganisationLimits()
        self.pool = TargetPool(
            self.fleet.config,
            settings.host,
            settings.subset_size,
            settings.in_flight_per_target,
            rng,
        )
        self.pool.count_entries = lambda: len(self.fleet.hosts())
        self.executor = CallExecutor(self.pool, rng)
        self.services = ServiceCaller(rng)
        self.relay = BatchRelay(settings, self.fleet)
        self.kv = EtcdClient(settings.kv_url, settings.kv_timeout_s)
        self.claims = ClaimStore(self.kv, settings.host, self.fleet.hosts)
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
        """Join the fleet and start the HTTP server."""
        await self.fleet.start()
        self.tasks.start_loop("notifier", self.notifier.run)
        settings = self.settings
        await open_port(
            "callers",
            f"{settings.address}:{settings.entry_port}",
            lambda: self.server.start(settings.address, settings.entry_port),
        )

    async def stop(self) -> None:
        """Stop accepting calls, wait up to 10 seconds for those in flight, then stop."""
        await self.server.stop(grace_s=10.0)
        await self.abort()

    async def abort(self) -> None:
        """Stop immediately without waiting for calls, as a crash does."""
        self.server.abort()
        await self.tasks.stop()
        self.notifier.close()
        await self.fleet.stop()
        await self.claims.stop()

    def _leaving_in_flight(self) -> dict[str, int]:
        return self.pool.leaving_in_flight()

    async def handle(self, request: Request) -> Response:
        """Handle one request. Every response has an outcome: a header, or a trailer of a stream."""
        page = await answer_common_page(request, lambda: self.fleet.ready)
        if page is not None:
            return page
        request_id = f"req-{new_token()}"
        try:
            response = await self._route(request, request_id)
        except GradepointError as error:
            response = self._error_response(error, request)
        response.headers.setdefault(HEADER_REQUEST_ID, request_id)
        outcome = response.headers.get(HEADER_OUTCOME, "streaming")
        metrics.shared().calls.add(1, {"outcome": outcome})
        return response

    def _error_response(self, error: GradepointError, request: Request) -> Response:
        metrics.shared().refusals.add(1, {"reason": error.code})
        emit(events.CALL_REFUSED, code=error.code, path=request.path)
        return error_response(error, resend_is_safe=_resend_is_safe(request, error))

    async def _route(self, request: Request, request_id: str) -> Response:
        path = request.path
        if path.startswith(RELAYED_PREFIXES):
            return await self.relay.relay(request)
        organisation = self.keys.organisation(request.headers)
        if path == "/v1/models" or path.startswith("/v1/models/"):
            return self._models(path)
        if path in (CHAT_PATH, COMPLETION_PATH):
            _require_method(request, "POST")
            return await self._complete(request, request_id, organisation)
        if path.startswith(SERVICES_PREFIX):
            return await self._call_service(request, organisation)
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

    async def _complete(
        self, request: Request, request_id: str, organisation: Organisation
    ) -> Response:
        options = parse_call_options(request, self.settings.default_deadline_s)
        raw = await request.read_body()
        parsed = parse_completion(request.path, raw, self.fleet.config.document)
        digest = sha256_hex(request.path.encode() + b"\x00" + raw)
        started = monotonic()
        progress = CallProgress(options.repeatable, started + options.deadline_s)
        priority = self.fleet.config.document.sharing.online_priority
        call = CallContext(parsed, organisation.name, progress, priority)
        self.limits.admit(organisation, len(self.fleet.hosts()), started)
        if parsed.stream:
            return await self._stream(call, options, digest, request_id)
        try:
            return await self._run_with_key(
                organisation, options, digest, lambda: self._run_unary(call)
            )
        finally:
            self.limits.leave(organisation.name)

    async def _run_unary(self, call: CallContext) -> StoredAnswer:
        answer = await self.executor.run_unary(call)
        return _to_stored_answer(answer)

    async def _run_with_key(
        self,
        organisation: Organisation,
        options: CallOptions,
        digest: str,
        run: Callable[[], Awaitable[StoredAnswer]],
    ) -> Response:
        """Run a call under its idempotency key, if it has one.

        A resend gets the stored answer and does not run.
        """
        if not options.key:
            return _to_response(await run())
        held = await self.claims.claim(
            organisation.name, options.key, digest, repeatable=options.repeatable
        )
        if isinstance(held, StoredAnswer):
            return _to_response(held)
        try:
            answer = await run()
        except BaseException as error:
            await self._settle_claim(held, error)
            raise
        await self.claims.store_answer(held, answer)
        return _to_response(answer)

    async def _settle_claim(self, held: HeldClaim, error: BaseException) -> None:
        if isinstance(error, GradepointError):
            if error.outcome is Outcome.NOT_RUN:
                await self.claims.release(held)
            else:
                await self.claims.store_unknown(held, error.code)
            return
        await self.claims.store_unknown(held, "target_lost")

    async def _stream(
        self, call: CallContext, options: CallOptions, digest: str, request_id: str
    ) -> Response:
        held: HeldClaim | None = None
        state = StreamState(request_id)
        try:
            if options.key:
                claimed = await self.claims.claim(
                    call.organisation, options.key, digest, repeatable=options.repeatable
                )
                if isinstance(claimed, StoredAnswer):
                    self.limits.leave(call.organisation)
                    return _to_response(claimed)
                held = claimed
            payloads = self.executor.run_stream(call, state)
            # The response head is sent after the first token, so that earlier failures can
            # still set the HTTP status.
            first = await anext(payloads)
        except BaseException as error:
            self.limits.leave(call.organisation)
            if held is not None:
                await self._settle_claim(held, error)
            raise
        if isinstance(first, TargetAnswer):
            self.limits.leave(call.organisation)
            if held is not None:
                await self.claims.release(held)
            return _to_response(_to_stored_answer(first))
        run = StreamedCall(call, payloads, held, self._end_stream)
        headers = {
            "content-type": EVENT_STREAM_TYPE,
            "cache-control": "no-store",
            "trailer": f"{HEADER_OUTCOME}, {HEADER_REASON}",
        }
        body = ClosingStream(self._stream_body(run, first), run.end)
        return Response(200, headers, stream=body, trailers=lambda: run.trailers)

    async def _stream_body(self, run: StreamedCall, first: bytes) -> AsyncGenerator[bytes, None]:
        sent: list[bytes] = [sse.encode_raw(first)]
        done = sse.encode_raw(sse.DONE)
        try:
            yield sent[0]
            async for payload in run.payloads:
                assert isinstance(payload, bytes)
                event = sse.encode_raw(payload)
                if run.held is not None:
                    sent.append(event)
                yield event
            run.trailers.update(COMPLETE_HEADERS)
            if run.held is not None:
                held, run.held = run.held, None
                answer = StoredAnswer(
                    200,
                    {"content-type": EVENT_STREAM_TYPE, **COMPLETE_HEADERS},
                    b"".join([*sent, done]),
                )
                await self.claims.store_answer(held, answer)
            yield done
        except GradepointError as error:
            # The stream failed after its first token, so the call has run. Its outcome is
            # unknown, and the caller gets it both as an event and in the trailers.
            error.outcome = Outcome.UNKNOWN
            metrics.shared().refusals.add(1, {"reason": error.code})
            safe = run.call.progress.repeatable
            run.trailers.update(error_headers(error, resend_is_safe=safe))
            yield sse.encode(error_body(error))

    async def _end_stream(self, run: StreamedCall) -> None:
        self.limits.leave(run.call.organisation)
        metrics.shared().calls.add(1, {"outcome": run.trailers.get(HEADER_OUTCOME, "left")})
        if run.held is not None:
            reason = run.trailers.get(HEADER_REASON, "target_lost")
            await self.claims.store_unknown(run.held, reason)

    # Configured HTTP services

    async def _call_service(self, request: Request, organisation: Organisation) -> Response:
        name, _, rest = request.target.removeprefix(SERVICES_PREFIX).partition("/")
        service = self.fleet.config.services.get(name)
        if service is None:
            raise GradepointError("unknown_service", f"There is no service {name!r}.")
        options = parse_call_options(request, self.settings.default_deadline_s)
        repeatable = options.repeatable and request.method in service.repeatable_methods
        body = await request.read_body()
        digest = sha256_hex(f"{request.method} {request.target}\x00".encode() + body)
        started = monotonic()
        progress = CallProgress(repeatable, started + options.deadline_s)
        self.limits.admit(organisation, len(self.fleet.hosts()), started)

        async def run() -> StoredAnswer:
            answer = await self.services.call(
                service, request.method, f"/{rest}", request.headers, body, progress
            )
            stored = StoredAnswer(answer.status, _answer_headers(answer), answer.body)
            stored.headers.update(COMPLETE_HEADERS)
            if not repeatable:
                stored.headers["x-should-retry"] = "false"
            return stored

        call_options = CallOptions(options.deadline_s, repeatable, options.key)
        try:
            return await self._run_with_key(organisation, call_options, digest, run)
        except GradepointError as error:
            if error.outcome is Outcome.UNKNOWN and not repeatable and not options.key:
                return error_response(error, resend_is_safe=False)
            raise
        finally:
            self.limits.leave(organisation.name)


def _require_method(request: Request, method: str) -> None:
    if request.method != method:
        raise GradepointError("method_not_allowed", f"Use {method} here.")


def _resend_is_safe(request: Request, error: GradepointError) -> bool:
    """Return whether a client library may retry automatically after *error*.

    A call that is not repeatable must not be resent after an unknown outcome. The exception
    is ``in_progress``: a resend with the same key finds the claim, does not run, and can
    fetch the answer when it is ready.
    """
    flag = request.headers.get("gradepoint-not-repeatable", "false").strip().lower()
    if error.outcome is Outcome.NOT_RUN or flag in ("false", "0"):
        return True
    return error.code == "in_progress"


def _answer_headers(answer: TargetAnswer) -> dict[str, str]:
    forwarded = ("content-type", "x-request-id", "location")
    return {name: answer.headers[name] for name in forwarded if name in answer.headers}


def _to_stored_answer(answer: TargetAnswer) -> StoredAnswer:
    """Convert the answer of a target. A status other than 200 rejects the request: not run."""
    headers = {"content-type": "application/json"}
    if answer.status == 200:
        headers.update(COMPLETE_HEADERS)
    else:
        headers.update({HEADER_OUTCOME: Outcome.NOT_RUN.value, HEADER_REASON: "bad_request"})
    return StoredAnswer(answer.status, headers, answer.body)


def _to_response(answer: StoredAnswer) -> Response:
    return Response(answer.status, dict(answer.headers), answer.body)

"""The batch program: the HTTP API for files and jobs, and the batch worker."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec

from .. import events
from ..config.access import Authenticator
from ..errors import GradepointError
from ..fleet.local import FleetView
from ..ids import JobId, ObjectHash
from ..kv.etcd import EtcdClient
from ..online.requests import check_idempotency_key
from ..routing.notices import InFlightNotice
from ..store.replicas import ReplicatedStore
from ..telemetry import metrics
from ..telemetry.logs import emit
from ..util.clock import monotonic, wall_seconds
from ..util.hashing import short_identity
from ..util.numbers import read_whole_number
from ..wire.http_server import HttpServer, ServerLimits
from ..wire.http_types import (
    HEADER_IDEMPOTENCY_KEY,
    HEADER_OUTCOME,
    HEADER_REASON,
    Response,
    error_response,
    json_response,
)
from ..wire.listening import open_port
from ..wire.pages import answer_common_page
from ..wire.push import PullSocket
from .hints import HintSender, JobEnded
from .items import ENDPOINTS
from .output import parse_output_file_id, read_output
from .records import JobRecord, JobState
from .repository import Repository
from .upload import BATCH_PURPOSE, UploadLimits, read_upload
from .views import COMPLETION_WINDOWS_S, file_to_api, job_to_api, output_file_to_api
from .worker import BatchWorker

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from ..settings import Settings
    from ..wire.http_types import Request
    from .records import FileRecord

OK_HEADERS = {HEADER_OUTCOME: "complete", HEADER_REASON: "ok"}
JSONL_TYPE = "application/jsonl"
MAX_METADATA_ENTRIES = 16
DEFAULT_PAGE_SIZE = 20
MAX_PAGE_SIZE = 100


class BatchApp:
    """The batch program: its components, their start and stop, and the HTTP handlers."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.fleet = FleetView(settings, "batch", self._leaving_in_flight)
        self.keys = Authenticator(self.fleet.config)
        self.kv = EtcdClient(settings.kv_url, settings.kv_timeout_s)
        self.repository = Repository(self.kv)
        self.store = ReplicatedStore(self.fleet.data_hosts)
        self.worker = BatchWorker(settings, self.fleet, self.repository, self.store)
        self.notice_socket = PullSocket(InFlightNotice | JobEnded, self._handle_notice)
        self.hints = HintSender()
        self.server = HttpServer(
            self.handle,
            ServerLimits(
                settings.max_connections,
                settings.max_header_bytes,
                settings.max_file_bytes + 65536,
                settings.idle_timeout_s,
            ),
        )

    async def start(self) -> None:
        """Join the fleet, start the servers and the worker."""
        await self.fleet.start()
        settings = self.settings
        await open_port(
            "notices",
            f"{settings.address}:{settings.notice_port}",
            lambda: self.notice_socket.start(settings.address, settings.notice_port),
        )
        await open_port(
            "batch",
            f"{settings.address}:{settings.batch_port}",
            lambda: self.server.start(settings.address, settings.batch_port),
        )
        await self.worker.start()

    async def stop(self) -> None:
        """Finish requests in flight, release the claimed chunks, then stop."""
        await self.server.stop()
        await self.worker.stop()
        await self.abort()

    async def abort(self) -> None:
        """Stop immediately without releasing chunks, as a crash does."""
        self.server.abort()
        await self.worker.abort()
        await self.notice_socket.stop()
        self.hints.close()
        await self.fleet.stop()
        self.store.close()

    def _handle_notice(self, notice: InFlightNotice | JobEnded) -> None:
        if isinstance(notice, JobEnded):
            self.worker.drop_job(notice.job_id)
        else:
            self.worker.online_calls.take(notice, monotonic())

    def _leaving_in_flight(self) -> dict[str, int]:
        known = self.fleet.config.targets
        feeders = self.worker.feeders.items()
        return {
            name: len(feeder.running)
            for name, feeder in feeders
            if feeder.running and (name not in known or known[name].state.value != "active")
        }

    async def handle(self, request: Request) -> Response:
        """Handle one request."""
        page = await answer_common_page(request, lambda: self.fleet.ready)
        if page is not None:
            return page
        try:
            return await self._route(request)
        except GradepointError as error:
            metrics.shared().refusals.add(1, {"reason": error.code})
            emit(events.CALL_REFUSED, code=error.code, path=request.path)
            return error_response(error)

    async def _route(self, request: Request) -> Response:
        organisation = self.keys.organisation(request.headers).name
        parts = request.path.strip("/").split("/")
        match (request.method, *parts[1:]):
            case ("POST", "files"):
                return await self._upload(request, organisation)
            case ("GET", "files"):
                rows = await self.repository.files(organisation)
                return _list_page(request, [file_to_api(row) for row in rows])
            case ("GET", "files", file_id):
                return await self._file_metadata(organisation, file_id)
            case ("GET", "files", file_id, "content"):
                return await self._file_content(organisation, file_id)
            case ("DELETE", "files", file_id):
                deleted = await self.repository.delete_file(organisation, file_id)
                if not deleted:
                    raise GradepointError("not_found", f"There is no file {file_id!r}.")
                return json_response(
                    {"id": file_id, "object": "file", "deleted": True}, headers=OK_HEADERS
                )
            case ("POST", "batches"):
                return await self._create_job(request, organisation)
            case ("GET", "batches"):
                jobs = await self.repository.jobs(organisation)
                return _list_page(request, [job_to_api(job) for job in jobs])
            case ("GET", "batches", job_id):
                job = await self.repository.with_current_counts(
                    await self._require_job(organisation, job_id)
                )
                return json_response(job_to_api(job), headers=OK_HEADERS)
            case ("POST", "batches", job_id, "cancel"):
                return await self._cancel_job(organisation, job_id)
        raise GradepointError("not_found", f"There is no {request.method} {request.path!r}.")

    # Files

    async def _upload(self, request: Request, organisation: str) -> Response:
        settings = self.settings
        limits = UploadLimits(
            settings.max_file_bytes,
            settings.max_items,
            settings.max_line_bytes,
            settings.chunk_items,
        )
        record = await read_upload(
            request.body_source(),
            request.headers.get("content-type", ""),
            organisation,
            self.store.put,
            limits,
        )
        stored = await self.repository.put_file(record)
        return json_response(file_to_api(stored), headers=OK_HEADERS)

    async def _require_file(self, organisation: str, file_id: str) -> FileRecord:
        record = await self.repository.file(organisation, file_id)
        if record is None:
            raise GradepointError("not_found", f"There is no file {file_id!r}.")
        return record

    async def _file_metadata(self, organisation: str, file_id: str) -> Response:
        output = parse_output_file_id(file_id)
        if output is None:
            return json_response(
                file_to_api(await self._require_file(organisation, file_id)), headers=OK_HEADERS
            )
        job = await self._require_job(organisation, output[0])
        return json_response(output_file_to_api(job, output[1]), headers=OK_HEADERS)

    async def _file_content(self, organisation: str, file_id: str) -> Response:
        output = parse_output_file_id(file_id)
        if output is None:
            record = await self._require_file(organisation, file_id)
            parts = self._read_segments(record)
        else:
            job = await self._require_job(organisation, output[0])
            parts = read_output(self.repository, self.store, job, output[1])
        # The first part is read before the response head is sent, so that a failure can still
        # set the HTTP status.
        first = await anext(parts, b"")
        headers = {"content-type": JSONL_TYPE, **OK_HEADERS}
        return Response(200, headers, stream=_prepend(first, parts))

    async def _read_segments(self, record: FileRecord) -> AsyncIterator[bytes]:
        for segment in record.segments:
            yield await self.store.get(ObjectHash(segment.hash))

    # Jobs

    async def _require_job(self, organisation: str, job_id: str) -> JobRecord:
        job, _ = await self.repository.job(organisation, job_id)
        if job is None:
            raise GradepointError("not_found", f"There is no job {job_id!r}.")
        return job

    async def _create_job(self, request: Request, organisation: str) -> Response:
        body = await request.read_json()
        key = check_idempotency_key(request.headers.get(HEADER_IDEMPOTENCY_KEY))
        file_id, endpoint, window, metadata = _parse_job_request(body)
        record = await self._require_file(organisation, file_id)
        if record.purpose != BATCH_PURPOSE:
            raise GradepointError(
                "bad_request", "The file's purpose is not 'batch'.", param="input_file_id"
            )
        digest = short_identity(
            file_id, endpoint, window, msgspec.json.encode(metadata, order="sorted").decode()
        )
        # Client libraries resend requests automatically. Without an idempotency key, a request
        # with the same parameters therefore returns the existing job.
        identity = (
            short_identity(organisation, "key", key)
            if key
            else short_identity(organisation, "parameters", digest)
        )
        now = wall_seconds()
        job = JobRecord(
            JobId(f"batch_{identity}"),
            organisation,
            file_id,
            endpoint,
            window,
            digest,
            now,
            now + COMPLETION_WINDOWS_S[window],
            len(record.segments),
            record.lines,
            metadata=metadata,
        )
        stored, created = await self.repository.create_job(job)
        if created:
            emit(events.JOB_ACCEPTED, job=stored.job_id, items=stored.items)
            self.worker.shared.wake.set()
        return json_response(
            job_to_api(await self.repository.with_current_counts(stored)), headers=OK_HEADERS
        )

    async def _cancel_job(self, organisation: str, job_id: str) -> Response:
        job = await self.repository.cancel(organisation, job_id)
        if job.state is not JobState.CANCELLED:
            raise GradepointError("job_finished", f"Job {job_id!r} is {job.state.value}.")
        emit(events.JOB_CANCELLED, job=job_id, state=job.state.value)
        self.hints.send_job_ended(job_id, self.fleet.members)
        self.worker.shared.wake.set()
        return json_response(
            job_to_api(await self.repository.with_current_counts(job)), headers=OK_HEADERS
        )


def _parse_job_request(body: Any) -> tuple[str, str, str, dict[str, str] | None]:
    if not isinstance(body, dict):
        raise GradepointError("bad_request", "The body must be a JSON object.")
    file_id = body.get("input_file_id")
    if not isinstance(file_id, str):
        raise GradepointError(
            "bad_request", "'input_file_id' must be a string.", param="input_file_id"
        )
    endpoint = body.get("endpoint")
    if endpoint not in ENDPOINTS:
        raise GradepointError(
            "bad_request", f"'endpoint' must be one of {', '.join(ENDPOINTS)}.", param="endpoint"
        )
    window = body.get("completion_window", "24h")
    if not isinstance(window, str) or window not in COMPLETION_WINDOWS_S:
        raise GradepointError(
            "bad_request",
            f"Use one of {', '.join(COMPLETION_WINDOWS_S)}.",
            param="completion_window",
        )
    metadata = body.get("metadata")
    if metadata is not None:
        good = (
            isinstance(metadata, dict)
            and len(metadata) <= MAX_METADATA_ENTRIES
            and all(isinstance(value, str) for value in metadata.values())
        )
        if not good:
            raise GradepointError(
                "bad_request", "'metadata' must map 16 names to strings.", param="metadata"
            )
    return file_id, endpoint, window, metadata


def _list_page(request: Request, rows: list[dict[str, Any]]) -> Response:
    """Return one page of a list, newest first, with the cursor fields of the API."""
    rows.sort(key=lambda row: (row["created_at"], row["id"]), reverse=True)
    after = request.query.get("after")
    if after:
        names = [row["id"] for row in rows]
        rows = rows[names.index(after) + 1 :] if after in names else []
    wanted = request.query.get("limit", str(DEFAULT_PAGE_SIZE))
    limit = read_whole_number(wanted)
    if limit is None or not 1 <= limit <= 10000:
        raise GradepointError("bad_request", "'limit' must be a positive number.", param="limit")
    limit = min(limit, MAX_PAGE_SIZE)
    shown = rows[:limit]
    return json_response(
        {
            "object": "list",
            "data": shown,
            "first_id": shown[0]["id"] if shown else None,
            "last_id": shown[-1]["id"] if shown else None,
            "has_more": len(rows) > limit,
        },
        headers=OK_HEADERS,
    )


async def _prepend(first: bytes, rest: AsyncIterator[bytes]) -> AsyncIterator[bytes]:
    yield first
    async for part in rest:
        yield part

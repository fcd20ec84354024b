"""The batch program: files and jobs over HTTP, and the worker."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec

from .. import events
from ..config.access import KeyRing
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
from ..wire.http_server import HttpServer, ServerLimits
from ..wire.http_types import (
    HEADER_IDEMPOTENCY_KEY,
    HEADER_OUTCOME,
    HEADER_REASON,
    Response,
    error_response,
    json_response,
)
from ..wire.pages import answer_common_page
from ..wire.push import PullSocket
from .hints import HintSender, JobEnded
from .items import ENDPOINTS
from .output import parse_output_file_id, read_output
from .records import JobRecord, JobState
from .repository import Repository
from .upload import BATCH_PURPOSE, UploadLimits, read_upload
from .views import WINDOWS, show_file, show_job, show_output_file
from .worker import BatchWorker

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from ..settings import Settings
    from ..wire.http_types import Request
    from .records import FileRecord

OK = {HEADER_OUTCOME: "complete", HEADER_REASON: "ok"}
JSONL_TYPE = "application/jsonl"
MOST_METADATA = 16
PAGE_DEFAULT = 20
PAGE_MOST = 100


class BatchApp:
    """State and edges of the batch program."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.fleet = FleetView(settings, "batch", self._leaving_in_flight)
        self.keys = KeyRing(self.fleet.config)
        self.kv = EtcdClient(settings.kv_url, settings.kv_timeout_s)
        self.repository = Repository(self.kv)
        self.store = ReplicatedStore(self.fleet.data_hosts)
        self.worker = BatchWorker(settings, self.fleet, self.repository, self.store)
        self.notices = PullSocket(InFlightNotice | JobEnded, self._take_notice)
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
        """Listen and start to work."""
        await self.fleet.start()
        self.notices.start(self.settings.address, self.settings.notice_port)
        await self.server.start(self.settings.address, self.settings.batch_port)
        await self.worker.start()

    async def stop(self) -> None:
        """End requests in progress, hand chunks back, then stop."""
        await self.server.stop()
        await self.worker.stop()
        await self.abort()

    async def abort(self) -> None:
        """Stop at once, as a killed process would."""
        self.server.abort()
        await self.worker.abort()
        await self.notices.stop()
        self.hints.close()
        await self.fleet.stop()
        self.store.close()

    def _take_notice(self, notice: InFlightNotice | JobEnded) -> None:
        if isinstance(notice, JobEnded):
            self.worker.job_ended(notice.job_id)
        else:
            self.worker.notices.take(notice, monotonic())

    def _leaving_in_flight(self) -> dict[str, int]:
        known = self.fleet.config.targets
        feeders = self.worker.feeders.items()
        return {
            name: len(feeder.running)
            for name, feeder in feeders
            if feeder.running and (name not in known or known[name].state.value != "active")
        }

    async def handle(self, request: Request) -> Response:
        """Answer one request."""
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
                return _page(request, [show_file(row) for row in rows])
            case ("GET", "files", file_id):
                return await self._show_file(organisation, file_id)
            case ("GET", "files", file_id, "content"):
                return await self._content(organisation, file_id)
            case ("DELETE", "files", file_id):
                deleted = await self.repository.delete_file(organisation, file_id)
                if not deleted:
                    raise GradepointError("not_found", f"There is no file {file_id!r}.")
                return json_response({"id": file_id, "object": "file", "deleted": True}, headers=OK)
            case ("POST", "batches"):
                return await self._create(request, organisation)
            case ("GET", "batches"):
                jobs = await self.repository.jobs(organisation)
                return _page(request, [show_job(job) for job in jobs])
            case ("GET", "batches", job_id):
                job = await self.repository.counted(await self._job(organisation, job_id))
                return json_response(show_job(job), headers=OK)
            case ("POST", "batches", job_id, "cancel"):
                return await self._cancel(organisation, job_id)
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
        kept = await self.repository.put_file(record)
        return json_response(show_file(kept), headers=OK)

    async def _file(self, organisation: str, file_id: str) -> FileRecord:
        record = await self.repository.file(organisation, file_id)
        if record is None:
            raise GradepointError("not_found", f"There is no file {file_id!r}.")
        return record

    async def _show_file(self, organisation: str, file_id: str) -> Response:
        output = parse_output_file_id(file_id)
        if output is None:
            return json_response(show_file(await self._file(organisation, file_id)), headers=OK)
        job = await self._job(organisation, output[0])
        return json_response(show_output_file(job, output[1]), headers=OK)

    async def _content(self, organisation: str, file_id: str) -> Response:
        output = parse_output_file_id(file_id)
        if output is None:
            record = await self._file(organisation, file_id)
            pieces = self._segments(record)
        else:
            job = await self._job(organisation, output[0])
            pieces = read_output(self.repository, self.store, job, output[1])
        # The first piece is read before the head, so that a failure keeps its status.
        first = await anext(pieces, b"")
        headers = {"content-type": JSONL_TYPE, **OK}
        return Response(200, headers, stream=_chain(first, pieces))

    async def _segments(self, record: FileRecord) -> AsyncIterator[bytes]:
        for segment in record.segments:
            yield await self.store.get(ObjectHash(segment.hash))

    # Jobs

    async def _job(self, organisation: str, job_id: str) -> JobRecord:
        job, _ = await self.repository.job(organisation, job_id)
        if job is None:
            raise GradepointError("not_found", f"There is no job {job_id!r}.")
        return job

    async def _create(self, request: Request, organisation: str) -> Response:
        body = await request.read_json()
        key = check_idempotency_key(request.headers.get(HEADER_IDEMPOTENCY_KEY))
        file_id, endpoint, window, metadata = _check_job(body)
        record = await self._file(organisation, file_id)
        if record.purpose != BATCH_PURPOSE:
            raise GradepointError(
                "bad_request", "The file's purpose is not 'batch'.", param="input_file_id"
            )
        digest = short_identity(
            file_id, endpoint, window, msgspec.json.encode(metadata, order="sorted").decode()
        )
        # Without a key, the same parameters are the same job: clients resend by themselves.
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
            now + WINDOWS[window],
            len(record.segments),
            record.lines,
            metadata=metadata,
        )
        kept, created = await self.repository.create_job(job)
        if created:
            emit(events.JOB_ACCEPTED, job=kept.job_id, items=kept.items)
            self.worker.shared.wake.set()
        return json_response(show_job(await self.repository.counted(kept)), headers=OK)

    async def _cancel(self, organisation: str, job_id: str) -> Response:
        job = await self.repository.cancel(organisation, job_id)
        if job.state is not JobState.CANCELLED:
            raise GradepointError("job_finished", f"Job {job_id!r} is {job.state.value}.")
        emit(events.JOB_CANCELLED, job=job_id, state=job.state.value)
        self.hints.job_ended(job_id, self.fleet.members)
        self.worker.shared.wake.set()
        return json_response(show_job(await self.repository.counted(job)), headers=OK)


def _check_job(body: Any) -> tuple[str, str, str, dict[str, str] | None]:
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
    if window not in WINDOWS:
        raise GradepointError(
            "bad_request", f"Use one of {', '.join(WINDOWS)}.", param="completion_window"
        )
    metadata = body.get("metadata")
    if metadata is not None:
        good = (
            isinstance(metadata, dict)
            and len(metadata) <= MOST_METADATA
            and all(isinstance(value, str) for value in metadata.values())
        )
        if not good:
            raise GradepointError(
                "bad_request", "'metadata' must map 16 names to strings.", param="metadata"
            )
    return file_id, endpoint, window, metadata


def _page(request: Request, rows: list[dict[str, Any]]) -> Response:
    """Return a page of a list, newest first, in the API's cursor form."""
    rows.sort(key=lambda row: (row["created_at"], row["id"]), reverse=True)
    after = request.query.get("after")
    if after:
        names = [row["id"] for row in rows]
        rows = rows[names.index(after) + 1 :] if after in names else []
    wanted = request.query.get("limit", str(PAGE_DEFAULT))
    if not wanted.isdigit() or not 1 <= int(wanted) <= 10000:
        raise GradepointError("bad_request", "'limit' must be a positive number.", param="limit")
    limit = min(int(wanted), PAGE_MOST)
    shown = rows[:limit]
    return json_response(
        {
            "object": "list",
            "data": shown,
            "first_id": shown[0]["id"] if shown else None,
            "last_id": shown[-1]["id"] if shown else None,
            "has_more": len(rows) > limit,
        },
        headers=OK,
    )


async def _chain(first: bytes, rest: AsyncIterator[bytes]) -> AsyncIterator[bytes]:
    yield first
    async for piece in rest:
        yield piece

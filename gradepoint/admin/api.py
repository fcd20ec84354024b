"""The administration API.

Operators read, check and apply the configuration, and query the state of the fleet, the audit
records and the batch jobs.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import msgspec
from result import Err

from .. import events
from ..batch.records import JOBS_PREFIX, JobRecord, JobState, key_of_job
from ..batch.repository import Repository
from ..batch.views import job_to_api
from ..config.access import Authenticator, bearer_key
from ..config.check import check_document
from ..config.diff import compare
from ..config.document import OperatorRole
from ..config.keys import key_matches, key_owner
from ..config.versions import apply_document, read_audits, read_current
from ..errors import GradepointError, KvError, KvUnreadable
from ..fleet.messages import StatusAnswer
from ..kv.records import decode_records
from ..kv.unreadable import UnreadableRows
from ..telemetry import metrics
from ..telemetry.logs import emit
from ..util import decoding
from ..util.clock import wall_seconds
from ..util.numbers import read_whole_number
from ..wire.http_server import HttpServer, ServerLimits
from ..wire.http_types import Response, error_response, json_response
from ..wire.listening import open_port
from ..wire.pages import answer_common_page

if TYPE_CHECKING:
    from ..config.check import Problem
    from ..config.document import Document, Operator
    from ..fleet.control import ControlNode
    from ..wire.http_types import Request

MAX_DOCUMENT_BYTES = 4 << 20
"""Maximum bytes of an applied file. The size of the compressed record is limited separately."""

MAX_LISTED_JOBS = 1000
"""Maximum number of jobs in a listing."""
MAX_COUNTED_JOBS = 50
"""Maximum number of running jobs whose progress a listing reads, as each job needs a range query
for its chunks."""


class AdminApi:
    """HTTP server for the administration API of one control program."""

    def __init__(self, control: ControlNode) -> None:
        self.control = control
        self.unreadable = UnreadableRows()
        self.keys = Authenticator(control.config)
        limits = ServerLimits(max_body_bytes=MAX_DOCUMENT_BYTES)
        self.server = HttpServer(self.handle, limits)

    async def start(self) -> None:
        """Start listening on the control port."""
        settings = self.control.settings
        await open_port(
            "administration",
            f"{settings.address}:{settings.control_port}",
            lambda: self.server.start(settings.address, settings.control_port),
        )

    async def handle(self, request: Request) -> Response:
        """Answer one request; also serves the health and metrics pages."""
        page = await answer_common_page(request, lambda: self.control.ready)
        if page is not None:
            return page
        try:
            return await self._route(request)
        except GradepointError as error:
            metrics.shared().refusals.add(1, {"reason": error.code})
            return error_response(error)
        except KvUnreadable as error:
            return error_response(GradepointError("record_unreadable", f"{error}."))
        except KvError as error:
            return error_response(GradepointError("service_unavailable", str(error)))

    async def _route(self, request: Request) -> Response:
        match (request.method, request.path):
            case ("POST", "/admin/config"):
                return await self._apply(request)
            case ("POST", "/admin/check"):
                return await self._check(request)
            case ("GET", "/admin/config"):
                self.keys.operator(request.headers, OperatorRole.READ)
                return self._config()
            case ("GET", "/admin/status"):
                self.keys.operator(request.headers, OperatorRole.READ)
                return json_response(await self.status())
            case ("GET", "/admin/audit"):
                self.keys.operator(request.headers, OperatorRole.READ)
                return await self._audit()
            case ("GET", "/admin/jobs"):
                self.keys.operator(request.headers, OperatorRole.READ)
                return await self._jobs()
        raise GradepointError("not_found", f"There is no {request.method} {request.path!r}.")

    def _config(self) -> Response:
        record = self.control.config.record
        assert record is not None
        return json_response(
            {
                "version": record.version,
                "applied_by": record.applied_by,
                "applied_at": record.applied_at,
                "document": msgspec.to_builtins(record.document),
            }
        )

    async def _check(self, request: Request) -> Response:
        self.keys.operator(request.headers, OperatorRole.READ)
        checked = check_document(await request.read_body())
        if isinstance(checked, Err):
            return _invalid(checked.err_value)
        record = self.control.config.record
        differences = compare(record.document if record else None, checked.ok_value)
        return json_response(
            {
                "valid": True,
                "version": self.control.config.version,
                "differences": [row.render() for row in differences],
            }
        )

    async def _apply(self, request: Request) -> Response:
        raw = await request.read_body()
        checked = check_document(raw)
        if isinstance(checked, Err):
            self._authorise_invalid(request)
            return _invalid(checked.err_value)
        document = checked.ok_value
        operator = await self._authorise(request, document)
        wanted = request.query.get("base")
        base = None if wanted is None else read_whole_number(wanted)
        if wanted is not None and base is None:
            raise GradepointError("bad_request", "'base' must be a version number.", param="base")
        try:
            applied = await apply_document(
                self.control.kv,
                document,
                operator.name,
                base,
                request.query.get("note", "")[:500],
            )
        except GradepointError as error:
            if error.code == "config_conflict":
                emit(events.CONFIG_CONFLICT, operator=operator.name)
            raise
        if applied.changed:
            emit(events.CONFIG_APPLIED, version=applied.version, operator=operator.name)
        try:
            record, _ = await read_current(self.control.kv)
        except KvError as error:
            # The version is applied; this host gets it as all others do.
            emit(events.CONFIG_NOT_READ, version=applied.version, reason=str(error))
        else:
            if record is not None:
                self.control.apply_config_record(record)
        return json_response({"version": applied.version, "changed": applied.changed})

    def _authorise_invalid(self, request: Request) -> None:
        """Require the apply role before the problems of an invalid document are returned."""
        if self.control.ready:
            self.keys.operator(request.headers, OperatorRole.APPLY)

    async def _authorise(self, request: Request, document: Document) -> Operator:
        """Return the operator that applies *document*.

        Before the first version there is no configuration that names operators. The key must then
        have the apply role in *document* itself.
        """
        if self.control.ready:
            return self.keys.operator(request.headers, OperatorRole.APPLY)
        record, _ = await read_current(self.control.kv)
        if record is not None:
            self.control.apply_config_record(record)
            return self.keys.operator(request.headers, OperatorRole.APPLY)
        key = bearer_key(request.headers)
        for operator in document.operators:
            if operator.name == key_owner(key) and operator.role is OperatorRole.APPLY:
                if key_matches(key, operator.keys, wall_seconds()):
                    return operator
        raise GradepointError("unauthenticated", "The document does not grant this key apply.")

    async def status(self) -> dict[str, Any]:
        """Return the version in force, the state of each host and the members of the fleet."""
        rows: list[dict[str, Any]] = []
        version = self.control.config.version
        for answer in await self.control.fleet_status():
            if isinstance(answer, StatusAnswer):
                row = msgspec.structs.asdict(answer)
                row.pop("v", None)
                row["behind"] = _explain_behind(answer, version)
                rows.append(row)
            else:
                rows.append({"host": answer, "behind": "does not answer"})
        members = [
            {
                "host": member.host,
                "state": member.state.value,
                "failure_domain": member.failure_domain,
            }
            for member in self.control.membership.all_members()
        ]
        return {"version": version, "hosts": rows, "members": members}

    async def _audit(self) -> Response:
        audits = await read_audits(self.control.kv, self.unreadable)
        return json_response({"audit": [msgspec.to_builtins(row) for row in audits]})

    async def _jobs(self) -> Response:
        found = await self.control.kv.range(JOBS_PREFIX, limit=MAX_LISTED_JOBS)
        rows = decode_records(found.items, JobRecord, self.unreadable, key_of_job)
        jobs = [job for _, job in rows]
        repository = Repository(self.control.kv)
        running = [job for job in jobs if job.state is JobState.IN_PROGRESS][:MAX_COUNTED_JOBS]
        counted = await asyncio.gather(*(repository.with_current_counts(job) for job in running))
        progress = {job.job_id: job for job in counted}
        jobs = [progress.get(job.job_id, job) for job in jobs]
        return json_response(
            {"jobs": [job_to_api(job) | {"organisation": job.organisation} for job in jobs]}
        )


def _explain_behind(answer: StatusAnswer, version: int) -> str:
    """Return why a host does not have *version* in force; empty if it does."""
    if answer.config_version >= version:
        return ""
    outdated = [name for name, known in answer.programs.items() if known < version]
    if outdated:
        return f"its {', '.join(outdated)} has not taken version {version} yet"
    return f"its control has not heard of version {version} yet"


def _invalid(problems: list[Problem]) -> Response:
    """Return the error response for an invalid document, with all problems."""
    rows = [{"path": row.path, "message": row.message, "remedy": row.remedy} for row in problems]
    error = GradepointError("config_invalid", f"{len(problems)} problems.")
    response = error_response(error)
    body = decoding.decode_json(response.body)
    body["problems"] = rows
    response.body = msgspec.json.encode(body)
    return response

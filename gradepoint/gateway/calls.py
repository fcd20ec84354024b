"""Entry point of callers' requests.

Authenticates the caller, finds the route and passes the request to the live-call path or to the job
API. Refuses requests that neither of them may get.
"""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import TYPE_CHECKING

from .. import events
from ..errors import GradepointError
from ..jobs.api import SUBMISSION_COPIES
from ..telemetry.logs import emit
from ..util.clock import monotonic
from ..util.structs import Struct
from .answers import refuse
from .configuration import RouteKind
from .live import LiveCall, create_call

if TYPE_CHECKING:
    from ..jobs.api import JobApi
    from ..jobs.calls import JobDialect
    from ..wire.http_types import Request, Response
    from .admission_gate import AdmissionGate
    from .callers import CallerCheck
    from .dialect import Dialect
    from .followers import ActiveConfiguration
    from .forwarding import Forwarder
    from .organisations import Organisation
    from .quota_gate import QuotaGate
    from .refusals import RecentRefusals
    from .share_limits import ShareLimits
    from .stall import StallDetector

STARTUP_WAIT_S = 0.15
"""Seconds after the start in which calls wait for the first read of the store; a read takes a
fraction of this. Later calls are refused at once while the host isn't ready."""
NOT_READY_RETRY_S = 0.25
"""``Retry-After`` in seconds from a host that has no configuration yet: the time of a few reads of
the store."""

NO_ROOM = "no_room"
"""Code of refusals for lack of room, and beyond an organisation's fair share."""


class CallRouter(Struct):
    """Answers callers' requests.

    :param callers: finds the calling organisation and the route.
    :param quotas: enforces the call quotas of organisations.
    :param refusals: counts refusals by reason and organisation.
    :param share_limits: learns of calls that are refused for lack of room.
    :param first_read: set once every view of the store has been read.
    :param stall_detector: makes calls wait for fresh data after the process was paused.
    :param admission: admits calls of routes with a latency goal; None admits all.
    :ivar started_at: monotonic time at which this host began to listen.
    :ivar refuses_from: monotonic time from which calls are refused because the process is about to
        stop.
    """

    dialect: Dialect
    job_dialect: JobDialect
    configuration: ActiveConfiguration
    callers: CallerCheck
    quotas: QuotaGate
    refusals: RecentRefusals
    share_limits: ShareLimits
    forwarder: Forwarder
    jobs: JobApi
    first_read: asyncio.Event
    stall_detector: StallDetector
    admission: AdmissionGate | None = None
    started_at: float = float("-inf")
    refuses_from: float = float("inf")

    async def answer(self, request: Request) -> Response:
        """Answer a caller; every :class:`GradepointError` becomes an error response."""
        try:
            request.body_copies = self._count_copies(request)
            body = await request.read_body()
            return await self._route(request, body)
        except GradepointError as error:
            emit(
                events.CALL_REFUSED,
                request=self.dialect.read_call(request.raw_headers).request_id,
                path=request.path,
                code=error.code,
                status=error.kind.status,
                reason=error.message,
                key=error.suspect_key,
            )
            return refuse(error)

    def _count_copies(self, request: Request) -> int:
        """Return how many copies of a body its request holds at once."""
        current = self.configuration.current
        if current is None or request.method != "POST":
            return 1
        path = request.target.partition("?")[0]
        route = current.find_route(request.headers.get("host", ""), path)
        return SUBMISSION_COPIES if route and route.kind is RouteKind.BATCH else 1

    async def _route(self, request: Request, body: bytes) -> Response:
        await self._wait_for_first_read()
        await self.stall_detector.wait()
        if self.configuration.current is None:
            raise GradepointError("not_ready", retry_after=NOT_READY_RETRY_S)
        head = self.dialect.read_call(request.raw_headers)
        job_call = self.job_dialect.read_job_call(request)
        if job_call is not None:
            organisation = await self.callers.find_caller(head)
            return await self.jobs.answer(job_call, organisation.name if organisation else None)
        route = await self.callers.find_route(head, request.target.partition("?")[0])
        organisation = await self.callers.find_caller(head, public=route.public)
        key = head.key
        if self.callers.in_force.organisations is not None:
            head = self.dialect.set_caller(head, organisation.name if organisation else None)
        if route.kind is RouteKind.BATCH and request.method == "POST":
            return await self.jobs.submit(route, head, body)
        if monotonic() >= self.refuses_from:
            raise GradepointError("host_stopping")
        call = create_call(self.forwarder, route, head, request, body)
        call.organisation = organisation
        if route.goal_s > 0:
            call.gate = self.admission
        if organisation is not None:
            name = organisation.name
            call.is_still_authorised = lambda: self.callers.is_still_authorised(key, name)
        try:
            if organisation is None:
                return await call.answer()
            return await self._answer_within_quota(call, organisation)
        except GradepointError as error:
            if not call.may_have_run:
                self._record_refusal(call, organisation, error)
            raise

    def _record_refusal(
        self, call: LiveCall, organisation: Organisation | None, error: GradepointError
    ) -> None:
        self.refusals.record(error.code, organisation.name if organisation else None)
        if error.code == NO_ROOM:
            self.share_limits.record_refusal(
                organisation.number if organisation else None, call.service
            )

    async def _answer_within_quota(self, call: LiveCall, organisation: Organisation) -> Response:
        """Answer a call of an organisation and count it against the organisation's quota.

        A failed call that no target can have run is refunded, and so is one whose caller leaves
        while it waits for room.
        """
        self.quotas.admit(organisation, call.head.request_id, call.remaining_s)
        try:
            return await call.answer()
        except GradepointError:
            if not call.may_have_run:
                self.quotas.take_back(organisation)
            raise
        except asyncio.CancelledError:
            if not call.tried:
                self.quotas.take_back(organisation)
            raise

    async def _wait_for_first_read(self) -> None:
        """Delay a call that arrives right after the start until routes and targets are known.

        The first read completes 20 to 40 ms after the host accepts connections. Without the delay,
        callers that arrive in between are refused and lose one of their few retries.
        """
        if self.first_read.is_set():
            return
        left_s = self.started_at + STARTUP_WAIT_S - monotonic()
        if left_s > 0:
            with suppress(TimeoutError):
                async with asyncio.timeout(left_s):
                    await self.first_read.wait()

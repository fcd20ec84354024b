"""Decodes the operator's configuration, a JSON document in the platform's store."""

from __future__ import annotations

from typing import Annotated, Any

import msgspec

from .. import events
from ..errors import DecodingError
from ..gateway.configuration import (
    CallerLimits,
    Configuration,
    Route,
    RouteKind,
    Service,
    Share,
)
from ..gateway.organisations import Organisation, Organisations, digest_key
from ..ids import ConfigVersion, OrganisationName, ServiceName
from ..routing.quotas import Quota
from ..telemetry.logs import emit
from ..util import decoding

CONFIG_KEY = "op/config"
OPERATOR_PREFIX = "op/"

ROUTE_KINDS = {
    "safe": RouteKind.REPEATABLE,
    "unsafe": RouteKind.SINGLE,
    "streaming": RouteKind.STREAM,
    "batch": RouteKind.BATCH,
}
"""Platform names of route kinds. An unknown kind counts as :attr:`RouteKind.SINGLE`, whose calls
may not be repeated."""

MAX_WHOLE_NUMBER = (1 << 53) - 1
"""Messages between hosts have integers of 64 bits, and JSON readers keep 53 of them."""
MAX_TIME = 1e12
"""Longest time in milliseconds, about 30 years. Sums and products of such times stay finite."""
MAX_HEADER_BYTES = 1 << 20
"""Largest limit of a request's head, whose memory is reserved only once it has been read."""
MAX_RATE = 1e12
"""Calls a second above which a rate is no limit."""

WholeNumber = Annotated[int, msgspec.Meta(ge=0, le=MAX_WHOLE_NUMBER)]
Integer = Annotated[int, msgspec.Meta(ge=-MAX_WHOLE_NUMBER, le=MAX_WHOLE_NUMBER)]
Time = Annotated[float, msgspec.Meta(ge=0, le=MAX_TIME)]
Weight = Annotated[float, msgspec.Meta(ge=0, le=MAX_WHOLE_NUMBER)]


class _Split(msgspec.Struct):
    service: str
    weight: Weight = 1.0


class _Route(msgspec.Struct):
    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: Time
    goal_ms: Time = 0.0
    priority: Integer = 0
    service: str | None = None
    traffic_split: list[_Split] = []
    max_attempts: Integer = 1
    resumable: bool = False
    gap_goal_ms: Time = 0.0
    due_ms: Time = 0.0
    retention_s: Time = 0.0
    # Tokens (not requests) of one organisation that may wait on the route.
    max_queued_tokens: WholeNumber = 0
    public: bool = False


class _Engine(msgspec.Struct):
    slot_count: WholeNumber = 0


class _Service(msgspec.Struct):
    name: str
    max_conns: Integer = 0
    engine: _Engine | None = None


class _Limits(msgspec.Struct):
    header_bytes: Annotated[int, msgspec.Meta(ge=0, le=MAX_HEADER_BYTES)]
    body_bytes: WholeNumber
    header_timeout_ms: Time
    idle_timeout_ms: Time


class _Tenant(msgspec.Struct):
    name: str
    api_keys: list[str] = []
    rate_per_s: float = 0.0
    burst_size: float = 0.0
    # Any type, since an invalid priority must not make the organisation's keys unknown.
    priority: Any = None


class _Configuration(msgspec.Struct):
    version: WholeNumber
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits
    # Decoded one by one, so that an invalid entry does not invalidate the others.
    tenants: list[msgspec.Raw] | None = None


def decode_configuration(raw: bytes) -> Configuration:
    """Decode a configuration document.

    :raises DecodingError: *raw* is not a valid configuration.
    """
    document = decoding.decode_json(raw, _Configuration)
    limits = document.limits
    return Configuration(
        version=ConfigVersion(document.version),
        routes=tuple(_read_route(route) for route in document.routes),
        services={ServiceName(row.name): _read_service(row) for row in document.services},
        limits=CallerLimits(
            header_bytes=limits.header_bytes,
            body_bytes=limits.body_bytes,
            header_timeout_s=limits.header_timeout_ms / 1000,
            idle_timeout_s=limits.idle_timeout_ms / 1000,
        ),
        organisations=_read_organisations(document.tenants),
    )


def _read_organisations(rows: list[msgspec.Raw] | None) -> Organisations | None:
    """Return the organisations that may call; None if the configuration has no list of them."""
    if rows is None:
        return None
    read = (_read_organisation(row, index) for index, row in enumerate(rows))
    return Organisations(tuple(row for row in read if row is not None))


def _read_organisation(raw: msgspec.Raw, index: int) -> Organisation | None:
    try:
        row = decoding.decode_json(raw, _Tenant)
    except DecodingError as error:
        emit(events.ORGANISATION_UNREADABLE, index=index, reason=str(error))
        return None
    limited = row.rate_per_s > 0
    rate = min(MAX_RATE, row.rate_per_s)
    priority = row.priority
    return Organisation(
        name=OrganisationName(row.name),
        keys=tuple(digest_key(key.encode()) for key in row.api_keys if key),
        quota=Quota(rate, min(MAX_RATE, max(0.0, row.burst_size))) if limited else None,
        priority=min(MAX_WHOLE_NUMBER, max(0, priority)) if type(priority) is int else None,
    )


def _read_route(route: _Route) -> Route:
    """Return one route.

    :raises DecodingError: no service of the route can get a call.
    """
    shares: tuple[Share, ...]
    if route.service is not None:
        shares = (Share(ServiceName(route.service), 1.0),)
    else:
        shares = tuple(Share(ServiceName(s.service), s.weight) for s in route.traffic_split)
        # A single service gets all calls, whatever its weight.
        if not shares or (len(shares) > 1 and not any(share.weight for share in shares)):
            raise DecodingError(f"route {route.name!r} has no service with a weight")
    return Route(
        name=route.name,
        host=route.host,
        path_prefix=route.path_prefix,
        kind=ROUTE_KINDS.get(route.kind, RouteKind.SINGLE),
        timeout_s=route.timeout_ms / 1000,
        goal_s=route.goal_ms / 1000,
        priority=route.priority,
        shares=shares,
        max_attempts=max(1, route.max_attempts),
        resumable=route.resumable,
        event_gap_s=route.gap_goal_ms / 1000,
        due_s=route.due_ms / 1000,
        retention_s=route.retention_s,
        max_waiting_tokens=route.max_queued_tokens,
        public=route.public,
    )


def _read_service(service: _Service) -> Service:
    slots = service.engine.slot_count if service.engine else 0
    return Service(ServiceName(service.name), service.max_conns, slots)

"""Data model of the configuration: routes, services, limits, and the lookup of routes."""

from __future__ import annotations

from collections import defaultdict
from enum import Enum
from functools import cached_property
from typing import TYPE_CHECKING

from ..ids import ConfigVersion, ServiceName
from ..util.structs import Struct

if TYPE_CHECKING:
    import random

    from .organisations import Organisations

NO_VERSION = ConfigVersion(0)


class RouteKind(Enum):
    """Whether calls of a route may run more than once, and the form of its answers.

    REPEATABLE calls may run more than once; SINGLE calls are never repeated. STREAM answers are
    event streams, which are repeated only if resumable. BATCH routes take batch jobs.
    """

    REPEATABLE = "repeatable"
    SINGLE = "single"
    STREAM = "stream"
    BATCH = "batch"


class Share(Struct, frozen=True):
    """One service of a route's traffic split.

    :param weight: share of the traffic, relative to the other weights.
    """

    service: ServiceName
    weight: float


class Route(Struct, frozen=True):
    """One route.

    :param host: value of the Host header, without a port.
    :param path_prefix: begins and ends with a slash.
    :param timeout_s: maximum seconds until a call gets its final answer.
    :param goal_s: latency goal in seconds; an answer within it earns full credit.
    :param priority: 0 is the most urgent.
    :param shares: services of the route with their weights.
    :param max_attempts: maximum number of targets to which one call is sent.
    :param resumable: whether a stream can be resumed at another target after its last complete
        event.
    :param event_gap_s: maximum pause in seconds between events of an answer that counts as in time.
    :param due_s: seconds after which the results of a batch job are due.
    :param retention_s: seconds after which a batch item may be given up.
    :param max_waiting_tokens: limit on the waiting tokens of one organisation on all hosts, or of
        all callers if there are no organisations; 0 sets no limit.
    :param public: whether callers need no key.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    timeout_s: float
    goal_s: float
    priority: int
    shares: tuple[Share, ...]
    max_attempts: int
    resumable: bool = False
    event_gap_s: float = 0.0
    due_s: float = 0.0
    retention_s: float = 0.0
    max_waiting_tokens: int = 0
    public: bool = False

    @property
    def repeatable(self) -> bool:
        """Whether a call may run more than once."""
        if self.kind is RouteKind.STREAM:
            return self.resumable
        return self.kind in (RouteKind.REPEATABLE, RouteKind.BATCH)

    @property
    def services(self) -> list[ServiceName]:
        """The services that may get calls of the route."""
        return [share.service for share in self.shares]

    def pick_service(self, rng: random.Random) -> ServiceName:
        """Return a service by the weights of the split."""
        if len(self.shares) == 1:
            return self.shares[0].service
        weights = [share.weight for share in self.shares]
        return rng.choices(self.shares, weights)[0].service


class Service(Struct, frozen=True):
    """One service.

    :param max_connections: maximum number of connections that one target accepts in total.
    :param slots: requests that a target works on at once; 0 if unknown.
    """

    name: ServiceName
    max_connections: int
    slots: int = 0


class CallerLimits(Struct, frozen=True):
    """Maximum sizes in bytes of a request, and timeouts in seconds of callers' connections."""

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


class Configuration(Struct, frozen=True):
    """One complete version of the configuration.

    :param organisations: organisations that may call; None if anybody may call without a key.
    """

    version: ConfigVersion
    routes: tuple[Route, ...]
    services: dict[ServiceName, Service]
    limits: CallerLimits
    organisations: Organisations | None = None

    @cached_property
    def by_host(self) -> dict[str, list[Route]]:
        """Routes by lower-case host, longest path prefix first."""
        by_host: dict[str, list[Route]] = defaultdict(list)
        for route in sorted(self.routes, key=lambda route: -len(route.path_prefix)):
            by_host[route.host.lower()].append(route)
        return dict(by_host)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of *host* with the longest prefix of *path*, or None.

        :param host: value of the Host header, with or without a port.
        """
        name = host.partition(":")[0].strip().lower()
        for route in self.by_host.get(name, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def find_route_by_name(self, name: str) -> Route | None:
        """Return the route called *name*, or None."""
        return next((route for route in self.routes if route.name == name), None)

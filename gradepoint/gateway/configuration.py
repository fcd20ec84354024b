"""The configuration in force: routes, services and limits, and how a route is found."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from ..ids import ConfigVersion, ServiceName

if TYPE_CHECKING:
    import random

    from .organisations import Organisations

NO_VERSION = ConfigVersion(0)


class RouteKind(Enum):
    """What may be repeated on a route, and what its answers look like."""

    REPEATABLE = "repeatable"
    SINGLE = "single"
    STREAM = "stream"
    BATCH = "batch"


@dataclass(frozen=True)
class Share:
    """One service of a route's traffic split.

    :param weight: share of the traffic, relative to the other weights.
    """

    service: ServiceName
    weight: float


@dataclass(frozen=True)
class Route:
    """One route.

    :param path_prefix: begins and ends with a slash.
    :param timeout_s: seconds after which a call gets its final answer.
    :param goal_s: seconds within which an answer earns full credit.
    :param priority: 0 is the most urgent.
    :param max_attempts: targets to which one call may be sent.
    :param resumable: a stream may go on at another target after its last whole event.
    :param event_gap_s: longest pause between events that keeps an answer in time.
    :param due_s: seconds after which a batch job's results are due.
    :param retention_s: seconds after which an item may be given up.
    :param max_waiting_tokens: tokens of one organisation, or of all callers where there are none,
        that may wait over all hosts; 0 sets no limit.
    :param public: callers need no key.
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

    def pick_service(self, rng: random.Random) -> ServiceName:
        """Return a service by the weights of the split."""
        if len(self.shares) == 1:
            return self.shares[0].service
        weights = [share.weight for share in self.shares]
        return rng.choices(self.shares, weights)[0].service


@dataclass(frozen=True)
class Service:
    """One service.

    :param slots: requests that a target works on at once; 0 where it does not say.
    :param max_connections: connections that one target takes from all callers together.
    """

    name: ServiceName
    max_connections: int
    slots: int = 0


@dataclass(frozen=True)
class CallerLimits:
    """What a caller may send, and how long it may take or rest."""

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


@dataclass(frozen=True)
class Configuration:
    """One version of the configuration, whole.

    :param organisations: who may call; None where everybody may, without a key.
    """

    version: ConfigVersion
    routes: tuple[Route, ...]
    services: dict[ServiceName, Service]
    limits: CallerLimits
    organisations: Organisations | None = None
    by_host: dict[str, list[Route]] = field(init=False, repr=False, compare=False)

    def __post_init__(self) -> None:
        by_host: dict[str, list[Route]] = defaultdict(list)
        for route in sorted(self.routes, key=lambda route: -len(route.path_prefix)):
            by_host[route.host.lower()].append(route)
        object.__setattr__(self, "by_host", dict(by_host))

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the host's route whose prefix begins *path* and is the longest.

        :param host: value of the Host header, with or without a port.
        """
        name = host.partition(":")[0].strip().lower()
        for route in self.by_host.get(name, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def find_route_by_name(self, name: str) -> Route | None:
        """Return the route called *name*."""
        return next((route for route in self.routes if route.name == name), None)

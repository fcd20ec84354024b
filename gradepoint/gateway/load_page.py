"""The operators' page with the load of targets, services and organisations, as one gateway sees
it."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

import msgspec

from ..wire.http_types import JSON_TYPE, Response

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from ..ids import OrganisationNumber, ServiceName, TargetId
    from .app import Gateway
    from .organisations import Organisations
    from .refusals import RecentRefusals
    from .targets import Target


class TargetLoadsView(Protocol):
    """What the page reads of the target model."""

    def pace(self, target_id: TargetId) -> float:
        """Return a target's speed relative to its service's median."""

    def expected_delay_s(self, target: Target) -> float:
        """Return the seconds until a new call would begin there."""

    def count_room(self, service: ServiceName) -> float:
        """Return the calls that the service's targets could take now."""

    def occupancy(self, service: ServiceName) -> float:
        """Return the service's calls in flight per slot."""

    def age_s(self) -> float:
        """Return the seconds since the newest digest; infinite without one."""


class ListedLoad(msgspec.Struct, frozen=True):
    """One target as this gateway sees it.

    :param pace: believed speed; 1.0 is usual or not measured.
    :param expected_delay_s: seconds until a new call would begin there.
    :param calls: calls in flight over all hosts.
    :param items: batch items in flight over all hosts.
    """

    target: str
    service: str
    slots: int
    pace: float
    expected_delay_s: float
    calls: int
    items: int


class ServiceLoad(msgspec.Struct, frozen=True):
    """One service as this gateway sees it.

    :param room: calls that its targets could take now.
    :param occupancy: calls in flight per slot.
    :param waiting: calls that wait at this gateway for a target.
    """

    service: str
    room: float
    occupancy: float
    waiting: int


class ListedRefusals(msgspec.Struct, frozen=True):
    """Number of refusals of this gateway in the last ten seconds."""

    reason: str
    organisation: str
    count: int


class ListedShare(msgspec.Struct, frozen=True):
    """An organisation above its fair share, and the percentage of its new calls admitted."""

    organisation: str
    percent: int


class LoadPage(msgspec.Struct, frozen=True):
    """Content of the page.

    :param age_s: age of what is known of other hosts, in seconds; None without a digest.
    """

    age_s: float | None
    in_shortage: bool
    targets: list[ListedLoad]
    services: list[ServiceLoad]
    refusals: list[ListedRefusals]
    shares: list[ListedShare]


@dataclass(frozen=True)
class LoadSources:
    """Functions from which the page is read.

    :param loads: the target model.
    :param list_targets: returns the listed targets.
    :param count_calls: returns the calls in flight at a target over all hosts.
    :param count_items: returns the batch items in flight there over all hosts.
    :param count_waiting: returns the calls that wait at this gateway, by service.
    :param find_shares: returns the shares of limited organisations.
    :param find_organisations: returns the configured organisations.
    :param check_shortage: whether a host refused calls for lack of room lately.
    """

    loads: TargetLoadsView
    list_targets: Callable[[], Iterable[Target]]
    count_calls: Callable[[Target], int]
    count_items: Callable[[Target], int]
    count_waiting: Callable[[], Mapping[ServiceName, int]]
    refusals: RecentRefusals
    find_shares: Callable[[], Mapping[OrganisationNumber, int]]
    find_organisations: Callable[[], Organisations | None]
    check_shortage: Callable[[], bool]


def collect_sources(gateway: Gateway) -> LoadSources:
    """Return the sources of a gateway's page."""
    loads = gateway.loads

    def find_organisations() -> Organisations | None:
        current = gateway.configuration.current
        return current.organisations if current else None

    return LoadSources(
        loads,
        gateway.targets.by_id.values,
        lambda target: loads.find_load(target).calls,
        lambda target: loads.find_load(target).items,
        lambda: Counter(gateway.admission.waiting.values()),
        gateway.refusals,
        gateway.occupancy.find_shares,
        find_organisations,
        gateway.share_limits.check_shortage,
    )


def answer_load(sources: LoadSources) -> Response:
    """Return the page."""
    targets = sorted(sources.list_targets(), key=lambda target: target.name)
    page = LoadPage(
        round(sources.loads.age_s(), 3),
        sources.check_shortage(),
        [_make_target_row(sources, target) for target in targets],
        _make_service_rows(sources, targets),
        [
            ListedRefusals(reason, organisation, count)
            for (reason, organisation), count in sources.refusals.count_recent().most_common()
        ],
        _make_share_rows(sources),
    )
    # An infinite age or delay is encoded as null.
    return Response(200, {"content-type": JSON_TYPE}, msgspec.json.encode(page))


def _make_target_row(sources: LoadSources, target: Target) -> ListedLoad:
    return ListedLoad(
        target.name,
        target.listed.service,
        target.listed.slots,
        round(sources.loads.pace(target.id), 2),
        round(sources.loads.expected_delay_s(target), 3),
        sources.count_calls(target),
        sources.count_items(target),
    )


def _make_service_rows(sources: LoadSources, targets: Iterable[Target]) -> list[ServiceLoad]:
    waiting = sources.count_waiting()
    return [
        ServiceLoad(
            service,
            round(sources.loads.count_room(service), 1),
            round(sources.loads.occupancy(service), 2),
            waiting.get(service, 0),
        )
        for service in sorted({target.listed.service for target in targets})
    ]


def _make_share_rows(sources: LoadSources) -> list[ListedShare]:
    organisations = sources.find_organisations()
    known = {} if organisations is None else organisations.by_number
    rows = [
        ListedShare(known[number].name if number in known else f"{number:08x}", percent)
        for number, percent in sources.find_shares().items()
    ]
    return sorted(rows, key=lambda row: row.percent)

"""The operators' page with the quotas of organisations, as one gateway sees them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from ..util.clock import monotonic
from ..wire.http_types import JSON_TYPE, Response

if TYPE_CHECKING:
    from collections.abc import Iterator

    from .organisations import Organisation
    from .quota_gate import QuotaGate

PAGE = "/quotas"


class ListedQuota(msgspec.Struct, frozen=True):
    """One organisation as this gateway sees it.

    :param calls_per_s: rate of its quota.
    :param burst: calls that it may make at once beyond the rate.
    :param granted: calls that this gateway granted recently and other hosts may not know of yet.
    :param usual_per_s: average rate of the gateway's own grants over about ten seconds.
    :param room: remaining calls over all hosts, as reported; None if far below the limit.
    """

    organisation: str
    calls_per_s: float
    burst: float
    granted: int
    usual_per_s: float
    room: float | None


class QuotaPage(msgspec.Struct, frozen=True):
    """Content of the page.

    :param version: version of the configuration that the quotas belong to.
    :param blind: the gateway has no valid room reports and therefore grants few calls.
    """

    version: int
    blind: bool
    organisations: list[ListedQuota]


def answer_quotas(gate: QuotaGate, name: str) -> Response:
    """Return the page for one organisation, or for all that called this gateway.

    :param name: the organisation; empty for all.
    """
    found = [_make_row(gate, row) for row in _find_organisations(gate, name)]
    blind = not gate.host.find_valid_room_reports(monotonic())
    page = QuotaPage(gate.version, blind, found)
    return Response(200, {"content-type": JSON_TYPE}, msgspec.json.encode(page))


def _find_organisations(gate: QuotaGate, name: str) -> Iterator[Organisation]:
    current = gate.configuration.current
    if current is None or current.organisations is None:
        return
    for row in current.organisations.listed:
        if row.quota is not None and (
            row.name == name or (not name and row.number in gate.host.own)
        ):
            yield row


def _make_row(gate: QuotaGate, row: Organisation) -> ListedQuota:
    now = monotonic()
    own = gate.host.own.get(row.number)
    room = gate.find_room_near_limit(row.number)
    assert row.quota is not None
    return ListedQuota(
        row.name,
        row.quota.calls_per_s,
        row.quota.burst,
        0 if own is None else len(own.times),
        0.0 if own is None else round(own.average_rate.read(now), 2),
        None if room is None else round(room, 1),
    )

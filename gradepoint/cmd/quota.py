"""``gradepoint quota``: use of the organisations' quotas, as known to one gateway."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from .render import print_json

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..admin.client import AdminAnswer


def show_quotas(
    ask: Callable[[str, str], AdminAnswer], organisation: str, *, as_json: bool
) -> bool:
    """Print the quotas of organisations and return whether there are any.

    :param ask: sends a request with a method and a path to a gateway.
    :param organisation: name of an organisation; empty for all that have sent calls.
    :param as_json: whether to print JSON.
    """
    body = ask("GET", f"/quotas?organisation={organisation}").body
    if as_json:
        print_json(body)
    else:
        if body["blind"]:
            print("This gateway receives nothing from other hosts and grants few calls.")
        for row in body["organisations"]:
            print(_render(row))
    return bool(body["organisations"])


def _render(row: dict[str, Any]) -> str:
    room = "far below its limit" if row["room"] is None else f"room for {row['room']:g} calls"
    limit = f"{row['calls_per_s']:g} a second and {row['burst']:g} at once"
    return f"{row['organisation']}: {limit}; {room}; {row['usual_per_s']:g} a second here"

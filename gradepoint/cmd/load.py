"""``gradepoint load``: load of targets, services and organisations, as known to one gateway."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from .render import print_json

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..admin.client import AdminAnswer


def show_load(ask: Callable[[str, str], AdminAnswer], *, as_json: bool) -> None:
    """Print the load as one gateway sees it.

    :param ask: sends a request with a method and a path to a gateway.
    :param as_json: whether to print JSON.
    """
    body = ask("GET", "/load").body
    if as_json:
        print_json(body)
        return
    if body["age_s"] is None:
        print("This gateway receives nothing from other hosts.")
    else:
        print(f"Known of other hosts {body['age_s']:g} s ago.")
    print("There is a shortage." if body["in_shortage"] else "There is no shortage.")
    for row in body["services"]:
        print(
            f"service {row['service']}: room for {row['room']:g} calls, "
            f"occupancy {row['occupancy']:g}, {row['waiting']} waiting here"
        )
    for row in body["targets"]:
        print(_render_target(row))
    for row in body["refusals"]:
        print(f"refused in 10 s: {row['count']} {row['reason']}, {row['organisation']}")
    for row in body["shares"]:
        print(f"above its share: {row['organisation']}, {row['percent']}% of its calls admitted")


def _render_target(row: dict[str, Any]) -> str:
    delay = row["expected_delay_s"]
    delay_text = "unknown delay" if delay is None else f"delay {delay:g} s"
    return (
        f"target {row['target']}: pace {row['pace']:g}, {delay_text}, "
        f"{row['calls']} calls and {row['items']} items in {row['slots']} slots"
    )

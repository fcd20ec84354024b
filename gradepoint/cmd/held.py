"""``gradepoint held``: requests that a gateway suspects or holds back."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, Any

from .render import print_json

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..admin.client import AdminAnswer


def show_held(ask: Callable[[str, str], AdminAnswer], *, as_json: bool) -> None:
    """Print what is suspected or held back.

    :param ask: sends method and path to a gateway.
    """
    body = ask("GET", "/held").body
    if as_json:
        print_json(body)
        return
    for row in body["requests"]:
        print(_render(row))


def let_go(ask: Callable[[str, str], AdminAnswer], key: str) -> bool:
    """Have a request served again like any other; return whether it was held against."""
    answer = ask("DELETE", f"/held/{key}")
    if not answer.good:
        print(f"{key}: not let go, the gateway answered {answer.status}", file=sys.stderr)
    return answer.good


def _render(row: dict[str, Any]) -> str:
    ended = ", ".join(row["ended"])
    asked = f"{row['method']} {row['host']}{row['path']}".strip() or "(request not told)"
    return f"{row['key']} {row['standing']:>9} {asked} ended: {ended}"

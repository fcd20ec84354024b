"""``gradepoint held``: requests and parts of prompts suspected of crashing targets or held back for
it."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, Any

from .render import print_json

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..admin.client import AdminAnswer


def show_held(ask: Callable[[str, str], AdminAnswer], *, as_json: bool) -> None:
    """Print the requests and parts of prompts that a gateway suspects or holds back.

    :param ask: sends a request with a method and a path to a gateway.
    :param as_json: whether to print JSON.
    """
    body = ask("GET", "/held").body
    if as_json:
        print_json(body)
        return
    for row in body["requests"]:
        print(_render(row))


def release_held(ask: Callable[[str, str], AdminAnswer], key: str) -> bool:
    """Release a request or a part of prompts, so that it is served normally again.

    :param ask: sends a request with a method and a path to a gateway.
    :param key: key of the request or part.
    :returns: whether the gateway knew it as suspected or held back.
    """
    answer = ask("DELETE", f"/held/{key}")
    if not answer.good:
        print(f"{key}: not released, the gateway answered {answer.status}", file=sys.stderr)
    return answer.good


def _render(row: dict[str, Any]) -> str:
    ended = ", ".join(row["ended"])
    request = f"{row['method']} {row['host']}{row['path']}".strip() or "(request unknown)"
    if row.get("part"):
        request = f"prompts with part {row['part']}, such as {request}"
    return f"{row['key']} {row['standing']:>9} {request} ended: {ended}"

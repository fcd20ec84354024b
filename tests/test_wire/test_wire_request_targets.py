"""Targets of requests that are no URL."""

from __future__ import annotations

import pytest

from gradepoint.wire.http_types import Request


@pytest.mark.parametrize("target", ["//[", "//[::1/x", "http://[/x", "//a[b]/c"])
def test_target_that_is_no_url_has_a_path_and_a_query(target: str) -> None:
    """ValueError ended the connection without an answer, and was logged as a fault."""

    async def body() -> None:
        """Return no body."""

    request = Request("GET", f"{target}?a=1", {}, body, 0)  # type: ignore[arg-type]
    assert request.path == target
    assert request.query == {"a": "1"}

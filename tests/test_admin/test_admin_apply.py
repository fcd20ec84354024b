"""Tests of what an operator is told of an apply whose surroundings fail."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import Any

import pytest

from gradepoint.admin import api
from gradepoint.admin.api import AdminApi
from gradepoint.admin.client import AdminAnswer, AdminClient, AdminUnreachable
from gradepoint.config.versions import ApplyResult
from gradepoint.errors import KvUnavailable
from gradepoint.standins.virtual_time import run_virtual

DOCUMENT: Any = SimpleNamespace()


class ScriptedClient(AdminClient):
    """Gives the next of its answers to each call; None is an unreachable server."""

    def __init__(self, *answers: AdminAnswer | None) -> None:
        super().__init__("http://127.0.0.1:1", "key")
        self.answers = list(answers)

    async def call(self, *_: Any, **__: Any) -> AdminAnswer:
        """Return the next answer; the last one is repeated."""
        answer = self.answers.pop(0) if len(self.answers) > 1 else self.answers[0]
        if answer is None:
            raise AdminUnreachable("gone")
        return answer


def status(*versions: int) -> AdminAnswer:
    """Return a status with one host of each of *versions*."""
    rows = [
        {"host": f"h{number}", "config_version": version} for number, version in enumerate(versions)
    ]
    return AdminAnswer(200, {"hosts": rows})


@pytest.mark.parametrize(
    "failure", [None, AdminAnswer(503, {"error": {}}), AdminAnswer(200, {"hosts": []})]
)
def test_wait_for_a_version_does_not_end_with_an_answer_that_tells_no_host(
    failure: AdminAnswer | None,
) -> None:
    async def main() -> None:
        assert await ScriptedClient(failure, status(1, 2), status(2, 2)).wait_in_force(2, 5.0) == []
        assert await ScriptedClient(failure).wait_in_force(2, 1.0) == ["(not asked)"]
        assert await ScriptedClient(status(2, 1), failure).wait_in_force(2, 1.0) == ["h1"]

    run_virtual(main())


def test_applied_version_that_cannot_be_read_back_is_answered_as_applied(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def apply_document(*_: Any) -> ApplyResult:
        return ApplyResult(7, True)

    async def read_current(_: Any) -> Any:
        raise KvUnavailable("no answer")

    async def authorise(*_: Any) -> Any:
        return SimpleNamespace(name="ops")

    async def read_body() -> bytes:
        return b"{}"

    monkeypatch.setattr(api, "apply_document", apply_document)
    monkeypatch.setattr(api, "read_current", read_current)
    monkeypatch.setattr(api, "check_document", lambda _: SimpleNamespace(ok_value=DOCUMENT))
    monkeypatch.setattr(AdminApi, "_authorise", authorise)
    control: Any = SimpleNamespace(kv=None, config=None)
    request: Any = SimpleNamespace(
        method="POST", path="/admin/config", query={}, read_body=read_body, headers={}
    )
    answer = asyncio.run(AdminApi(control)._route(request))
    assert (answer.status, answer.body) == (200, b'{"version":7,"changed":true}')

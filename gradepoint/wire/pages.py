"""HTTP paths that every program serves: health, readiness and metrics."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..errors import GradepointError
from ..telemetry import metrics
from .http_types import Response, json_response

if TYPE_CHECKING:
    from collections.abc import Callable

    from .http_types import Request


async def answer_common_page(request: Request, ready: Callable[[], bool]) -> Response | None:
    """Answer ``/healthz``, ``/readyz`` and ``/metrics``; return None for other paths.

    :param ready: whether the program can serve requests now.
    :raises GradepointError: ``not_ready``, for ``/readyz``.
    """
    path = request.path
    if path == "/healthz":
        return json_response({"status": "ok"})
    if path == "/readyz":
        if not ready():
            raise GradepointError("not_ready")
        return json_response({"status": "ready"})
    if path == "/metrics":
        return Response(200, {"content-type": "text/plain; version=0.0.4"}, await metrics.render())
    return None

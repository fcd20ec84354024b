"""Responses that the gateway creates itself, without a target."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..telemetry import metrics
from ..wire.http_types import Response, error_body, json_response

if TYPE_CHECKING:
    from ..errors import GradepointError


def refuse(error: GradepointError) -> Response:
    """Count a refusal and return its response; ``Retry-After`` may be a fraction of a second."""
    metrics.shared().refusals.add(1, {"reason": error.code})
    headers = {}
    if error.retry_after is not None:
        headers["retry-after"] = f"{error.retry_after:g}"
    return json_response(error_body(error), error.kind.status, headers)

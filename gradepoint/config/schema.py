"""The JSON Schema of the configuration document."""

from __future__ import annotations

from functools import cache
from typing import Any

import msgspec

from .document import Document


@cache
def document_schema() -> dict[str, Any]:
    """Return the schema used by editors and by :mod:`gradepoint.config.check`."""
    schema = msgspec.json.schema(Document)
    schema["$schema"] = "https://json-schema.org/draft/2020-12/schema"
    schema["title"] = "gradepoint configuration"
    return schema

"""Rows of the key-value service that cannot be used, because another writer has written them."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

from .. import events
from ..telemetry import metrics
from ..telemetry.logs import emit
from ..util.structs import Struct, field
from ..util.tasks import locate_error

if TYPE_CHECKING:
    from collections.abc import Collection, Iterator

    from ..events import Event

MAX_NAMED_ROWS = 100
"""Most rows that are named in the log; further ones are only counted."""


class UnreadableRows(Struct):
    """Names each row that cannot be used once in the log, however often it is read.

    :ivar reasons: why the row of a key cannot be used.
    """

    reasons: dict[str, str] = field(default_factory=dict)

    def note(self, event: Event, key: str, reason: str, **fields: str) -> None:
        """Count a row that cannot be used, and log it unless the log names it already."""
        metrics.shared().unreadable_rows.add(1, {"kind": event.name})
        if self.reasons.get(key) == reason:
            return
        if key in self.reasons or len(self.reasons) < MAX_NAMED_ROWS:
            self.reasons[key] = reason
            emit(event, key=key, reason=reason, **fields)

    def clear(self, key: str) -> None:
        """Forget a row that has been replaced or deleted."""
        self.reasons.pop(key, None)

    def clear_all_but(self, keys: Collection[str]) -> None:
        """Forget all rows except for those of *keys*."""
        self.reasons = {key: reason for key, reason in self.reasons.items() if key in keys}

    @contextmanager
    def isolate(self, key: str) -> Iterator[None]:
        """Log an exception that the row of *key* raises, so that the other rows are still read."""
        try:
            yield
        except Exception as error:
            self.note(events.ROW_FAILED, key, repr(error), where=locate_error(error))

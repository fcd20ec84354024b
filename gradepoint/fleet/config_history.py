"""Recent configuration versions, kept so that a host can send its peers deltas."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..config.delta import DocumentDelta, apply_delta, make_delta
from ..config.versions import ConfigRecord
from .messages import ConfigAnswer, RecordHead

if TYPE_CHECKING:
    from ..wire.rpc import Message

VERSIONS_KEPT = 4
"""Versions for which a delta can be made; a peer with an older one gets the whole record."""


class ConfigHistory:
    """Recent configuration records by version, with a cache of the deltas between them.

    :ivar deltas: deltas by (base version, current version); emptied when a version is added.
    """

    def __init__(self) -> None:
        self.records: dict[int, ConfigRecord] = {}
        self.deltas: dict[tuple[int, int], DocumentDelta] = {}

    def add(self, record: ConfigRecord) -> None:
        """Add a record that came into force; the oldest beyond the limit is dropped."""
        self.records[record.version] = record
        self.deltas.clear()
        while len(self.records) > VERSIONS_KEPT:
            del self.records[min(self.records)]

    def answer(self, current: ConfigRecord | None, have: int) -> ConfigAnswer:
        """Return the answer to a peer that has version *have*.

        It is a delta if that version is kept here and older than *current*, else *current* itself.
        """
        old = self.records.get(have)
        if current is None or old is None or have >= current.version:
            return ConfigAnswer(current)
        key = (have, current.version)
        if key not in self.deltas:
            self.deltas[key] = make_delta(have, old.document, current.document)
        head = RecordHead(current.version, current.writer, current.applied_by, current.applied_at)
        return ConfigAnswer(None, head, self.deltas[key])

    def extract_record(self, current: ConfigRecord | None, answer: Message) -> ConfigRecord | None:
        """Return the record that a peer's answer carries, with its delta applied to *current*.

        None is returned if the answer has no record, or if its delta does not apply to *current*.
        """
        if not isinstance(answer, ConfigAnswer):
            return None
        head, delta = answer.head, answer.delta
        if head is None or delta is None:
            return answer.record
        if current is None or current.version != delta.base:
            return None
        document = apply_delta(current.document, delta)
        if document is None:
            return None
        return ConfigRecord(head.version, document, head.writer, head.applied_by, head.applied_at)

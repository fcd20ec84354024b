"""HTTP headers of callers' requests and targets' responses on the platform."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from ..gateway.dialect import AnswerHead, CallHead
from ..ids import PromptPart, RequestId
from ..util.numbers import MAX_WIRE_NUMBER, read_whole_number

if TYPE_CHECKING:
    from ..gateway.dialect import RawHeaders
    from ..ids import OrganisationName, TargetName
    from ..wire.http_client import ClientResponse

ATTEMPT_ID = b"x-attempt-id"
TIME_LEFT_MS = b"x-time-left-ms"
LAST_EVENT_ID = b"last-event-id"
RESUMED_ATTEMPT_ID = b"resumes"
EXPECTED_INSTANCE = b"x-target-instance"
API_KEY = b"x-credential"
CREDENTIALS = (API_KEY, b"authorization")
ORGANISATION = b"x-tenant"
PROMPT_PARTS = b"x-prompt-prefix"
MAX_PROMPT_PARTS = 32
"""Parts of a prompt that are read; the table of suspects is bounded by them."""
TOKEN_COUNTS = b"x-token-counts"
MAX_EXTRA_EVENTS = 16
"""Events of an answer beyond its tokens, of which an event holds one or several."""
NOT_RUN = "x-not-run"
WAIT_MS = "x-wait-ms"
MISDIRECTED_STATUS = 421

HOP_BY_HOP_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    )
)
"""Hop-by-hop headers, which are not forwarded. The body length is set for each connection."""
REWRITTEN_HEADERS = frozenset((TIME_LEFT_MS, EXPECTED_INSTANCE, LAST_EVENT_ID))
"""End-to-end headers that are not forwarded as received: each call to a target gets new values."""


class PlatformDialect:
    """Implements :class:`~gradepoint.gateway.dialect.Dialect` for the platform."""

    def read_call(self, headers: RawHeaders) -> CallHead:
        """See :meth:`Dialect.read_call`."""
        values = dict(headers)
        resumed = values.get(RESUMED_ATTEMPT_ID, b"").strip()
        return CallHead(
            request_id=RequestId(values.get(ATTEMPT_ID, b"").decode("latin-1")),
            host=values.get(b"host", b"").decode("latin-1"),
            remaining_s=_read_seconds(values.get(TIME_LEFT_MS)),
            resume_after=_read_number(values.get(LAST_EVENT_ID)),
            forwarded_headers=[
                row for row in _end_to_end(headers) if row[0] not in REWRITTEN_HEADERS
            ],
            caller=b"\x00".join(values.get(name, b"") for name in CREDENTIALS),
            key=values.get(API_KEY, b"").strip(),
            resumed_request=RequestId(resumed.decode("latin-1")) if resumed else None,
            prompt_parts=self.read_prompt_parts(headers) if PROMPT_PARTS in values else (),
            max_events=self.read_max_events(headers),
        )

    def read_prompt_parts(self, headers: RawHeaders) -> tuple[PromptPart, ...]:
        """See :meth:`Dialect.read_prompt_parts`.

        The last part of a prompt belongs to the call or its session alone, and is left out.
        """
        value = b",".join(value for name, value in headers if name == PROMPT_PARTS)
        names = [
            row.partition(":")[0].strip().lower() for row in value.decode("latin-1").split(",")
        ]
        shared = dict.fromkeys(name for name in names[:-1] if name)
        return tuple(PromptPart(name) for name in shared)[:MAX_PROMPT_PARTS]

    def read_max_events(self, headers: RawHeaders) -> int | None:
        """See :meth:`Dialect.read_max_events`."""
        counts = next((value for name, value in headers if name == TOKEN_COUNTS), b"")
        most = read_whole_number(counts.partition(b",")[2].strip())
        return most + MAX_EXTRA_EVENTS if most else None

    def set_caller(self, head: CallHead, organisation: OrganisationName | None) -> CallHead:
        """See :meth:`Dialect.set_caller`."""
        return msgspec.structs.replace(
            head,
            forwarded_headers=[
                row for row in head.forwarded_headers if not _identifies_caller(row, head.key)
            ],
            caller=(organisation or "").encode(),
            key=b"",
            organisation=organisation,
        )

    def write_call(
        self, head: CallHead, target: TargetName, remaining_s: float, resume_after: int | None
    ) -> list[tuple[str, str]]:
        """See :meth:`Dialect.write_call`."""
        fields = [
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in head.forwarded_headers
        ]
        present = {name for name, _ in head.forwarded_headers}
        if b"host" not in present:
            fields.insert(0, ("host", head.host))
        if ATTEMPT_ID not in present and head.request_id:
            fields.append((ATTEMPT_ID.decode(), head.request_id))
        fields.append((TIME_LEFT_MS.decode(), str(max(1, int(remaining_s * 1000)))))
        fields.append((EXPECTED_INSTANCE.decode(), target))
        if head.organisation is not None:
            fields.append((ORGANISATION.decode(), head.organisation))
        if resume_after is not None:
            fields.append((LAST_EVENT_ID.decode(), str(resume_after)))
        return fields

    def read_answer(self, response: ClientResponse) -> AnswerHead:
        """See :meth:`Dialect.read_answer`."""
        echoed = response.headers.get(ATTEMPT_ID.decode())
        return AnswerHead(
            status=response.status,
            not_run=NOT_RUN in response.headers,
            other_instance=response.status == MISDIRECTED_STATUS,
            request_id=RequestId(echoed) if echoed is not None else None,
            forwarded_headers=_end_to_end(response.raw_headers),
        )


def _identifies_caller(row: tuple[bytes, bytes], key: bytes) -> bool:
    """Whether a header names the caller's organisation or carries its key.

    Underscores count as hyphens, since a target may treat both spellings alike.
    """
    name, value = row
    normalised = name.replace(b"_", b"-")
    return normalised in (ORGANISATION, API_KEY) or bool(key and key in value)


def _end_to_end(headers: RawHeaders) -> RawHeaders:
    """Return *headers* without hop-by-hop headers and those that ``Connection`` lists."""
    listed_in_connection: set[bytes] = set()
    for name, value in headers:
        if name == b"connection":
            listed_in_connection.update(part.strip().lower() for part in value.split(b","))
    return [
        row
        for row in headers
        if row[0] not in HOP_BY_HOP_HEADERS and row[0] not in listed_in_connection
    ]


def _read_seconds(value: bytes | None) -> float | None:
    number = _read_number(value)
    # The largest numbers that a text can write have no floating-point number.
    return None if number is None else min(number, MAX_WIRE_NUMBER) / 1000


def _read_number(value: bytes | None) -> int | None:
    return None if value is None else read_whole_number(value.strip())

"""Interface to the platform's HTTP headers, as callers and targets use them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from ..util.structs import Struct

if TYPE_CHECKING:
    from ..ids import OrganisationName, PromptPart, RequestId, TargetName
    from ..wire.http_client import ClientResponse

RawHeaders = list[tuple[bytes, bytes]]


class CallHead(Struct, frozen=True):
    """Decoded headers of a caller's request.

    :param request_id: the caller's ID of this call, empty if it sent none.
    :param host: value of the Host header.
    :param remaining_s: seconds that the caller still waits; None if it doesn't say.
    :param resume_after: number of the last event that the caller has; None for a new call.
    :param forwarded_headers: headers that are forwarded to the target unchanged.
    :param caller: credentials of the caller; empty if it sent none.
    :param key: API key that may identify its organisation; empty if it sent none.
    :param organisation: the calling organisation, as this host determined it from the key.
    :param resumed_request: ID of the earlier call that brought the first event of the stream which
        this call resumes; None if the caller names none.
    :param prompt_parts: parts of its prompt that other calls may share.
    :param max_events: most events that an answer may have; None if the caller doesn't say.
    """

    request_id: RequestId
    host: str
    remaining_s: float | None
    resume_after: int | None
    forwarded_headers: RawHeaders
    caller: bytes = b""
    key: bytes = b""
    organisation: OrganisationName | None = None
    resumed_request: RequestId | None = None
    prompt_parts: tuple[PromptPart, ...] = ()
    max_events: int | None = None


class AnswerHead(Struct, frozen=True):
    """Decoded status and headers of a target's answer.

    :param not_run: the target states that it did not run the call.
    :param other_instance: another target has this address now; the call was not run.
    :param request_id: request ID that the target echoes, None if it echoes none.
    :param forwarded_headers: headers that are forwarded to the caller unchanged.
    """

    status: int
    not_run: bool
    other_instance: bool
    request_id: RequestId | None
    forwarded_headers: RawHeaders


class Dialect(Protocol):
    """Decodes and encodes the headers of calls and answers."""

    def read_call(self, headers: RawHeaders) -> CallHead:
        """Decode a caller's headers."""

    def read_prompt_parts(self, headers: RawHeaders) -> tuple[PromptPart, ...]:
        """Return the parts of a prompt that other calls may share, from the headers of a call or
        batch item."""

    def read_max_events(self, headers: RawHeaders) -> int | None:
        """Return the most events that an answer may have, from the headers of a call or batch item;
        None if they don't say."""

    def set_caller(self, head: CallHead, organisation: OrganisationName | None) -> CallHead:
        """Set the organisation of a call, if the configuration has organisations.

        Removes the organisation that the caller claims, and its key in any header, so that targets
        get neither.

        :param organisation: the authenticated organisation; None for a caller without a key on a
            public route.
        """

    def write_call(
        self, head: CallHead, target: TargetName, remaining_s: float, resume_after: int | None
    ) -> list[tuple[str, str]]:
        """Return the headers of a call to *target*.

        :param remaining_s: seconds that are left for the answer.
        :param resume_after: number of the last event that the caller has; None for a new call.
        """

    def read_answer(self, response: ClientResponse) -> AnswerHead:
        """Decode the head of a target's answer."""

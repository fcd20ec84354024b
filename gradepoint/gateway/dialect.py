"""Port to what callers and targets speak: which headers carry what."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from ..ids import OrganisationName, RequestId, TargetName
    from ..wire.http_client import ClientResponse

RawHeaders = list[tuple[bytes, bytes]]


@dataclass(frozen=True)
class CallHead:
    """What a caller's headers say.

    :param request_id: the caller's id of this call, empty where it gave none.
    :param host: value of the Host header.
    :param remaining_s: seconds the caller still waits; None where it does not say.
    :param resume_after: number of the last event the caller has; None for a new call.
    :param passed_on: headers that the target gets as they are.
    :param caller: what the caller proves itself with; empty where it does not.
    :param key: the key that may name its organisation; empty where it has none.
    :param organisation: the organisation that calls, as this host found it by the key.
    """

    request_id: RequestId
    host: str
    remaining_s: float | None
    resume_after: int | None
    passed_on: RawHeaders
    caller: bytes = b""
    key: bytes = b""
    organisation: OrganisationName | None = None


@dataclass(frozen=True)
class AnswerHead:
    """What a target's answer says before its body.

    :param not_run: the target states that it did not run the call.
    :param other_instance: another target has this address now; the call was not run.
    :param request_id: the id that the target echoes, None where it echoes none.
    :param passed_on: headers that the caller gets as they are.
    """

    status: int
    not_run: bool
    other_instance: bool
    request_id: RequestId | None
    passed_on: RawHeaders


class Dialect(Protocol):
    """Reads and writes the headers of calls."""

    def read_call(self, headers: RawHeaders) -> CallHead:
        """Decode a caller's headers."""

    def claim_call(self, head: CallHead, organisation: OrganisationName | None) -> CallHead:
        """Return a call as it goes to targets where the configuration names organisations.

        What its caller says of its organisation, and its key wherever it stands, stay here.

        :param organisation: who calls; None for a caller without a key on a public route.
        """

    def write_call(
        self, head: CallHead, target: TargetName, remaining_s: float, resume_after: int | None
    ) -> list[tuple[str, str]]:
        """Return the headers of a call to *target*."""

    def read_answer(self, response: ClientResponse) -> AnswerHead:
        """Decode the head of a target's answer."""

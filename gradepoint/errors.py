"""The exception hierarchy and the catalogue of error codes.

Each error code has one row in :data:`CATALOGUE` with its HTTP status, category, outcome and
remedy. ``gradepoint explain CODE`` prints a row, and ``docs/reference/errors.md`` is generated
from the table. Remedies and messages are sent to callers in HTTP bodies.
"""

from __future__ import annotations

from enum import Enum

from .util.structs import Struct


class Outcome(Enum):
    """What is known about the execution of a call, as reported to its caller.

    ``COMPLETE``: the call ran and its answer is whole. ``NOT_RUN``: the call certainly did not
    run, so that sending it again is safe. ``UNKNOWN``: the call may have run.
    """

    COMPLETE = "complete"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Category(Enum):
    """Origin of an error, which tells who has to act on it.

    ``CALLER``: the request is wrong. ``LIMIT``: a limit is reached. ``TARGET``: a target failed
    or is missing. ``PLATFORM``: an external service or the host itself is unavailable.
    ``OPERATOR``: the configuration, the settings or gradepoint itself is at fault.
    """

    CALLER = "caller"
    LIMIT = "limit"
    TARGET = "target"
    PLATFORM = "platform"
    OPERATOR = "operator"


class ErrorKind(Struct, frozen=True):
    """One row of the error catalogue.

    :param code: stable identifier, sent to callers as ``error.code``.
    :param status: HTTP status code.
    :param category: who has to act.
    :param outcome: what is known about the execution of the call.
    :param retry_after: seconds to wait before a retry; None if a retry does not help.
    :param remedy: how to resolve the error, in one or two sentences.
    """

    code: str
    status: int
    category: Category
    outcome: Outcome
    retry_after: float | None
    remedy: str


_C = Category
_N = Outcome.NOT_RUN
_U = Outcome.UNKNOWN

CATALOGUE: dict[str, ErrorKind] = {
    kind.code: kind
    for kind in (
        # Requests that the caller has to change.
        ErrorKind("bad_http", 400, _C.CALLER, _N, None, "Send a well-formed HTTP/1.1 request."),
        ErrorKind("bad_json", 400, _C.CALLER, _N, None, "Send a body that is valid JSON."),
        ErrorKind("bad_request", 400, _C.CALLER, _N, None, "Correct the named field."),
        ErrorKind(
            "bad_deadline",
            400,
            _C.CALLER,
            _N,
            None,
            "Give gradepoint-deadline-ms as a positive number of milliseconds.",
        ),
        ErrorKind(
            "bad_idempotency_key",
            400,
            _C.CALLER,
            _N,
            None,
            "Give an Idempotency-Key of 1 to 255 printable characters.",
        ),
        ErrorKind(
            "bad_multipart",
            400,
            _C.CALLER,
            _N,
            None,
            "Send multipart/form-data with the parts 'purpose' and 'file'.",
        ),
        ErrorKind(
            "bad_batch_line",
            400,
            _C.CALLER,
            _N,
            None,
            "Correct the named line of the file and upload it again.",
        ),
        ErrorKind(
            "duplicate_custom_id",
            400,
            _C.CALLER,
            _N,
            None,
            "Give every line of the file a custom_id of its own.",
        ),
        ErrorKind("header_too_large", 431, _C.CALLER, _N, None, "Send fewer or shorter headers."),
        ErrorKind("body_too_large", 413, _C.CALLER, _N, None, "Send a smaller body."),
        ErrorKind("too_many_items", 413, _C.CALLER, _N, None, "Split the file into several jobs."),
        ErrorKind(
            "request_timeout",
            408,
            _C.CALLER,
            _N,
            None,
            "Send the whole request without long pauses.",
        ),
        ErrorKind(
            "unauthenticated",
            401,
            _C.CALLER,
            _N,
            None,
            "Send a valid key as 'Authorization: Bearer KEY'.",
        ),
        ErrorKind("forbidden", 403, _C.CALLER, _N, None, "Use a key whose role allows this call."),
        ErrorKind("not_found", 404, _C.CALLER, _N, None, "Check the path and the identifier."),
        ErrorKind(
            "method_not_allowed", 405, _C.CALLER, _N, None, "Use a method that the path supports."
        ),
        ErrorKind(
            "unknown_model", 404, _C.CALLER, _N, None, "Use a model listed by GET /v1/models."
        ),
        ErrorKind(
            "unknown_service", 404, _C.CALLER, _N, None, "Use a service named in the configuration."
        ),
        ErrorKind(
            "idempotency_mismatch",
            409,
            _C.CALLER,
            _N,
            None,
            "Use a new Idempotency-Key for a different request.",
        ),
        ErrorKind(
            "job_finished", 409, _C.CALLER, _N, None, "The job has ended already; read its results."
        ),
        # Limits: the caller can retry later.
        ErrorKind(
            "organisation_rate",
            429,
            _C.LIMIT,
            _N,
            1.0,
            "Slow down, or ask the operator for a higher organisation limit.",
        ),
        ErrorKind(
            "organisation_in_flight",
            429,
            _C.LIMIT,
            _N,
            1.0,
            "Wait for running calls to end, or ask for a higher limit.",
        ),
        ErrorKind(
            "model_saturated",
            429,
            _C.LIMIT,
            _N,
            1.0,
            "Come back after the given time; add targets if this lasts.",
        ),
        ErrorKind(
            "queue_deadline",
            429,
            _C.LIMIT,
            _N,
            1.0,
            "The call could not have started in time; come back or allow more time.",
        ),
        ErrorKind(
            "too_many_connections",
            503,
            _C.LIMIT,
            _N,
            1.0,
            "Reuse connections, or try another host.",
        ),
        ErrorKind(
            "host_memory",
            503,
            _C.LIMIT,
            _N,
            0.5,
            "The host has no memory left for this request; come back, or try another host.",
        ),
        ErrorKind("stopping", 503, _C.LIMIT, _N, 0.5, "This host is leaving; send the call again."),
        # Failures of targets, and answers of calls that were sent to them.
        ErrorKind(
            "no_target",
            503,
            _C.TARGET,
            _N,
            2.0,
            "No target serves this model now; check 'gradepoint status'.",
        ),
        ErrorKind(
            "no_target_of_version",
            503,
            _C.TARGET,
            _N,
            1.0,
            "No target has the software version that began this stream; come back, or send the "
            "request without Last-Event-Id.",
        ),
        ErrorKind(
            "stream_version_unknown",
            503,
            _C.TARGET,
            _N,
            1.0,
            "This host can't find out which software version began the stream; come back, or send "
            "the request without Last-Event-Id.",
        ),
        ErrorKind(
            "target_unreachable",
            503,
            _C.TARGET,
            _N,
            1.0,
            "No target could be reached; come back after the given time.",
        ),
        ErrorKind(
            "no_room",
            503,
            _C.LIMIT,
            _N,
            1.0,
            "No target can begin the call in time now; come back after the given time.",
        ),
        ErrorKind(
            "target_refused",
            503,
            _C.TARGET,
            _N,
            1.0,
            "The targets refused the call before running it; come back.",
        ),
        ErrorKind(
            "request_suspected",
            503,
            _C.TARGET,
            _N,
            1.0,
            "Targets ended while they ran this request or others with a part of its prompt; it is "
            "tried alone. Come back.",
        ),
        ErrorKind(
            "request_held",
            502,
            _C.TARGET,
            _U,
            None,
            "Do not send this request again: it has run, and ended its targets. Change it, or "
            "give its key to the operator, who can let it go.",
        ),
        ErrorKind(
            "prompt_part_held",
            502,
            _C.TARGET,
            _U,
            None,
            "Do not send prompts with this part again: they end their targets. Change it, or give "
            "its key to the operator, who can let it go.",
        ),
        ErrorKind(
            "retry_budget",
            503,
            _C.TARGET,
            _N,
            2.0,
            "Too many calls are being retried now; come back after the given time.",
        ),
        ErrorKind(
            "target_lost",
            502,
            _C.TARGET,
            _U,
            1.0,
            "The target failed after the call was sent; it may have run.",
        ),
        ErrorKind(
            "target_error",
            502,
            _C.TARGET,
            _U,
            1.0,
            "The target answered with an error; it may have run.",
        ),
        ErrorKind(
            "deadline_exceeded",
            504,
            _C.TARGET,
            _U,
            1.0,
            "The deadline passed while the call ran; allow more time.",
        ),
        ErrorKind(
            "in_progress",
            409,
            _C.TARGET,
            _U,
            1.0,
            "The same Idempotency-Key is running elsewhere; send it again later.",
        ),
        ErrorKind(
            "holder_lost",
            409,
            _C.TARGET,
            _U,
            None,
            "The host that ran this key was lost; check the effect before a new key.",
        ),
        ErrorKind(
            "answer_not_kept",
            409,
            _C.PLATFORM,
            _U,
            None,
            "The call ran but its answer was not kept; check the effect.",
        ),
        ErrorKind(
            "job_quota",
            429,
            _C.LIMIT,
            _N,
            1.0,
            "Too many tokens wait on this route; come back when some jobs have ended.",
        ),
        ErrorKind(
            "job_uncertain",
            504,
            _C.PLATFORM,
            _U,
            None,
            "The job may have been kept; send the same job again.",
        ),
        # External services, storage and the state of the host.
        ErrorKind(
            "service_unavailable",
            503,
            _C.PLATFORM,
            _N,
            5.0,
            "The key-value service is down; come back after the given time.",
        ),
        ErrorKind(
            "host_stopping",
            503,
            _C.PLATFORM,
            _N,
            0.05,
            "The host is being stopped; come back on a new connection, which reaches another one.",
        ),
        ErrorKind(
            "service_uncertain",
            503,
            _C.PLATFORM,
            _U,
            5.0,
            "The key-value service gave no answer; send the same request again.",
        ),
        ErrorKind(
            "not_ready",
            503,
            _C.PLATFORM,
            _N,
            2.0,
            "The host has no configuration yet; come back after the given time.",
        ),
        ErrorKind(
            "news_too_old",
            503,
            _C.PLATFORM,
            _N,
            0.25,
            "The host hears no news of the configuration; come back, and reach another host.",
        ),
        ErrorKind(
            "quota_unknown",
            503,
            _C.PLATFORM,
            _N,
            0.25,
            "The host hears no others, and grants few calls; come back, and reach another host.",
        ),
        ErrorKind(
            "storage_insufficient",
            503,
            _C.PLATFORM,
            _N,
            10.0,
            "Fewer than two failure domains have a live data host; start one.",
        ),
        ErrorKind(
            "storage_read",
            503,
            _C.PLATFORM,
            _N,
            5.0,
            "No good copy of the data could be read now; come back.",
        ),
        ErrorKind(
            "record_unreadable",
            503,
            _C.PLATFORM,
            _N,
            None,
            "Another writer has overwritten the stored record; the operator can restore or delete "
            "it.",
        ),
        # Errors that operators have to resolve.
        ErrorKind(
            "config_invalid",
            400,
            _C.OPERATOR,
            _N,
            None,
            "Correct every listed problem and apply the file again.",
        ),
        ErrorKind(
            "config_conflict",
            409,
            _C.OPERATOR,
            _N,
            None,
            "Read the version in force, merge, and apply on top of it.",
        ),
        ErrorKind("settings_invalid", 400, _C.OPERATOR, _N, None, "Correct the named settings."),
        ErrorKind(
            "internal",
            500,
            _C.OPERATOR,
            _U,
            None,
            "A fault in gradepoint; report it with the request id.",
        ),
    )
}


class GradepointError(Exception):
    """Base class of errors that are reported with a code of :data:`CATALOGUE`.

    :param code: a code of :data:`CATALOGUE`.
    :param message: what happened, in one sentence; defaults to the remedy of the code.
    :param param: name of the invalid field, if there is one.
    :param retry_after: seconds; overrides the value of the catalogue.
    :param outcome: overrides the outcome of the catalogue.
    :param suspect_key: key of a request, or of a part of its prompt, that is suspected of crashing
        targets or held back for it; operators release it by this key.
    """

    def __init__(
        self,
        code: str,
        message: str = "",
        *,
        param: str | None = None,
        retry_after: float | None = None,
        outcome: Outcome | None = None,
        suspect_key: str | None = None,
    ) -> None:
        self.kind = CATALOGUE[code]
        self.suspect_key = suspect_key
        self.message = message or self.kind.remedy
        self.param = param
        self.retry_after = retry_after if retry_after is not None else self.kind.retry_after
        self.outcome = outcome or self.kind.outcome
        super().__init__(f"{code}: {self.message} Remedy: {self.kind.remedy}")

    @property
    def code(self) -> str:
        """The error code, a key of :data:`CATALOGUE`."""
        return self.kind.code


class DecodingError(Exception):
    """Bytes from outside cannot be decoded, or not as the type that is expected."""


class NestedTooDeeply(DecodingError):
    """Bytes from outside are nested more deeply than any value that is accepted."""


class KvError(Exception):
    """Base class of the failures of the key-value service."""


class KvUnavailable(KvError):
    """The service could not be reached, so the operation did not take effect."""


class KvOverRate(KvUnavailable):
    """The service refused a call since all hosts together exceed its rate; it had no effect.

    The service answers, so that this is no outage, and another host's call counts against the same
    rate.
    """


class KvTooLarge(KvUnavailable):
    """A list has more bytes than this program may take; the service answers other calls."""


class KvRejected(KvError):
    """The service refused a call that it will refuse again; the call did not take effect.

    :param reason: why the call was refused, as far as the service says it.
    :param key: the key that exceeds a limit; else the key with the largest value of the call.
    :param size: size of that key or its value in bytes, or the number of entries.
    :param limit: the largest *size* that is accepted; None if the service does not name it.
    """

    def __init__(self, reason: str, key: str, size: int, limit: int | None = None) -> None:
        self.reason = reason
        self.key = key
        self.size = size
        self.limit = limit
        bound = "" if limit is None else f", limit {limit}"
        super().__init__(f"{reason}: {key} ({size}{bound})")

    @property
    def log_fields(self) -> dict[str, str | int | None]:
        """Fields of a log line about the refusal."""
        return {"reason": self.reason, "key": self.key, "size": self.size, "limit": self.limit}


class KvLeaseLapsed(KvError):
    """A write referred to an expired or revoked lease and did not take effect."""


class KvHistoryLost(KvError):
    """A watch cannot continue because the service has compacted the history that it needs.

    The prefix has to be read again as a whole.
    """


class KvUnreadable(KvError):
    """The value of a key cannot be decoded; the values of other keys stay valid."""


class KvUncertain(KvError):
    """No answer arrived; the operation may have taken effect or may still do so."""


class TargetFailure(Exception):
    """An attempt at a target that ended without a complete answer.

    :param code: error code of :data:`CATALOGUE` for the failure.
    :param not_run: True only if no byte of the request can have reached the target, or if the
        target itself reported that it did not run the request.
    :param retry_after: seconds after which the target asks for a retry, if it does.
    """

    def __init__(
        self, code: str, message: str, *, not_run: bool, retry_after: float | None = None
    ) -> None:
        self.code = code
        self.message = message
        self.not_run = not_run
        self.retry_after = retry_after
        super().__init__(f"{code}: {message}")


class StoreError(Exception):
    """A bulk object could not be written to or read from a data store."""

"""Finds the software version that began a stream which a caller resumes."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from .. import events
from ..errors import GradepointError
from ..ids import RequestId
from ..routing.stream_versions import make_stream_key, make_stream_request
from ..telemetry import metrics
from ..telemetry.logs import emit
from ..util.clock import monotonic
from ..util.hashing import new_token
from ..util.structs import Struct

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..ids import ServiceName, SoftwareVersion, StreamRequest
    from ..peers.stream_versions import StreamVersions
    from .dialect import CallHead
    from .identity import RequestIdentity
    from .refresh import SharedRefresh
    from .targets import TargetSet
    from .version_history import VersionHistory

RETRY_AFTER_S = 0.05
"""``Retry-After`` in seconds of a call whose stream has an unknown version. Another host may know
it."""
DEFAULT_LIFETIME_S = 60.0
"""Seconds for which a stream may be resumed by a caller that does not tell how long it waits."""
LIFETIME_MARGIN_S = 1.0
"""Seconds added to the time that a caller waits, for the way of its last attempt."""


class OriginSource(Enum):
    """How the version that began a stream was found.

    ``RECORD``: from the records of this host or others. ``ONLY_VERSION``: the service has had
    targets of one version only, as this host has seen since the stream may have begun, or as the
    key-value service tells a host that has just started. ``UNKNOWN``: not at all.
    """

    RECORD = "record"
    ONLY_VERSION = "only-version"
    UNKNOWN = "unknown"


class StreamOrigins(Struct):
    """Knows which software version began each stream that may be resumed.

    :param history: versions that services have had, by the key-value service.
    :param refresh: reads the list of targets again.
    :param proven_at: returns the monotonic time up to which the list is known to be complete.
    """

    versions: StreamVersions
    history: VersionHistory
    targets: TargetSet
    refresh: SharedRefresh
    proven_at: Callable[[], float]

    def record(
        self,
        head: CallHead,
        request: RequestIdentity,
        version: SoftwareVersion,
        remaining_s: float | None,
    ) -> None:
        """Record the version that begins a stream, before the caller gets the first event.

        :param remaining_s: seconds that the caller still waits; None if it doesn't say.
        """
        lifetime_s = DEFAULT_LIFETIME_S if remaining_s is None else max(0.0, remaining_s)
        # Streams of calls without an id must not replace each other's records.
        call = head.request_id or RequestId(new_token())
        self.versions.record(
            hash_request(request),
            make_stream_key(call),
            version,
            lifetime_s + LIFETIME_MARGIN_S,
        )

    async def find_version(
        self,
        head: CallHead,
        request: RequestIdentity,
        services: list[ServiceName],
        max_age_s: float,
    ) -> SoftwareVersion:
        """Return the version that began the stream which a call resumes.

        :param services: services that may have begun it.
        :param max_age_s: seconds since which the stream may have begun.
        :raises GradepointError: ``stream_version_unknown``.
        """
        arrived_at = monotonic()
        resumed = head.resumed_request
        key = None if resumed is None else make_stream_key(resumed)
        version = await self.versions.find(hash_request(request), key)
        source = OriginSource.RECORD
        if version is None:
            version = await self._find_only_version(services, arrived_at, max_age_s)
            source = OriginSource.UNKNOWN if version is None else OriginSource.ONLY_VERSION
        metrics.shared().resumed_streams.add(1, {"source": source.value})
        emit(
            events.STREAM_TAKEN_UP,
            request=head.request_id,
            resumes=resumed,
            after_event=head.resume_after,
            version=version,
            source=source.value,
        )
        if version is None:
            raise GradepointError("stream_version_unknown", retry_after=RETRY_AFTER_S)
        return version

    async def _find_only_version(
        self, services: list[ServiceName], arrived_at: float, max_age_s: float
    ) -> SoftwareVersion | None:
        """Return the version of all targets that may have begun a stream, if they share one.

        The list of targets is read again, since a target of another version may have been added
        that only other hosts know.
        """
        since = arrived_at - max_age_s
        if self._look_up_only_version(services, since) is None:
            return None
        if self.proven_at() < arrived_at:
            await self.refresh.run_since(arrived_at)
        if self.proven_at() < arrived_at:
            return None
        return self._look_up_only_version(services, since)

    def _look_up_only_version(
        self, services: list[ServiceName], since: float
    ) -> SoftwareVersion | None:
        if self.targets.known_since > since:
            return self.history.find_only_version(services)
        return self.targets.find_only_version(services, since)


def hash_request(request: RequestIdentity) -> StreamRequest:
    """Return the hash of a request without its caller, whose credentials may change meanwhile."""
    return make_stream_request(request.host, request.method, request.path, request.body)

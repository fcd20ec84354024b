"""Sends calls to targets and reads the heads of their answers."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..util.chance import new_rng
from ..util.clock import monotonic
from ..wire.addresses import split_address
from ..wire.http_client import ConnectFailed, ConnectRefused, HttpClient, ResponseBroken
from .choice import choose_target, get_load

if TYPE_CHECKING:
    import random
    from collections.abc import Awaitable, Callable

    from ..ids import ServiceName, TargetId
    from ..wire.http_client import ClientResponse
    from .dialect import AnswerHead, CallHead, Dialect
    from .identity import RequestIdentity
    from .suspicion import Suspicion
    from .target_ends import TargetEnds
    from .targets import Target, TargetSet


LONGEST_EXPECTED_S = 2.0
"""Seconds within which rows of targets that lapsed are back, once their list is."""


class OtherInstance(Exception):
    """Another target has the address now; nothing was run."""


class TargetBusy(Exception):
    """The target states that it did not run the call."""


class TargetFailed(Exception):
    """The target's answer broke, or was no answer to this call; it may have run."""


@dataclass
class Exchange:
    """An open answer of one target."""

    target: Target
    response: ClientResponse
    head: AnswerHead
    request: RequestIdentity
    closed: bool = False

    def close(self) -> None:
        """End the exchange; a target that still works on it stops."""
        if not self.closed:
            self.closed = True
            self.target.end(self.request)
            self.response.close()


async def no_wait() -> None:
    """Wait for nothing."""


@dataclass
class Forwarder:
    """Sends calls to targets.

    :param failure_domain: that of this host.
    :param elsewhere: calls that other hosts have in flight at a target.
    :param ends: told where a connection to a target broke.
    :param suspicion: what is known of requests that were on targets that ended.
    :param look_first: returns once this host may choose targets by what it knows.
    :ivar empty_since: since when a call found no target of a service.
    """

    targets: TargetSet
    dialect: Dialect
    http: HttpClient
    failure_domain: str
    elsewhere: Callable[[TargetId], int]
    ends: TargetEnds
    suspicion: Suspicion
    rng: random.Random = field(default_factory=new_rng)
    look_first: Callable[[], Awaitable[None]] = no_wait
    empty_since: dict[ServiceName, float] = field(default_factory=dict)

    def choose(self, service: ServiceName, tried: set[TargetId]) -> Target | None:
        """Return a target for a call, or None."""
        now = monotonic()
        candidates = self.targets.candidates(service, now)
        if candidates:
            self.empty_since.pop(service, None)
        else:
            self.empty_since.setdefault(service, now)
        return choose_target(
            candidates,
            self.failure_domain,
            tried,
            self.elsewhere,
            self.rng,
            self.suspicion.find_reserved(),
        )

    def estimate_wait_s(self, service: ServiceName) -> float:
        """Return the seconds until a service without any target may have one again; 0 if it has.

        What has lasted for a while takes about as long again on average, and a caller has few
        tries to spend.
        """
        since = self.empty_since.get(service)
        return 0.0 if since is None else min(LONGEST_EXPECTED_S, monotonic() - since)

    async def send(
        self,
        target: Target,
        request: RequestIdentity,
        head: CallHead,
        remaining_s: float,
        *,
        resume_after: int | None = None,
        head_timeout_s: float | None = None,
        fresh: bool = False,
    ) -> Exchange:
        """Send a call to *target* and read the head of its answer.

        :raises ConnectFailed: nothing was sent.
        :raises OtherInstance: nothing was run.
        :raises TargetBusy: nothing was run.
        :raises TargetFailed: it may have run.
        """
        headers = self.dialect.write_call(head, target.name, remaining_s, resume_after)
        target.begin(request)
        try:
            response = await self.http.send(
                split_address(target.address),
                request.method,
                request.path,
                request.body,
                headers,
                timeout_s=head_timeout_s if head_timeout_s is not None else remaining_s,
                fresh=fresh,
            )
        except ConnectRefused:
            target.end(request)
            self.ends.note_closed(target)
            raise
        except ConnectFailed as error:
            target.end(request)
            target.record_failure(str(error), unreachable=True)
            raise
        except ResponseBroken as error:
            self.ends.note_broken(target)
            target.end(request)
            target.record_failure(str(error))
            raise TargetFailed(str(error)) from error
        except BaseException:
            target.end(request)
            raise
        exchange = Exchange(target, response, self.dialect.read_answer(response), request)
        self._check_head(exchange, head)
        return exchange

    def _check_head(self, exchange: Exchange, head: CallHead) -> None:
        answer = exchange.head
        if answer.request_id is not None and answer.request_id != head.request_id:
            exchange.close()
            exchange.target.record_failure("an answer to another call")
            raise TargetFailed("an answer to another call")
        if answer.other_instance:
            exchange.close()
            raise OtherInstance
        self.ends.note_answer(exchange.target)
        if answer.not_run and answer.status in (429, 503):
            if get_load(exchange.target, self.elsewhere) <= 1.0:
                exchange.target.record_failure("refuses calls though it has room")
            exchange.close()
            raise TargetBusy

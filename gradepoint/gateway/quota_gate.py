"""Enforcement of organisations' call quotas on this host.

The limits come from the configuration; what other hosts have granted comes in their messages.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

from .. import events
from ..errors import GradepointError
from ..routing.admission import ReturnSchedule, find_latest_return
from ..routing.quotas import MIN_RETRY_AFTER_S, Allowance, QuotaTerms, compute_allowance
from ..telemetry.logs import emit
from ..util.clock import monotonic
from ..util.structs import Struct, field
from .configuration import NO_VERSION

if TYPE_CHECKING:
    import random

    from ..ids import ConfigVersion, OrganisationNumber, RequestId
    from ..routing.host_quotas import HostQuotas, Refusal
    from .followers import ActiveConfiguration
    from .organisations import Organisation


MAX_SCHEDULES = 256
"""Organisations whose return times are kept: several times those that a host refuses at a time."""


class QuotaGate(Struct):
    """Grants or refuses calls of organisations according to their quotas.

    :param host: this host's grants, and other hosts' grants as reported to it.
    :param terms: window and tolerated excess of quotas.
    :param rng: spreads the return times of refused calls.
    :ivar allowances: cache of allowances by organisation, for configuration *version*; None stands
        for no limit.
    :ivar schedules: return times by organisation, the one refused last at the end.
    """

    configuration: ActiveConfiguration
    host: HostQuotas
    terms: QuotaTerms
    rng: random.Random
    allowances: dict[OrganisationNumber, Allowance | None] = field(default_factory=dict)
    version: ConfigVersion = NO_VERSION
    schedules: OrderedDict[OrganisationNumber, ReturnSchedule] = field(default_factory=OrderedDict)

    def find_allowance(self, number: OrganisationNumber) -> Allowance | None:
        """Return the allowance of an organisation; None if it has no limit."""
        current = self.configuration.current
        if current is None or current.organisations is None:
            return None
        if current.version != self.version:
            self.allowances.clear()
            self.version = current.version
        if number not in self.allowances:
            quota = current.organisations.find_quota(number)
            self.allowances[number] = (
                None if quota is None else compute_allowance(quota, self.terms)
            )
        return self.allowances[number]

    def find_reported_room(self, number: OrganisationNumber) -> float | None:
        """Return the smallest number of remaining calls that other hosts reported.

        None if there is no recent report or no limit.
        """
        allowance = self.find_allowance(number)
        if allowance is None:
            return None
        return self.host.find_reported_room(number, allowance, monotonic())

    def find_room_near_limit(self, number: OrganisationNumber) -> float | None:
        """Return the remaining calls of an organisation near its limit, None if far below it.

        Messages between hosts name only the organisations that are near their limits.
        """
        reports = self.host.find_valid_room_reports(monotonic())
        named = any(number in report.rooms for report in reports)
        return self.find_reported_room(number) if named else None

    def admit(self, organisation: Organisation, request_id: RequestId, remaining_s: float) -> None:
        """Grant a call and count it.

        :param remaining_s: seconds that are left for the call.
        :raises GradepointError: ``organisation_rate`` with the time until a call is possible, or
            ``quota_unknown`` if this host has no valid room report.
        """
        allowance = self.find_allowance(organisation.number)
        if allowance is None:
            return
        refused = self.host.admit(organisation.number, allowance, monotonic())
        if refused is None:
            return
        emit(
            events.QUOTA_REACHED,
            request=request_id,
            organisation=organisation.name,
            room=round(refused.room, 1),
            calls_per_s=round(allowance.calls_per_s, 2),
            blind=refused.isolated,
            version=self.version,
        )
        # Hosts that have valid room reports may still be able to grant a call that this one can't.
        code = "quota_unknown" if refused.isolated else "organisation_rate"
        return_s = self._allocate_return(organisation.number, refused, allowance, remaining_s)
        raise GradepointError(code, retry_after=round(return_s, 3))

    def _allocate_return(
        self,
        number: OrganisationNumber,
        refused: Refusal,
        allowance: Allowance,
        remaining_s: float,
    ) -> float:
        """Return the seconds after which a refused call should return.

        Each host plans its part of the rate at which room is freed. After a restart of all hosts at
        a peak, calls that all returned as soon as one call had room were refused again.
        """
        schedule = self.schedules.setdefault(number, ReturnSchedule())
        self.schedules.move_to_end(number)
        if len(self.schedules) > MAX_SCHEDULES:
            self.schedules.popitem(last=False)
        latest_s = max(MIN_RETRY_AFTER_S, find_latest_return(remaining_s))
        gap_s = max(1, self.host.count_hosts()) / allowance.calls_per_s
        return schedule.allocate(monotonic(), refused.retry_after_s, latest_s, gap_s, self.rng)

    def take_back(self, organisation: Organisation) -> None:
        """Refund a granted call that no target has run."""
        if self.find_allowance(organisation.number) is not None:
            self.host.take_back(organisation.number, monotonic())

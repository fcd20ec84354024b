"""Enforcement of organisations' call quotas on this host.

The limits come from the configuration; what other hosts have granted comes in their messages.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from .. import events
from ..errors import GradepointError
from ..routing.quotas import Allowance, QuotaTerms, compute_allowance
from ..telemetry.logs import emit
from ..util.clock import monotonic
from ..util.structs import Struct, field
from .configuration import NO_VERSION

if TYPE_CHECKING:
    from ..ids import ConfigVersion, OrganisationNumber, RequestId
    from ..routing.host_quotas import HostQuotas
    from .followers import ActiveConfiguration
    from .organisations import Organisation


class QuotaGate(Struct):
    """Grants or refuses calls of organisations according to their quotas.

    :param host: this host's grants, and other hosts' grants as reported to it.
    :param terms: window and tolerated excess of quotas.
    :ivar allowances: cache of allowances by organisation, for configuration *version*; None stands
        for no limit.
    """

    configuration: ActiveConfiguration
    host: HostQuotas
    terms: QuotaTerms
    allowances: dict[OrganisationNumber, Allowance | None] = field(default_factory=dict)
    version: ConfigVersion = NO_VERSION

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

    def admit(self, organisation: Organisation, request_id: RequestId) -> None:
        """Grant a call and count it.

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
        if refused.isolated:
            # Hosts that have valid room reports may still be able to grant the call.
            raise GradepointError("quota_unknown", retry_after=refused.retry_after_s)
        raise GradepointError("organisation_rate", retry_after=refused.retry_after_s)

    def take_back(self, organisation: Organisation) -> None:
        """Refund a granted call that no target has run."""
        if self.find_allowance(organisation.number) is not None:
            self.host.take_back(organisation.number, monotonic())

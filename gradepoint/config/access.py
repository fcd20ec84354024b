"""Who a key belongs to and what it allows."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..errors import GradepointError
from ..util.clock import wall_seconds
from .document import OperatorRole
from .keys import key_matches, key_owner

if TYPE_CHECKING:
    from .document import Operator, Organisation
    from .versions import InForce

BEARER = "bearer "


class KeyRing:
    """Checks keys against the configuration in force; right keys are remembered.

    Only the digest check is saved by remembering; the memory is dropped with each version,
    and a key's expiry is checked every time.
    """

    def __init__(self, config: InForce) -> None:
        self.config = config
        self.known: dict[str, Organisation] = {}
        self.version = 0
        self.checked_at = 0

    def organisation(self, headers: dict[str, str]) -> Organisation:
        """Return the organisation whose key the request carries.

        :raises GradepointError: ``unauthenticated`` or ``not_ready``.
        """
        _ = self.config.document
        key = bearer_key(headers)
        now = wall_seconds()
        if self.version != self.config.version or self.checked_at != now:
            self.known.clear()
            self.version = self.config.version
            self.checked_at = now
        known = self.known.get(key)
        if known is not None:
            return known
        owner = self.config.organisations.get(key_owner(key) or "")
        if owner is None or not key_matches(key, owner.keys, now):
            raise GradepointError("unauthenticated", "The key is not valid.")
        self.known[key] = owner
        return owner

    def operator(self, headers: dict[str, str], needed: OperatorRole) -> Operator:
        """Return the operator whose key the request carries.

        :raises GradepointError: ``unauthenticated``, ``forbidden`` or ``not_ready``.
        """
        key = bearer_key(headers)
        name = key_owner(key)
        for operator in self.config.document.operators:
            if operator.name == name and key_matches(key, operator.keys, wall_seconds()):
                if needed is OperatorRole.APPLY and operator.role is not OperatorRole.APPLY:
                    raise GradepointError("forbidden", f"{name!r} may only read.")
                return operator
        raise GradepointError("unauthenticated", "The key is not valid.")


def bearer_key(headers: dict[str, str]) -> str:
    """Return the key of an Authorization header.

    :raises GradepointError: ``unauthenticated``.
    """
    value = headers.get("authorization", "")
    if not value.lower().startswith(BEARER):
        raise GradepointError("unauthenticated", "The request carries no key.")
    return value[len(BEARER) :].strip()

"""Authentication of organisations and operators by API key."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..errors import GradepointError
from ..util.clock import wall_seconds
from .document import OperatorRole
from .keys import key_matches, key_owner

if TYPE_CHECKING:
    from .document import Operator, Organisation
    from .versions import ConfigInForce

BEARER = "bearer "
"""Scheme of the Authorization header, in lower case."""


class Authenticator:
    """Authenticates requests by API key against the configuration in force.

    Valid keys of organisations are cached, which saves computing the digest for every call. The
    cache is cleared with each configuration version and with each second of the wall clock, so
    that keys stop working as soon as they are removed or expire.

    :ivar verified: organisations by valid key.
    :ivar version: configuration version that *verified* belongs to.
    :ivar checked_at: Unix second that *verified* belongs to.
    """

    def __init__(self, config: ConfigInForce) -> None:
        self.config = config
        self.verified: dict[str, Organisation] = {}
        self.version = 0
        self.checked_at = 0

    def organisation(self, headers: dict[str, str]) -> Organisation:
        """Return the organisation that the key of a request belongs to.

        :raises GradepointError: ``unauthenticated`` or ``not_ready``.
        """
        _ = self.config.document
        key = bearer_key(headers)
        now = wall_seconds()
        if self.version != self.config.version or self.checked_at != now:
            self.verified.clear()
            self.version = self.config.version
            self.checked_at = now
        cached = self.verified.get(key)
        if cached is not None:
            return cached
        owner = self.config.organisations.get(key_owner(key) or "")
        if owner is None or not key_matches(key, owner.keys, now):
            raise GradepointError("unauthenticated", "The key is not valid.")
        self.verified[key] = owner
        return owner

    def operator(self, headers: dict[str, str], required: OperatorRole) -> Operator:
        """Return the operator that the key of a request belongs to.

        :param required: role that the call requires.
        :raises GradepointError: ``unauthenticated``, ``forbidden`` or ``not_ready``.
        """
        key = bearer_key(headers)
        name = key_owner(key)
        for operator in self.config.document.operators:
            if operator.name == name and key_matches(key, operator.keys, wall_seconds()):
                if required is OperatorRole.APPLY and operator.role is not OperatorRole.APPLY:
                    raise GradepointError("forbidden", f"{name!r} may only read.")
                return operator
        raise GradepointError("unauthenticated", "The key is not valid.")


def bearer_key(headers: dict[str, str]) -> str:
    """Return the key in the Authorization header.

    :raises GradepointError: ``unauthenticated``.
    """
    value = headers.get("authorization", "")
    if not value.lower().startswith(BEARER):
        raise GradepointError("unauthenticated", "The request carries no key.")
    return value[len(BEARER) :].strip()

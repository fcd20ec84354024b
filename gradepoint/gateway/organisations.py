"""Organisations of a configuration, and their lookup by API key."""

from __future__ import annotations

import hashlib
from functools import cached_property
from typing import TYPE_CHECKING

from ..ids import KeyDigest, OrganisationName, OrganisationNumber
from ..util.hashing import hash32
from ..util.structs import Struct

if TYPE_CHECKING:
    from ..routing.quotas import Quota

DIGEST_BYTES = 16
"""Bytes of a key's digest: enough that thousands of keys don't collide. A digest doesn't reveal its
key."""
FINGERPRINT_DIGITS = 8
"""Hexadecimal digits of a key's fingerprint in logs: enough to distinguish a customer's keys."""


def digest_key(key: bytes) -> KeyDigest:
    """Return the digest of a key.

    Digests are compared instead of keys, so that the duration of a comparison reveals nothing about
    a key.
    """
    return KeyDigest(hashlib.blake2b(key, digest_size=DIGEST_BYTES).digest())


def fingerprint(key: bytes) -> str:
    """Return the short form of a key's digest for logs; empty for an empty key."""
    return digest_key(key).hex()[:FINGERPRINT_DIGITS] if key else ""


class Organisation(Struct, frozen=True):
    """One organisation.

    :param keys: digests of its API keys.
    :param quota: limit on its rate of calls; None sets no limit.
    :param priority: rank of its calls in a shortage, 0 being the highest; None for that of the
        route.
    """

    name: OrganisationName
    keys: tuple[KeyDigest, ...]
    quota: Quota | None = None
    priority: int | None = None

    @property
    def number(self) -> OrganisationNumber:
        """Hash of the name, which identifies the organisation in messages between hosts."""
        return OrganisationNumber(hash32(self.name))


class Organisations(Struct, frozen=True):
    """All organisations of one configuration.

    A key that two of them have belongs to the first one listed, on all hosts.
    """

    listed: tuple[Organisation, ...]

    @cached_property
    def by_key(self) -> dict[KeyDigest, Organisation]:
        """Organisations by each of their keys."""
        by_key: dict[KeyDigest, Organisation] = {}
        for organisation in self.listed:
            for key in organisation.keys:
                by_key.setdefault(key, organisation)
        return by_key

    @cached_property
    def by_number(self) -> dict[OrganisationNumber, Organisation]:
        """Organisations by their numbers."""
        return {organisation.number: organisation for organisation in self.listed}

    def find(self, key: bytes) -> Organisation | None:
        """Return the organisation of a key; the duration doesn't depend on their number."""
        return self.by_key.get(digest_key(key)) if key else None

    def find_quota(self, number: OrganisationNumber) -> Quota | None:
        """Return an organisation's quota, None if it has none or isn't listed."""
        organisation = self.by_number.get(number)
        return None if organisation is None else organisation.quota

"""Organisations of a configuration, and how a caller's key leads to one of them."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..ids import KeyDigest, OrganisationName, OrganisationNumber
from ..util.hashing import short_number

if TYPE_CHECKING:
    from ..routing.quotas import Quota

DIGEST_BYTES = 16
"""Bytes of a key's digest: no two of some thousands of keys share it, and it does not tell them."""
FINGERPRINT_DIGITS = 8
"""Hexadecimal digits that stand for a key in logs: enough to tell a customer's keys apart."""


def digest_key(key: bytes) -> KeyDigest:
    """Return what is compared in a key's place: the time that takes tells nothing of any key."""
    return KeyDigest(hashlib.blake2b(key, digest_size=DIGEST_BYTES).digest())


def fingerprint(key: bytes) -> str:
    """Return what stands for a key in logs."""
    return digest_key(key).hex()[:FINGERPRINT_DIGITS] if key else ""


@dataclass(frozen=True)
class Organisation:
    """One organisation.

    :param keys: digests of its keys.
    :param quota: how often it may call; None sets no limit.
    """

    name: OrganisationName
    keys: tuple[KeyDigest, ...]
    quota: Quota | None = None

    @property
    def number(self) -> OrganisationNumber:
        """What stands for it between hosts."""
        return OrganisationNumber(short_number(self.name))


@dataclass(frozen=True)
class Organisations:
    """All organisations of one configuration.

    A key that stands at two of them belongs to the first, at every host.
    """

    listed: tuple[Organisation, ...]
    by_key: dict[KeyDigest, Organisation] = field(init=False, repr=False, compare=False)
    by_number: dict[OrganisationNumber, Organisation] = field(init=False, repr=False, compare=False)

    def __post_init__(self) -> None:
        by_key: dict[KeyDigest, Organisation] = {}
        for organisation in self.listed:
            for key in organisation.keys:
                by_key.setdefault(key, organisation)
        by_number = {organisation.number: organisation for organisation in self.listed}
        object.__setattr__(self, "by_key", by_key)
        object.__setattr__(self, "by_number", by_number)

    def find(self, key: bytes) -> Organisation | None:
        """Return the organisation of a key, in the same time however many there are."""
        return self.by_key.get(digest_key(key)) if key else None

    def find_quota(self, number: OrganisationNumber) -> Quota | None:
        """Return an organisation's quota, None where it has none or is not listed."""
        organisation = self.by_number.get(number)
        return None if organisation is None else organisation.quota

"""Stable hashes for object names, rendezvous hashing and short identifiers."""

from __future__ import annotations

import hashlib
import secrets
from typing import TYPE_CHECKING, TypeVar

if TYPE_CHECKING:
    from collections.abc import Iterable

T = TypeVar("T", bound=str)

HASH32_MAX = (1 << 32) - 1
"""Largest result of :func:`hash32`."""


def sha256_hex(data: bytes) -> str:
    """Return the SHA-256 of *data* in hexadecimal."""
    return hashlib.sha256(data).hexdigest()


def short_identity(*parts: str) -> str:
    """Return an identifier of 24 hexadecimal digits (96 bits) for *parts* in their order."""
    joined = "\x00".join(parts).encode()
    return hashlib.sha256(joined).hexdigest()[:24]


def score(key: str, member: str) -> int:
    """Return the 64-bit rendezvous score of *member* for *key*."""
    digest = hashlib.blake2b(f"{key}\x00{member}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def hash32(text: str) -> int:
    """Return a 32-bit hash of *text*.

    It saves bytes in messages. Use it only where a collision is harmless, because it costs no more
    than a detour to the wrong recipient.
    """
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=4).digest(), "big")


def hash64(data: bytes) -> int:
    """Return a 64-bit hash of *data*, for numbers that must not collide by chance."""
    return int.from_bytes(hashlib.blake2b(data, digest_size=8).digest(), "big")


def mix64(number: int) -> int:
    """Return a well mixed 64-bit number (the finalizer of SplitMix64, Steele et al., 2014).

    It scores numbers that are hashes already, in less than half of the time of :func:`score`.
    """
    number = ((number ^ (number >> 30)) * 0xBF58476D1CE4E5B9) & 0xFFFFFFFFFFFFFFFF
    number = ((number ^ (number >> 27)) * 0x94D049BB133111EB) & 0xFFFFFFFFFFFFFFFF
    return number ^ (number >> 31)


def rank(key: str, members: Iterable[T]) -> list[T]:
    """Return *members* by descending rendezvous score (Thaler and Ravishankar, 1998).

    Removing a member leaves the order of the others unchanged.
    """
    return sorted(members, key=lambda member: (score(key, member), member), reverse=True)


def new_token() -> str:
    """Return a random 96-bit token."""
    return secrets.token_hex(12)

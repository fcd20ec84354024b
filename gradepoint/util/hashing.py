"""Stable hashes: object names, rendezvous scores and identities."""

from __future__ import annotations

import hashlib
import secrets
from typing import TYPE_CHECKING, TypeVar

if TYPE_CHECKING:
    from collections.abc import Iterable

T = TypeVar("T", bound=str)


def sha256_hex(data: bytes) -> str:
    """Return the SHA-256 of *data* in hexadecimal."""
    return hashlib.sha256(data).hexdigest()


def short_identity(*parts: str) -> str:
    """Return 24 hexadecimal digits that identify *parts* in order."""
    joined = "\x00".join(parts).encode()
    return hashlib.sha256(joined).hexdigest()[:24]


def score(key: str, member: str) -> int:
    """Return the rendezvous score of *member* for *key* (64 bits)."""
    digest = hashlib.blake2b(f"{key}\x00{member}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def short_number(text: str) -> int:
    """Return 32 bits that stand for *text* where a rare mistake costs only a detour."""
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=4).digest(), "big")


def rank(key: str, members: Iterable[T]) -> list[T]:
    """Return *members* by falling rendezvous score (Thaler and Ravishankar, 1998)."""
    return sorted(members, key=lambda member: (score(key, member), member), reverse=True)


def new_token() -> str:
    """Return a random 96-bit token."""
    return secrets.token_hex(12)

"""Keys of callers and operators: made here, kept only as salted hashes.

A key reads ``gp.NAME.SECRET``; NAME is the organisation or operator, so that a check
looks at one entry whatever the number of organisations. The secret has 192 random
bits, hence a plain salted SHA-256 is enough: there is nothing to guess by dictionary.
"""

from __future__ import annotations

import hashlib
import hmac
import secrets
from typing import TYPE_CHECKING

from .document import KeyHash

if TYPE_CHECKING:
    from collections.abc import Iterable

SCHEME = "gp"
SECRET_BYTES = 24
SALT_BYTES = 16


def make_key(name: str) -> str:
    """Return a new key for *name*."""
    return f"{SCHEME}.{name}.{secrets.token_urlsafe(SECRET_BYTES)}"


def hash_key(key: str, salt: str | None = None, expires: int = 0) -> KeyHash:
    """Return the salted hash of *key*, as the document keeps it."""
    chosen = salt or secrets.token_hex(SALT_BYTES)
    return KeyHash(chosen, _digest(key, chosen), expires)


def key_owner(key: str) -> str | None:
    """Return the name within *key*, or None if it is not one of ours."""
    scheme, _, rest = key.partition(".")
    name, _, secret = rest.rpartition(".")
    if scheme != SCHEME or not name or not secret:
        return None
    return name


def key_matches(key: str, hashes: Iterable[KeyHash], now_s: int) -> bool:
    """Return whether *key* is one of *hashes* and has not expired."""
    for known in hashes:
        if known.expires and known.expires <= now_s:
            continue
        if hmac.compare_digest(_digest(key, known.salt), known.hash):
            return True
    return False


def _digest(key: str, salt: str) -> str:
    return hashlib.sha256(f"{salt}:{key}".encode()).hexdigest()

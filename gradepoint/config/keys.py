"""Creation and verification of API keys, which are stored only as salted hashes.

A key has the form ``gp.NAME.SECRET``. NAME is the organisation or operator, so that a check looks
at a single entry regardless of the number of organisations. The secret has 192 random bits. A
salted SHA-256 is therefore sufficient, as dictionary attacks are not possible.
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
"""First part of every key."""
SECRET_BYTES = 24
SALT_BYTES = 16


def make_key(name: str) -> str:
    """Return a new random key for an organisation or operator."""
    return f"{SCHEME}.{name}.{secrets.token_urlsafe(SECRET_BYTES)}"


def hash_key(key: str, salt: str | None = None, expires: int = 0) -> KeyHash:
    """Return the salted hash of *key* for the configuration document.

    :param salt: salt in hexadecimal; random if None.
    :param expires: Unix seconds from which the key is refused; 0 for never.
    """
    used_salt = salt or secrets.token_hex(SALT_BYTES)
    return KeyHash(used_salt, _digest(key, used_salt), expires)


def key_owner(key: str) -> str | None:
    """Return the name in *key*, or None if it does not have the form of a key."""
    scheme, _, rest = key.partition(".")
    name, _, secret = rest.rpartition(".")
    if scheme != SCHEME or not name or not secret:
        return None
    return name


def key_matches(key: str, hashes: Iterable[KeyHash], now_s: int) -> bool:
    """Return whether *key* matches one of *hashes* that has not expired.

    :param now_s: current time in Unix seconds.
    """
    for known in hashes:
        if known.expires and known.expires <= now_s:
            continue
        if hmac.compare_digest(_digest(key, known.salt), known.hash):
            return True
    return False


def _digest(key: str, salt: str) -> str:
    return hashlib.sha256(f"{salt}:{key}".encode()).hexdigest()

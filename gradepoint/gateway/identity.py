"""What makes two calls the same request: who calls, which path, which body."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from functools import cached_property
from typing import TYPE_CHECKING

from ..ids import RequestKey

if TYPE_CHECKING:
    from .dialect import CallHead

KEY_BYTES = 8
"""Bytes of a key: among the millions of requests that hosts compare, two differing ones with the
same key come up once in some millions of days, and each host sends keys, not bodies."""


@dataclass(eq=False)
class RequestIdentity:
    """One call, as far as it can be told from another one by what it asks for.

    Its key is worked out when it is first needed: after a whole answer, or when a target ends.
    """

    host: str
    caller: bytes
    method: str
    path: str
    body: bytes

    @cached_property
    def key(self) -> RequestKey:
        """The same for every try of the same request, at every host."""
        digest = hashlib.blake2b(digest_size=KEY_BYTES)
        for part in (self.host.lower().encode(), self.caller, self.method.encode()):
            digest.update(part + b"\x00")
        digest.update(self.path.encode() + b"\x00")
        digest.update(self.body)
        return RequestKey(int.from_bytes(digest.digest(), "big"))


def identify(head: CallHead, method: str, path: str, body: bytes) -> RequestIdentity:
    """Return the identity of a call or batch item."""
    return RequestIdentity(head.host, head.caller, method, path, body)


def show_key(key: RequestKey) -> str:
    """Return a key as logs and operators write it."""
    return f"{key:016x}"


def parse_key(text: str) -> RequestKey | None:
    """Return the key that :func:`show_key` wrote, None if it did not."""
    if len(text) != 2 * KEY_BYTES or not set(text) <= set("0123456789abcdef"):
        return None
    return RequestKey(int(text, 16))

"""Identity of requests: two calls are the same request if caller, method, path and body are equal.

Hosts recognise a request that crashes targets by this identity, and prompts that do so by a part
that they share.
"""

from __future__ import annotations

import hashlib
from functools import cached_property
from typing import TYPE_CHECKING

from ..ids import RequestKey, SuspectKey
from ..util.structs import Struct

if TYPE_CHECKING:
    from ..ids import PromptPart
    from .dialect import CallHead

KEY_BYTES = 8
"""Bytes of a request key. Hosts send each other keys instead of bodies. Among the millions of
requests that they compare, two different ones with the same key occur once in some millions of
days."""


class RequestIdentity(Struct, eq=False):
    """The parts of a call that identify its request.

    Objects are compared by identity, so that two calls of the same request remain distinct. The
    key is computed when it is first needed: after a complete answer, or when a target crashes.

    :param prompt_parts: parts of the prompt that other requests may share.
    :param is_item: whether it is an item of a batch job. Items never crash targets, so that neither
        an item nor its prompt is blamed for a crash under it.
    """

    host: str
    caller: bytes
    method: str
    path: str
    body: bytes
    prompt_parts: tuple[PromptPart, ...] = ()
    is_item: bool = False

    @cached_property
    def key(self) -> RequestKey:
        """Hash of the parts; equal for each attempt of the same request on each host."""
        digest = hashlib.blake2b(digest_size=KEY_BYTES)
        for part in (self.host.lower().encode(), self.caller, self.method.encode()):
            digest.update(part + b"\x00")
        digest.update(self.path.encode() + b"\x00")
        digest.update(self.body)
        return RequestKey(int.from_bytes(digest.digest(), "big"))

    @cached_property
    def suspects(self) -> dict[SuspectKey, PromptPart | None]:
        """What may crash the targets of this request: itself (None) and the shared parts of its
        prompt."""
        parts: dict[SuspectKey, PromptPart | None] = {
            hash_part(part): part for part in self.prompt_parts
        }
        return {SuspectKey(self.key): None, **parts}


def hash_part(part: PromptPart) -> SuspectKey:
    """Return the key of a part of prompts; equal on each host."""
    digest = hashlib.blake2b(part.encode(), digest_size=KEY_BYTES, person=b"prompt part")
    return SuspectKey(int.from_bytes(digest.digest(), "big"))


def identify(head: CallHead, method: str, path: str, body: bytes) -> RequestIdentity:
    """Return the identity of a call."""
    return RequestIdentity(head.host, head.caller, method, path, body, head.prompt_parts)


def format_key(key: RequestKey | SuspectKey) -> str:
    """Format a key for logs and operators."""
    return f"{key:016x}"


def parse_key(text: str) -> SuspectKey | None:
    """Parse the output of :func:`format_key`; return None for any other text."""
    if len(text) != 2 * KEY_BYTES or not set(text) <= set("0123456789abcdef"):
        return None
    return SuspectKey(int(text, 16))

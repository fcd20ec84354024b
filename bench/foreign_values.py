"""Values that another writer may leave in the key-value service, drawn from a seed."""

from __future__ import annotations

import random
from collections.abc import Callable

import msgspec

SERVICE_VALUE_BYTES = 1 << 20
"""Size of the largest value that the service takes."""
NESTED_BYTES = 600_000
"""Size of a nested value: inside the limit as base64, too."""


def nest_json(sound: bytes, rng: random.Random, size: int) -> bytes:
    """Return a JSON object with an unknown field that is nested thousands of levels deep."""
    opening, closing = rng.choice(((b"[", b"]"), (b'{"a":', b"}")))
    depth = max(1, size // (len(opening) + len(closing)))
    value = opening * depth + b"0" + closing * depth
    return sound[:-1] + b',"other":' + value + b"}" if sound.endswith(b"}") else value


def nest_msgpack(sound: bytes, rng: random.Random, size: int) -> bytes:
    """Return an array whose last element is nested; it has the elements of *sound* before it."""
    try:
        rows = msgspec.msgpack.decode(sound, type=list[msgspec.Raw])
    except msgspec.DecodeError:
        rows = []
    header = b"\xdc" + (len(rows) + 1).to_bytes(2)
    return header + b"".join(map(bytes, rows)) + b"\x91" * size + b"\xc0"


def fill(sound: bytes, rng: random.Random, size: int) -> bytes:
    """Return a text without structure."""
    return b"x" * size


KINDS: dict[str, Callable[[bytes, random.Random, int], bytes]] = {
    "json": nest_json,
    "msgpack": nest_msgpack,
    "text": fill,
}
"""Functions that make a value of a size in bytes, beside or in place of a sound one."""

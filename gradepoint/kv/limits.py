"""Limits that the key-value service sets on a transaction."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..errors import KvRejected
from ..util.structs import Struct

if TYPE_CHECKING:
    from .service import Transaction


class KvLimits(Struct, frozen=True):
    """What one transaction may hold.

    :param value_bytes: size of the largest value in bytes.
    :param key_bytes: length of the longest key in bytes.
    :param entries: most conditions, writes and deletions together.
    """

    value_bytes: int = 1 << 20
    key_bytes: int = 200
    entries: int = 32


def check_transaction(transaction: Transaction, limits: KvLimits) -> None:
    """Check a transaction against the limits.

    :raises KvRejected: the transaction exceeds one of them.
    """
    keys = [row.key for row in transaction.expects]
    keys += [row.key for row in transaction.puts]
    keys += [row.key for row in transaction.deletes]
    if len(keys) > limits.entries:
        raise KvRejected("too many entries", keys[0], len(keys), limits.entries)
    for key in keys:
        key_bytes = len(key.encode())
        if key_bytes > limits.key_bytes:
            raise KvRejected("key too long", key, key_bytes, limits.key_bytes)
    for put in transaction.puts:
        if len(put.value) > limits.value_bytes:
            raise KvRejected("value too large", put.key, len(put.value), limits.value_bytes)

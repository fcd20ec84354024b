"""Limits of the values that a gateway keeps of the prefixes that it reads whole.

A value of another writer is then a few bytes in memory. No program of ours writes values near these
limits.
"""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

from ..errors import DecodingError, KvUnreadable
from ..jobs.records import END_PREFIX, JOB_PREFIX, decode_state
from ..kv.omission import RowLimit
from ..peers.presence import LIVE_PREFIX, make_presence_limits
from ..util import decoding
from .held import HELD_PREFIX, HeldRow
from .identity import parse_key
from .version_history import VERSIONS_KEY

if TYPE_CHECKING:
    from ..kv.omission import RowLimits
    from .parts import PlatformAdapter

MAX_TARGET_BYTES = 16 << 10
"""A target's row has about 300 bytes. A deployment may add fields of its own, of any size; they are
not kept of a larger row."""
MAX_OPERATOR_BYTES = 4 << 10
"""Of an order of the operator only the key is used."""
MAX_HELD_BYTES = 64 << 10
"""A row of a suspect has the path of a request and the IDs of a few targets."""
MAX_NOTICE_BYTES = 1 << 10
"""The notice of an ended job has no value. The same limit holds for rows of later versions that
this one does not read."""


def make_row_limits(platform: PlatformAdapter) -> RowLimits:
    """Return the limits of all prefixes that a gateway reads whole.

    Hosts pass views on to each other without omitted values. A later version that writes larger
    values therefore has to write them below a prefix that is not limited here.
    """

    def is_target(key: str, value: bytes) -> bool:
        try:
            platform.decode_target(key, value)
        except DecodingError:
            return False
        return True

    return (
        RowLimit(platform.config_key, sys.maxsize, lambda key, value: True),
        RowLimit(
            platform.operator_prefix,
            MAX_OPERATOR_BYTES,
            lambda key, value: platform.read_retired_host(key) is not None,
        ),
        RowLimit(platform.targets_prefix, MAX_TARGET_BYTES, is_target, platform.shorten_target),
        *make_presence_limits(),
        RowLimit(HELD_PREFIX, MAX_HELD_BYTES, _is_held_row),
        RowLimit(VERSIONS_KEY, sys.maxsize, lambda key, value: True),
        RowLimit(END_PREFIX, MAX_NOTICE_BYTES, lambda key, value: not value),
        RowLimit(LIVE_PREFIX, MAX_NOTICE_BYTES, lambda key, value: False),
        RowLimit(JOB_PREFIX, sys.maxsize, _is_job_state),
    )


def _is_held_row(key: str, value: bytes) -> bool:
    if parse_key(key.removeprefix(HELD_PREFIX)) is None:
        return False
    try:
        decoding.decode_json(value, HeldRow)
    except DecodingError:
        return False
    return True


def _is_job_state(key: str, value: bytes) -> bool:
    try:
        decode_state(value)
    except KvUnreadable:
        return False
    return True

"""Numbers in the texts of other programs."""

from __future__ import annotations

import sys

MAX_DIGITS = sys.int_info.default_max_str_digits
"""Digits beyond which Python refuses to convert a text."""
MAX_WIRE_NUMBER = (1 << 64) - 1


def read_whole_number(text: str | bytes) -> int | None:
    """Return the number that a text writes in ASCII digits, 0 or more; None for any other text.

    ``str.isdigit`` also accepts superscripts, which ``int`` refuses.
    """
    if not text.isascii() or not text.isdigit() or len(text) > MAX_DIGITS:
        return None
    return int(text)


def read_wire_number(text: str | bytes) -> int | None:
    """Return the number of at most 64 bits that a text writes; None for any other text.

    Larger ones cannot be sent in messages, and the largest have no floating-point number.
    """
    number = read_whole_number(text)
    return None if number is None or number > MAX_WIRE_NUMBER else number

"""Numbers in the texts of other programs."""

from __future__ import annotations

import sys

MAX_DIGITS = sys.int_info.default_max_str_digits
"""Digits beyond which Python refuses to convert a text."""


def read_whole_number(text: str | bytes) -> int | None:
    """Return the number that a text writes in ASCII digits, 0 or more; None for any other text.

    ``str.isdigit`` also accepts superscripts, which ``int`` refuses.
    """
    if not text.isascii() or not text.isdigit() or len(text) > MAX_DIGITS:
        return None
    return int(text)

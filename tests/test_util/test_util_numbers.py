"""Tests of numbers in the texts of other programs."""

from __future__ import annotations

import pytest

from gradepoint.platform.headers import PlatformDialect
from gradepoint.util.numbers import MAX_DIGITS, read_whole_number


@pytest.mark.parametrize("text", ["", "²", "1²", "٣", "-1", "+1", "1.0", " 1", "1_0", "0x1"])
def test_text_that_is_not_a_number_in_ascii_digits_is_rejected(text: str) -> None:
    assert read_whole_number(text) is None
    assert read_whole_number(text.encode()) is None


def test_numbers_are_read_up_to_the_digits_that_python_converts() -> None:
    assert read_whole_number("007") == 7
    assert read_whole_number(b"9" * 19) == 10**19 - 1
    assert read_whole_number("9" * MAX_DIGITS) == 10**MAX_DIGITS - 1
    assert read_whole_number("9" * (MAX_DIGITS + 1)) is None


@pytest.mark.parametrize("value", ["²".encode(), b"9" * 5000])
def test_call_with_an_unreadable_number_in_its_headers_is_decoded(value: bytes) -> None:
    head = PlatformDialect().read_call([(b"last-event-id", value), (b"x-time-left-ms", value)])
    assert head.resume_after is None and head.remaining_s is None

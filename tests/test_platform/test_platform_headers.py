"""Decoding of the headers of calls and batch items."""

from __future__ import annotations

import pytest

from gradepoint.platform.headers import MAX_PROMPT_PARTS, PlatformDialect


@pytest.mark.parametrize(
    ("values", "expected"),
    [
        ([], ()),
        ([b"5c1e:800"], ()),
        ([b"5c1e:800,91bd:410,e440:250"], ("5c1e", "91bd")),
        ([b"5C1E:800, 91bd , e440:250"], ("5c1e", "91bd")),
        ([b"5c1e:1,5c1e:1,,e440:2"], ("5c1e",)),
        ([b"5c1e:800", b"91bd:410,e440:250"], ("5c1e", "91bd")),
        ([b"\xff:1,:2,x"], ("\xff",)),
    ],
)
def test_shared_parts_of_prompt_are_read_without_the_last(
    values: list[bytes], expected: tuple[str, ...]
) -> None:
    headers = [(b"x-prompt-prefix", value) for value in values]
    assert PlatformDialect().read_call(headers).prompt_parts == expected
    assert PlatformDialect().read_prompt_parts(headers) == expected


def test_number_of_prompt_parts_is_bounded() -> None:
    value = b",".join(b"%x:1" % number for number in range(MAX_PROMPT_PARTS * 3))
    parts = PlatformDialect().read_prompt_parts([(b"x-prompt-prefix", value)])
    assert len(parts) == MAX_PROMPT_PARTS

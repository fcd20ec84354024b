"""Decodes bytes from outside the process: values of the key-value service, requests, answers,
datagrams, settings and files.

This is the only module that calls a decoder. Each function fails with
:class:`~gradepoint.errors.DecodingError` alone, whatever the bytes are.

The decoders stop at a nesting that depends on the depth of the interpreter's stack and on its
version, so that one host could read a value that another cannot. :data:`MAX_NESTING` is below that
and the same everywhere.
"""

from __future__ import annotations

import json
import re
from itertools import accumulate
from typing import TYPE_CHECKING, Any, TypeVar, overload

import msgspec

from ..errors import DecodingError, NestedTooDeeply
from .structs import Struct

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence
    from types import UnionType

    Encoded = bytes | bytearray | memoryview | msgspec.Raw

T = TypeVar("T")

MAX_NESTING = 256
"""Most arrays and maps that may be open at the same time in a value."""
FAILURES = (msgspec.MsgspecError, ValueError, OverflowError)
"""Everything that a decoder raises beside :class:`RecursionError`. :class:`ValueError` covers text
that is not UTF-8."""

TOLERANT_DECODER = json.JSONDecoder(strict=False)
"""Accepts halves of surrogate pairs and control characters in texts, which writers of several
languages do not reject."""
SURROGATE = re.compile("[\ud800-\udfff]")
TO_ARRAYS = bytes.maketrans(b"{}", b"[]")
NO_BRACKETS = bytes(set(range(256)) - set(b"[]{}"))
DEPTH_STEPS = {ord("["): 1, ord("]"): -1}
MAX_SHORTENINGS = 8
"""Levels that are removed from a text of brackets before the rest is counted one by one. Most texts
have fewer, and each removal reads the whole text."""
CONTAINER_HEADERS = bytes([*range(0x80, 0xA0), *range(0xDC, 0xE0)])
"""First bytes of arrays and maps in msgpack."""
MAX_ELEMENTS = 200_000
"""Most elements of a msgpack encoding that has elements of another version, such as 10,000 rows of
20 elements each. A value of the largest size may have a million, which block the event loop."""
FIXED_BYTES = {0xC0: 0, 0xC2: 0, 0xC3: 0, 0xCA: 4, 0xCB: 8, 0xCC: 1, 0xCD: 2, 0xCE: 4, 0xCF: 8}
FIXED_BYTES |= {0xD0: 1, 0xD1: 2, 0xD2: 4, 0xD3: 8}
FIXED_BYTES |= {0xD4: 2, 0xD5: 3, 0xD6: 5, 0xD7: 9, 0xD8: 17}
"""Bytes after the first one of elements of a fixed size in msgpack, extensions last."""
LENGTH_BYTES = {0xC4: (1, 0), 0xC5: (2, 0), 0xC6: (4, 0), 0xC7: (1, 1), 0xC8: (2, 1), 0xC9: (4, 1)}
LENGTH_BYTES |= {0xD9: (1, 0), 0xDA: (2, 0), 0xDB: (4, 0)}
LENGTH_BYTES |= {0xDC: (2, 0), 0xDD: (4, 0), 0xDE: (2, 0), 0xDF: (4, 0)}
"""Bytes of the length of other elements in msgpack, and of the type that follows it."""


@overload
def decode_json(raw: Encoded) -> Any: ...
@overload
def decode_json(raw: Encoded, kind: type[T], *, strict: bool = True) -> T: ...
def decode_json(raw: Encoded, kind: Any = Any, *, strict: bool = True) -> Any:
    """Decode JSON.

    :param kind: type of the value.
    :param strict: whether texts are not accepted in place of numbers.
    :raises DecodingError: *raw* is no JSON, not of this type, or nested too deeply.
    """
    try:
        value = msgspec.json.decode(raw, type=kind, strict=strict)
    except RecursionError as error:
        raise NestedTooDeeply(str(error)) from error
    except FAILURES as error:
        raise DecodingError(str(error)) from error
    if _is_json_nested_too_deeply(bytes(raw)):
        raise NestedTooDeeply(f"nested more than {MAX_NESTING} levels deep")
    return value


def decode_json_text(raw: Encoded) -> Any:
    """Decode JSON with a replacement character in place of what is no Unicode in its texts.

    :raises DecodingError: *raw* is no JSON, or nested too deeply.
    """
    try:
        return decode_json(raw)
    except NestedTooDeeply:
        raise
    except DecodingError:
        text = _dump_json(load_json(raw), ensure_ascii=False)
    return decode_json(SURROGATE.sub("\N{REPLACEMENT CHARACTER}", text).encode())


class BadElement(Struct, frozen=True):
    """Element of a list that cannot be decoded as its type.

    :param value: the element as :func:`load_json` returns it.
    :param reason: why it cannot be decoded.
    """

    value: Any
    reason: str


def decode_json_list(
    raw: Encoded, kind: type[T], path: Sequence[str], element: Any, *, strict: bool = True
) -> tuple[T, list[BadElement]]:
    """Decode a JSON object that has a list, without the elements that cannot be decoded.

    :param kind: type of the object.
    :param path: names of the fields that lead to the list.
    :param element: type of the elements.
    :param strict: as in :func:`decode_json`.
    :returns: the object with all other elements, and the elements that are left out.
    :raises DecodingError: the object cannot be decoded for another reason.
    """
    try:
        return decode_json(raw, kind, strict=strict), []
    except DecodingError as error:
        failure = error
    document = load_json(raw)
    parent, elements = None, document
    for name in path:
        parent, elements = elements, elements.get(name) if isinstance(elements, dict) else None
    if parent is None or not isinstance(elements, list):
        raise failure
    parent[path[-1]] = sound = []
    bad = []
    for value in elements:
        try:
            decode_json(_dump_json(value).encode(), element, strict=strict)
        except DecodingError as error:
            bad.append(BadElement(value, str(error)))
        else:
            sound.append(value)
    return decode_json(_dump_json(document).encode(), kind, strict=strict), bad


def load_json(raw: Encoded) -> Any:
    """Decode JSON that has texts which are no Unicode.

    :returns: the value; surrogates in its texts stand for halves of pairs, and for bytes that are
        not UTF-8 (see :pep:`383`).
    :raises DecodingError: *raw* is no JSON, or nested too deeply.
    """
    try:
        return TOLERANT_DECODER.decode(bytes(raw).decode(errors="surrogateescape"))
    except RecursionError as error:
        raise NestedTooDeeply(str(error)) from error
    except ValueError as error:
        raise DecodingError(str(error)) from error


def _dump_json(value: Any, *, ensure_ascii: bool = True) -> str:
    """Encode what :func:`load_json` returned.

    :param ensure_ascii: whether surrogates and other characters beyond ASCII are escaped.
    :raises DecodingError: it is nested too deeply.
    """
    try:
        return json.dumps(value, ensure_ascii=ensure_ascii)
    except RecursionError as error:
        raise NestedTooDeeply(str(error)) from error


@overload
def decode_msgpack(raw: Encoded) -> Any: ...
@overload
def decode_msgpack(raw: Encoded, kind: type[T]) -> T: ...
@overload
def decode_msgpack(raw: Encoded, kind: UnionType) -> Any: ...
def decode_msgpack(raw: Encoded, kind: Any = Any) -> Any:
    """Decode msgpack.

    :param kind: type of the value.
    :raises DecodingError: *raw* is no msgpack, not of this type, or nested too deeply.
    """
    try:
        value = msgspec.msgpack.decode(raw, type=kind)
    except RecursionError as error:
        raise NestedTooDeeply(str(error)) from error
    except FAILURES as error:
        raise DecodingError(str(error)) from error
    _check_msgpack_nesting(raw, value, kind)
    return value


@overload
def make_msgpack_decoder(kind: type[T]) -> Callable[[Encoded], T]: ...
@overload
def make_msgpack_decoder(kind: UnionType) -> Callable[[Encoded], Any]: ...
def make_msgpack_decoder(kind: Any) -> Callable[[Encoded], Any]:
    """Return :func:`decode_msgpack` for one type, faster than with the type as an argument."""
    decoder = msgspec.msgpack.Decoder(kind)

    def decode(raw: Encoded) -> Any:
        try:
            value = decoder.decode(raw)
        except RecursionError as error:
            raise NestedTooDeeply(str(error)) from error
        except FAILURES as error:
            raise DecodingError(str(error)) from error
        _check_msgpack_nesting(raw, value, kind)
        return value

    return decode


def _is_json_nested_too_deeply(raw: bytes) -> bool:
    """Return whether a valid JSON text exceeds :data:`MAX_NESTING`."""
    if raw.count(b"[") + raw.count(b"{") <= MAX_NESTING:
        return False
    # Without escaped quotes, every other part between quotes is outside of strings.
    parts = raw.replace(rb"\\", b"").replace(rb"\"", b"").split(b'"')
    brackets = b"".join(parts[::2]).translate(TO_ARRAYS, NO_BRACKETS)
    for _ in range(MAX_SHORTENINGS):
        if not brackets:
            return False
        # Removes the innermost level.
        brackets = brackets.replace(b"[]", b"")
    depths = accumulate(map(DEPTH_STEPS.__getitem__, brackets))
    return max(depths, default=0) > MAX_NESTING - MAX_SHORTENINGS


def _check_msgpack_nesting(raw: Encoded, value: Any, kind: Any) -> None:
    """Check the nesting of a valid encoding, of which *value* may hold a part only."""
    encoded = bytes(raw)
    headers = len(encoded) - len(encoded.translate(None, CONTAINER_HEADERS))
    if headers <= MAX_NESTING:
        return
    # Decoders ignore what a type does not have; types themselves are not nested that deeply.
    if kind is not Any and msgspec.msgpack.encode(value) == encoded:
        return
    reason = _find_excess(encoded)
    if reason:
        raise DecodingError(reason)


def _find_excess(encoded: bytes) -> str:
    """Return which bound a valid msgpack encoding exceeds; empty if it exceeds none.

    Nothing is decoded: objects would take some eighty times the memory of their encoding.
    """
    position = 0
    # How many elements follow in each open array or map, the innermost one last.
    following: list[int] = []
    for _ in range(MAX_ELEMENTS):
        if position >= len(encoded):
            return ""
        position, contained = _read_element(encoded, position)
        if following:
            following[-1] -= 1
        if contained is not None:
            following.append(contained)
            if len(following) > MAX_NESTING:
                return f"nested more than {MAX_NESTING} levels deep"
        while following and not following[-1]:
            following.pop()
    return "" if position >= len(encoded) else f"more than {MAX_ELEMENTS} elements"


def _read_element(encoded: bytes, position: int) -> tuple[int, int | None]:
    """Read the header of the element at a position, and skip its content if it is no container.

    :returns: position of the next element, and how many elements an array or a map has.
    """
    first = encoded[position]
    position += 1
    if first < 0x80 or first >= 0xE0:
        return position, None
    if first < 0x90:
        return position, 2 * (first & 0x0F)
    if first < 0xA0:
        return position, first & 0x0F
    if first < 0xC0:
        return position + (first & 0x1F), None
    if first in FIXED_BYTES:
        return position + FIXED_BYTES[first], None
    length_bytes, extra_bytes = LENGTH_BYTES[first]
    length = int.from_bytes(encoded[position : position + length_bytes])
    position += length_bytes
    if first >= 0xDE:
        return position, 2 * length
    if first >= 0xDC:
        return position, length
    return position + extra_bytes + length, None

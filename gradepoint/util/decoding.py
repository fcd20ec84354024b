"""Decodes bytes from outside the process: values of the key-value service, requests, answers,
datagrams, settings and files.

This is the only module that calls a decoder. Each function fails with
:class:`~gradepoint.errors.DecodingError` alone, whatever the bytes are.

The decoders stop at a nesting that depends on the depth of the interpreter's stack and on its
version, so that one host could read a value that another cannot. :data:`MAX_NESTING` is below that
and the same everywhere.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, TypeVar, overload

import msgspec

from ..errors import DecodingError

if TYPE_CHECKING:
    from collections.abc import Callable
    from types import UnionType

    Encoded = bytes | bytearray | memoryview | msgspec.Raw

T = TypeVar("T")

MAX_NESTING = 256
"""Most arrays and maps that may be open at the same time in a value."""
FAILURES = (msgspec.MsgspecError, RecursionError, ValueError, OverflowError)
"""Everything that a decoder raises; :class:`ValueError` covers text that is not UTF-8."""

TO_ARRAYS = bytes.maketrans(b"{}", b"[]")
NO_BRACKETS = bytes(set(range(256)) - set(b"[]{}"))
CONTAINER_HEADERS = bytes([*range(0x80, 0xA0), *range(0xDC, 0xE0)])
"""First bytes of arrays and maps in msgpack."""


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
    except FAILURES as error:
        raise DecodingError(str(error)) from error
    if _is_json_nested_too_deeply(bytes(raw)):
        raise DecodingError(f"nested more than {MAX_NESTING} levels deep")
    return value


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
    for _ in range(MAX_NESTING):
        if not brackets:
            return False
        # Removes the innermost level.
        brackets = brackets.replace(b"[]", b"")
    return bool(brackets)


def _check_msgpack_nesting(raw: Encoded, value: Any, kind: Any) -> None:
    """Check the nesting of a valid encoding, of which *value* may hold a part only."""
    encoded = bytes(raw)
    headers = len(encoded) - len(encoded.translate(None, CONTAINER_HEADERS))
    if headers <= MAX_NESTING:
        return
    try:
        # Decoders ignore what a type does not have; types themselves are not nested that deeply.
        if kind is not Any and msgspec.msgpack.encode(value) == encoded:
            return
        is_deep = _is_nested_too_deeply(msgspec.msgpack.decode(raw))
    except (*FAILURES, TypeError) as error:
        raise DecodingError(str(error)) from error
    if is_deep:
        raise DecodingError(f"nested more than {MAX_NESTING} levels deep")


def _is_nested_too_deeply(value: Any) -> bool:
    level = [value]
    for _ in range(MAX_NESTING):
        level = [row for outer in level for row in _list_containers(outer)]
        if not level:
            return False
    return True


def _list_containers(value: Any) -> list[Any]:
    """Return the arrays and maps directly inside a value."""
    rows = [*value, *value.values()] if isinstance(value, dict) else value
    if not isinstance(rows, list | tuple):
        return []
    return [row for row in rows if isinstance(row, list | tuple | dict)]

"""Values that another writer may leave in the key-value service, drawn from a seed."""

from __future__ import annotations

import json
import random
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from typing import Any

import msgspec

SERVICE_VALUE_BYTES = 1 << 20
"""Size of the largest value that the service takes."""
NESTED_BYTES = 600_000
"""Size of a nested value: inside the limit as base64, too."""
SIZES = (100, 5000, NESTED_BYTES)
SIZE_WEIGHTS = (60, 30, 10)
"""Most values are small, so that a run can draw many of them."""
MAX_CHANGES = 3
"""Most changes that are made to the members of one value."""

NUMBERS = (
    *(0, -1, 1 << 31, 1 << 53, (1 << 63) - 1, 1 << 63, (1 << 64) - 1, -(1 << 63)),
    *(0.5, -0.0, 1e308, -1e308, 5e-324, float("inf"), float("-inf"), float("nan")),
)
"""Ends of number ranges that both encodings can hold."""
JSON_NUMBERS = (1 << 64, 10**30, -(10**300), 10**4000)
"""Numbers that only JSON can hold."""
TEXTS = ("", "\x00", "a\nb\r\n", "../other", "\U0001f600" * 9, "x" * 4000, "\N{RIGHT-TO-LEFT MARK}")
JSON_TEXTS = ("\ud800", "a\udfffb")
"""Half surrogates, which only JSON can hold, as escapes."""
OTHER_TYPES = (None, True, 7, 1.5, "text", [], [[]], {}, {"a": 1}, {"1": [None]})
NO_TEXT = (b"\x00", b"\xff", b"\xed\xa0\x80", b"\xef\xbb\xbf", b"\xc1", b"\n", b"\x1f\x8b\x08")
"""Bytes that are no UTF-8, or neither JSON nor msgpack: half a surrogate, an order mark, ..."""
EMPTY = (b"", b" ", b"{}", b"[]", b"null", b"0", b'""', b"\xc0", b"\x80", b"\x90", b"\x00", b"\xa0")


@dataclass(frozen=True)
class Encoding:
    """One of the encodings of values.

    :ivar numbers: numbers that it can hold and that are at the ends of ranges.
    :ivar texts: texts that it can hold and that are unusual.
    """

    encode: Callable[[Any], bytes]
    numbers: tuple[float, ...]
    texts: tuple[str, ...]


JSON = Encoding(lambda tree: json.dumps(tree).encode(), NUMBERS + JSON_NUMBERS, TEXTS + JSON_TEXTS)
MSGPACK = Encoding(msgspec.msgpack.encode, NUMBERS, TEXTS)


def nest_json(sound: bytes, rng: random.Random, size: int) -> bytes:
    """Return a JSON object with an unknown field that is nested thousands of levels deep."""
    value = _make_nested_json(rng, size)
    return sound[:-1] + b',"other":' + value + b"}" if sound.endswith(b"}") else value


def nest_json_first(sound: bytes, rng: random.Random, size: int) -> bytes:
    """Return a JSON object that begins with a nested field; *sound* follows."""
    return b'{"other":' + _make_nested_json(rng, size) + b"," + sound[1:]


def nest_json_unclosed(sound: bytes, rng: random.Random, size: int) -> bytes:
    """Return a JSON object of which the last field is nested and never closed."""
    opening = rng.choice((b"[", b'{"a":'))
    return sound[:-1] + b',"other":' + opening * (size // len(opening))


def nest_json_alone(sound: bytes, rng: random.Random, size: int) -> bytes:
    """Return a nested JSON value."""
    return _make_nested_json(rng, size)


def _make_nested_json(rng: random.Random, size: int) -> bytes:
    opening, closing = rng.choice(((b"[", b"]"), (b'{"a":', b"}")))
    depth = max(1, size // (len(opening) + len(closing)))
    return opening * depth + b"0" + closing * depth


def nest_msgpack(sound: bytes, rng: random.Random, size: int) -> bytes:
    """Return an array whose last element is nested; it has the elements of *sound* before it."""
    rows = _split_array(sound)
    return _join_array([*rows, b"\x91" * size + b"\xc0"])


def nest_msgpack_element(sound: bytes, rng: random.Random, size: int) -> bytes:
    """Return an array of which one element is replaced by a nested array or map, maybe unclosed."""
    rows = _split_array(sound) or [b""]
    opening = rng.choice((b"\x91", b"\x81\xa1a", b"\xdc\x00\x01", b"\xdf\x00\x00\x00\x01\x00"))
    end = rng.choice((b"\xc0", b""))
    rows[rng.randrange(len(rows))] = opening * (size // len(opening)) + end
    return _join_array(rows)


def _split_array(raw: bytes) -> list[bytes]:
    """Return the encoded elements of a msgpack array; none of any other value."""
    try:
        return [bytes(row) for row in msgspec.msgpack.decode(raw, type=list[msgspec.Raw])]
    except (msgspec.DecodeError, RecursionError):
        return []


def _join_array(rows: Sequence[bytes]) -> bytes:
    return b"\xdc" + len(rows).to_bytes(2) + b"".join(rows)


def fill(sound: bytes, rng: random.Random, size: int) -> bytes:
    """Return a text without structure."""
    return b"x" * size


def fill_with_noise(sound: bytes, rng: random.Random, size: int) -> bytes:
    """Return bytes that are no text."""
    if rng.random() < 0.5:
        return rng.randbytes(size)
    unit = rng.choice(NO_TEXT)
    return unit * (size // len(unit))


def insert_noise(sound: bytes, rng: random.Random, size: int) -> bytes:
    """Return *sound* with bytes inserted or replaced that are no text."""
    at = rng.randint(0, len(sound))
    return sound[:at] + rng.choice(NO_TEXT) + sound[at + rng.randint(0, 1) :]


def cut(sound: bytes, rng: random.Random, size: int) -> bytes:
    """Return the beginning of *sound*."""
    return sound[: rng.randrange(max(1, len(sound)))]


def append(sound: bytes, rng: random.Random, size: int) -> bytes:
    """Return *sound* and further bytes behind its end."""
    return sound + rng.choice((sound, b" ", b"\x00", b"}", rng.randbytes(9)))


def empty(sound: bytes, rng: random.Random, size: int) -> bytes:
    """Return a value without content."""
    return rng.choice(EMPTY)


def fill_service(sound: bytes, rng: random.Random, size: int) -> bytes:
    """Return a value as large as the service takes, which begins as *sound* does."""
    return (sound + b" " * SERVICE_VALUE_BYTES)[:SERVICE_VALUE_BYTES]


def widen(sound: bytes, rng: random.Random, size: int) -> bytes:
    """Return *sound* with very many unknown fields or elements, or one of its fields repeated."""
    tree, encoding = _decode(sound)
    count = max(1, size // 16)
    if isinstance(tree, dict):
        return encoding.encode({**tree, **{f"other-{n}": n for n in range(count)}})
    lists = [node for node, _ in _walk(tree) if isinstance(node, list)]
    more = rng.choice(([None], [0], ["x"], [[]]))
    if not lists:
        return encoding.encode(more * count)
    rng.choice(lists).extend(more * count)
    return encoding.encode(tree)


def change_types(sound: bytes, rng: random.Random, size: int) -> bytes:
    """Return *sound* with members of other types."""
    return _change_members(sound, rng, lambda _, encoding: rng.choice(OTHER_TYPES))


def change_numbers(sound: bytes, rng: random.Random, size: int) -> bytes:
    """Return *sound* with numbers at the ends of ranges."""
    return _change_members(
        sound, rng, lambda _, encoding: rng.choice(encoding.numbers), (int, float)
    )


def change_texts(sound: bytes, rng: random.Random, size: int) -> bytes:
    """Return *sound* with unusual texts."""
    return _change_members(sound, rng, lambda _, encoding: rng.choice(encoding.texts), (str,))


def remove_members(sound: bytes, rng: random.Random, size: int) -> bytes:
    """Return *sound* with fewer fields or elements, as an older format has them."""
    tree, encoding = _decode(sound)
    for _ in range(rng.randint(1, MAX_CHANGES)):
        holders = [node for node, _ in _walk(tree) if node and isinstance(node, dict | list)]
        if isinstance(tree, dict | list) and tree and rng.random() < 0.5:
            holders = [tree]
        if holders:
            holder = rng.choice(holders)
            del holder[rng.choice(list(holder)) if isinstance(holder, dict) else -1]
    return encoding.encode(tree)


def add_members(sound: bytes, rng: random.Random, size: int) -> bytes:
    """Return *sound* with more fields or elements, as a newer format has them."""
    tree, encoding = _decode(sound)
    for number in range(rng.randint(1, MAX_CHANGES)):
        value = rng.choice(OTHER_TYPES)
        if isinstance(tree, dict):
            tree[f"new-{number}"] = value
        elif isinstance(tree, list):
            tree.append(value)
    return encoding.encode(tree)


def encode_otherwise(sound: bytes, rng: random.Random, size: int) -> bytes:
    """Return *sound* in the other encoding, or its fields as an array without names."""
    tree, encoding = _decode(sound)
    if isinstance(tree, dict) and rng.random() < 0.5:
        return encoding.encode(list(tree.values()))
    if encoding is JSON:
        return MSGPACK.encode(tree)
    return json.dumps(tree, default=lambda value: bytes(value).decode("latin-1")).encode()


def keep(sound: bytes, rng: random.Random, size: int) -> bytes:
    """Return *sound*, which is foreign by its key only."""
    return sound


def change_names(sound: bytes, rng: random.Random, names: Sequence[str]) -> bytes:
    """Return *sound* with names of other rows.

    :param names: names of hosts, incarnations, jobs, targets and organisations of other rows.
    """
    return _change_members(sound, rng, lambda _, encoding: rng.choice(names), (str,))


def _change_members(
    sound: bytes,
    rng: random.Random,
    draw: Callable[[Any, Encoding], Any],
    kinds: tuple[type, ...] = (object,),
) -> bytes:
    """Replace members of a value, at any depth.

    :param draw: returns the replacement of a member.
    :param kinds: types of the members that are replaced.
    """
    tree, encoding = _decode(sound)
    found = [
        (holder, key)
        for holder, key in _walk(tree)
        if isinstance(holder[key], kinds) and not isinstance(holder[key], bool | bytes)
    ]
    if not found:
        return encoding.encode(draw(tree, encoding))
    for holder, key in rng.sample(found, rng.randint(1, min(MAX_CHANGES, len(found)))):
        holder[key] = draw(holder[key], encoding)
    return encoding.encode(tree)


def _walk(tree: Any) -> Iterator[tuple[Any, Any]]:
    """Yield each container of a value, with the key or the index of each of its members."""
    if not isinstance(tree, dict | list):
        return
    for key in list(tree) if isinstance(tree, dict) else range(len(tree)):
        yield tree, key
        yield from _walk(tree[key])


def _decode(raw: bytes) -> tuple[Any, Encoding]:
    """Return a sound value and its encoding; an empty JSON object for a value that has neither."""
    for decode, encoding in ((json.loads, JSON), (msgspec.msgpack.decode, MSGPACK)):
        try:
            return decode(raw), encoding
        except (ValueError, msgspec.DecodeError):
            continue
    return {}, JSON


KINDS: dict[str, Callable[[bytes, random.Random, int], bytes]] = {
    "json": nest_json,
    "json-first": nest_json_first,
    "json-unclosed": nest_json_unclosed,
    "json-alone": nest_json_alone,
    "msgpack": nest_msgpack,
    "msgpack-element": nest_msgpack_element,
    "text": fill,
    "noise": fill_with_noise,
    "inserted-noise": insert_noise,
    "cut": cut,
    "longer": append,
    "empty": empty,
    "full": fill_service,
    "wide": widen,
    "types": change_types,
    "numbers": change_numbers,
    "texts": change_texts,
    "older": remove_members,
    "newer": add_members,
    "recoded": encode_otherwise,
    "sound": keep,
}
"""Functions that make a value of a size in bytes, beside or in place of a sound one. Those that
change members go by the sound value and ignore the size."""
NAMES_KIND = "names"


@dataclass(frozen=True)
class DrawnValue:
    """A drawn value and how it was made, for messages."""

    kind: str
    raw: bytes


def draw_value(sound: bytes, rng: random.Random, names: Sequence[str] = ()) -> DrawnValue:
    """Return a value of a random kind.

    :param sound: sound value of the record that readers expect under the key.
    :param names: see :func:`change_names`; none leaves that kind out.
    """
    kind = rng.choice([*KINDS, NAMES_KIND] if names else list(KINDS))
    if kind == NAMES_KIND:
        return DrawnValue(kind, change_names(sound, rng, names))
    size = rng.choices(SIZES, SIZE_WEIGHTS)[0]
    raw = KINDS[kind](sound, rng, size)
    return DrawnValue(kind, raw[:SERVICE_VALUE_BYTES])

"""What the key-value service holds of a batch job, and the rules of its changes.

Keys of one job:

- ``gp/job/ID``: the job's state, changed only by compare-and-swap;
- ``gp/input/ID/N``: its items, written once with the state;
- ``gp/result/ID/N``: results of the Nth commit, written once with the state they belong to;
- ``gp/partial/ID``: texts of items under way, overwritten with the state.
"""

from __future__ import annotations

import hashlib
import re
from enum import Enum
from typing import TypeVar

import msgspec

from ..errors import KvUnreadable
from ..ids import ConfigVersion, Incarnation, ItemId, JobId, OrganisationName

T = TypeVar("T")

JOB_PREFIX = "gp/job/"
INPUT_PREFIX = "gp/input/"
RESULT_PREFIX = "gp/result/"
PARTIAL_PREFIX = "gp/partial/"
QUOTA_PREFIX = "gp/quota/"
END_PREFIX = "gp/live/end/"

PLAIN_ID = re.compile(r"[A-Za-z0-9_-]{1,100}")


class ItemEnd(Enum):
    """How an item ended."""

    COMPLETE = "complete"
    DEAD = "dead"


class Item(msgspec.Struct, frozen=True, array_like=True):
    """One item of a job, as its client sent it.

    :param headers: passed on to the target as they are.
    :param tokens: tokens of the prompt and the most that may come out.
    """

    id: ItemId
    path: str
    headers: list[tuple[str, str]]
    body: bytes
    tokens: int


class Result(msgspec.Struct, frozen=True, array_like=True):
    """One listed item; its position is that in the list of all results."""

    index: int
    end: ItemEnd
    text: str = ""


class JobState(msgspec.Struct, frozen=True, array_like=True):
    """The state of a job.

    :param host: value of the Host header of the job's requests.
    :param owner: life of the host that runs the items.
    :param item_ids: ids by index.
    :param item_tokens: tokens by index.
    :param listed: results in the order of their positions, without their texts.
    :param commits: result keys written so far.
    :param failures: failed attempts by index, for items that are not listed.
    :param ended: the client asked for the job's end.
    :param released: the owner stops; any other host may take the job at once.
    :param partial: texts of items under way are kept beside the state.
    :param config_version: configuration under which the job was accepted; one below it says
        nothing about the job's route.
    :param age_s: seconds since the job came, at the last write: never more than the truth,
        since it is added up from monotonic clocks.
    :param organisation: whose job it is; None where the configuration named no organisations.
    """

    route: str
    host: str
    owner: Incarnation
    input_parts: int
    item_ids: list[ItemId]
    item_tokens: list[int]
    listed: list[Result] = []
    commits: int = 0
    failures: dict[int, int] = {}
    ended: bool = False
    released: bool = False
    partial: bool = False
    config_version: ConfigVersion = ConfigVersion(0)
    age_s: float = 0.0
    organisation: OrganisationName | None = None

    @property
    def done(self) -> bool:
        """Whether nothing is left to run."""
        return self.ended or len(self.listed) == len(self.item_ids)

    def shares_limit(self, other: JobState) -> bool:
        """Whether the tokens of both jobs count against the same limit."""
        return self.route == other.route and self.organisation == other.organisation

    @property
    def waiting_tokens(self) -> int:
        """Tokens of items that have not ended."""
        if self.ended:
            return 0
        return sum(self.item_tokens) - sum(self.item_tokens[row.index] for row in self.listed)


class PartialText(msgspec.Struct, array_like=True):
    """What has come of an item so far; a later run goes on after it.

    :ivar last_event: number of the last whole event; None before the first.
    """

    last_event: int | None = None
    data: list[str] = []


class Quota(msgspec.Struct, frozen=True, array_like=True):
    """Upper bound of the tokens that wait under one key, over all hosts."""

    tokens: int


def name_job(client_id: str, organisation: OrganisationName | None = None) -> JobId:
    """Return the name under which a client's job is kept: fit for a key, whatever was sent.

    Each organisation has names of its own, so that no call of another one can meet its jobs.
    """
    if organisation is None:
        return JobId(_make_plain(client_id))
    return JobId(_join_plain(organisation, client_id))


def _join_plain(first: str, second: str) -> str:
    """Return what stands for two texts together, where it is fit for a key the texts themselves."""
    joined = f"{first}:{second}"
    if PLAIN_ID.fullmatch(joined.replace(":", "_", 1)) and first and second:
        return joined
    return ":" + hashlib.sha256(f"{len(first)}:{joined}".encode()).hexdigest()


def _make_plain(text: str) -> str:
    """Return *text* where it is fit for a key, else what stands for it."""
    if PLAIN_ID.fullmatch(text):
        return text
    return "." + hashlib.sha256(text.encode()).hexdigest()


def job_key(job_id: JobId) -> str:
    """Return the key of a job's state."""
    return JOB_PREFIX + job_id


def input_prefix(job_id: JobId) -> str:
    """Return the prefix of a job's items."""
    return f"{INPUT_PREFIX}{job_id}/"


def result_prefix(job_id: JobId) -> str:
    """Return the prefix of a job's results."""
    return f"{RESULT_PREFIX}{job_id}/"


def partial_key(job_id: JobId) -> str:
    """Return the key of the texts of a job's items under way."""
    return PARTIAL_PREFIX + job_id


def end_key(job_id: JobId) -> str:
    """Return the key that tells every host of a job's end."""
    return END_PREFIX + job_id


def part_key(prefix: str, number: int) -> str:
    """Return the key of part *number*; keys sort as the numbers do."""
    return f"{prefix}{number:06d}"


def quota_key(route: str, organisation: OrganisationName | None = None) -> str:
    """Return the key of the tokens that wait on a route, those of one organisation where there
    are any."""
    if organisation is None:
        return QUOTA_PREFIX + _make_plain(route)
    return QUOTA_PREFIX + _join_plain(route, organisation)


def decode_value(raw: bytes, kind: type[T]) -> T:
    """Decode what a host wrote under a key.

    :raises KvUnreadable: *raw* is not one; another writer may have put it there.
    """
    try:
        return msgspec.msgpack.decode(raw, type=kind)
    except msgspec.DecodeError as error:
        raise KvUnreadable(f"not a {kind}: {error}") from error


def encode_state(state: JobState) -> bytes:
    """Encode a state."""
    return msgspec.msgpack.encode(state)


def decode_state(raw: bytes) -> JobState:
    """Decode a state.

    :raises KvUnreadable: *raw* is not one.
    """
    return decode_value(raw, JobState)


def split_items(items: list[Item], most_bytes: int) -> list[bytes]:
    """Encode items into parts of at most *most_bytes*, where each item allows it."""
    return _split([msgspec.msgpack.encode(item) for item in items], most_bytes)


def join_items(parts: list[bytes]) -> list[Item]:
    """Decode the parts of a job's items.

    :raises KvUnreadable: one of them cannot be decoded.
    """
    return [item for part in parts for item in decode_value(part, list[Item])]


def join_results(parts: list[bytes]) -> list[Result]:
    """Decode the parts of a job's results.

    :raises KvUnreadable: one of them cannot be decoded.
    """
    return [result for part in parts for result in decode_value(part, list[Result])]


def _split(rows: list[bytes], most_bytes: int) -> list[bytes]:
    parts: list[list[bytes]] = [[]]
    size = 0
    for row in rows:
        if parts[-1] and size + len(row) > most_bytes:
            parts.append([])
            size = 0
        parts[-1].append(row)
        size += len(row)
    return [msgspec.msgpack.encode([msgspec.Raw(row) for row in part]) for part in parts]

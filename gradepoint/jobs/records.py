"""Records of a batch job in the key-value service, and their keys and encoding.

Keys of one job:

- ``gp/job/ID``: the job's state, changed only by compare-and-swap;
- ``gp/input/ID/N``: part N of its items, written once, in the transaction that creates the state;
- ``gp/result/ID/N``: part N of its results, written once, in the transaction that lists them in the
  state;
- ``gp/large/ID/DIGEST/SIZE/N``: fragment N of a part that exceeds one value;
- ``gp/partial/ID``: texts received so far for items that have not ended, overwritten by commits.

``gp/quota/ROUTE`` bounds the tokens that wait on a route, and ``gp/live/end/ID`` tells all hosts
that the client ended a job.
"""

from __future__ import annotations

import hashlib
import re
from enum import Enum
from typing import TYPE_CHECKING, TypeVar

import msgspec

from ..errors import DecodingError, KvUnreadable
from ..ids import (
    ConfigVersion,
    Incarnation,
    ItemId,
    JobId,
    OrganisationName,
    SoftwareVersion,
)
from ..util import decoding

if TYPE_CHECKING:
    from types import UnionType

T = TypeVar("T")

JOB_PREFIX = "gp/job/"
INPUT_PREFIX = "gp/input/"
RESULT_PREFIX = "gp/result/"
LARGE_PREFIX = "gp/large/"
PARTIAL_PREFIX = "gp/partial/"
QUOTA_PREFIX = "gp/quota/"
END_PREFIX = "gp/live/end/"

MAX_MAP_HEADER_BYTES = MAX_INDEX_BYTES = 5
"""Most bytes that the header of a map, and an index as a key in it, take in msgpack."""

KEY_SAFE_ID = re.compile(r"[A-Za-z0-9_-]{1,100}")


class ItemOutcome(Enum):
    """How an item ended: with its complete text, or without one (dead), never to be run again."""

    COMPLETE = "complete"
    DEAD = "dead"


class Item(msgspec.Struct, frozen=True, array_like=True):
    """One item of a job, as its client sent it.

    :param headers: headers for the target, forwarded unchanged.
    :param tokens: tokens of the prompt plus the maximum number of output tokens.
    """

    id: ItemId
    path: str
    headers: list[tuple[str, str]]
    body: bytes
    tokens: int

    def encode_headers(self, errors: str = "strict") -> list[tuple[bytes, bytes]]:
        """Return the headers with lowercase names, as on a connection.

        :param errors: treatment of characters that a header can't have, as of :meth:`str.encode`.
        """
        return [
            (name.lower().encode("latin-1", errors), value.encode("latin-1", errors))
            for name, value in self.headers
        ]


class Result(msgspec.Struct, frozen=True, array_like=True):
    """The result of an ended item.

    :param index: index of the item in its job.
    :param end: how the item ended.
    :param text: its complete text; empty for a dead item, and in :attr:`JobState.listed`.
    """

    index: int
    end: ItemOutcome
    text: str = ""


class JobState(msgspec.Struct, frozen=True, array_like=True):
    """The state of a job.

    :param route: name of the route that the job was submitted on.
    :param host: value of the Host header of the job's requests.
    :param owner: incarnation of the host that runs the items.
    :param input_parts: number of input keys that the items are split into.
    :param item_ids: ids by index.
    :param item_tokens: tokens by index.
    :param listed: results in the order of their positions, without their texts.
    :param commits: number of result keys written so far; a commit may write several.
    :param failures: failed attempts by index, for items that are not listed.
    :param ended: the client ended the job.
    :param released: the owner gave the job up; any other host may adopt it at once.
    :param partial: whether the partial key holds texts that belong to this state.
    :param config_version: configuration version under which the job was accepted; an older
        configuration may lack the job's route.
    :param age_s: seconds since the job was accepted, at the last write. It is a sum of monotonic
        clock differences and never more than the true age.
    :param organisation: organisation that the job belongs to; None if the configuration had no
        organisations.
    :param part_sizes: number of results and size in bytes of each result key. Shorter than
        *commits* if a former version, which does not know it, has written the state.
    :param unreadable: items or results of the job stayed unreadable, and its owner gave it up.
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
    part_sizes: list[tuple[int, int]] = []
    unreadable: bool = False

    @property
    def knows_part_sizes(self) -> bool:
        """Whether :attr:`part_sizes` covers all result keys."""
        return len(self.part_sizes) == self.commits

    @property
    def done(self) -> bool:
        """Whether nothing is left to do: the client ended the job, all of its items are listed, or
        its records are unreadable."""
        return self.ended or self.unreadable or len(self.listed) == len(self.item_ids)

    def shares_limit(self, other: JobState) -> bool:
        """Whether the tokens of both jobs count against the same limit (route, organisation)."""
        return self.route == other.route and self.organisation == other.organisation

    @property
    def waiting_tokens(self) -> int:
        """Tokens of the items that are not listed; 0 if they are not run any more."""
        if self.ended or self.unreadable:
            return 0
        return sum(self.item_tokens) - sum(self.item_tokens[row.index] for row in self.listed)


class PartialText(msgspec.Struct, array_like=True):
    """The text received so far for an item; a later run resumes after it.

    :ivar last_event: number of the last complete event; None before the first.
    :ivar data: data of the events received.
    :ivar version: software version of the targets that generated the text. Only targets of this
        version can continue it; empty if it is unknown.
    """

    last_event: int | None = None
    data: list[str] = []
    version: SoftwareVersion = SoftwareVersion("")

    def copy(self) -> PartialText:
        """Return an independent copy."""
        return PartialText(self.last_event, list(self.data), self.version)

    @property
    def empty(self) -> bool:
        """Whether no event has been received yet."""
        return self.last_event is None and not self.data

    def continue_at(self, version: SoftwareVersion) -> bool:
        """Prepare for a run at a target of *version*; return whether the text was kept.

        A text that such a target cannot continue is discarded, and so is one whose events have no
        numbers.
        """
        is_numbered = self.last_event is not None
        kept = self.empty or (is_numbered and self.version == version)
        if not kept:
            self.discard()
        self.version = version
        return kept

    def discard(self) -> None:
        """Forget the text, so that the item begins anew."""
        self.last_event, self.data = None, []


class FragmentedPart(msgspec.Struct, frozen=True):
    """Names the fragments of a part that exceeds one value.

    It is encoded as a map, unlike a part, which is an array. Software that does not know it takes
    the job for unreadable.

    :param digest: SHA-256 of the part in hexadecimal digits.
    :param size: size of the part in bytes.
    :param fragment_bytes: size of its fragments but for the last.
    """

    digest: str
    size: int
    fragment_bytes: int


class Quota(msgspec.Struct, frozen=True, array_like=True):
    """Upper bound of the tokens that wait under one limit, over all hosts.

    Jobs add to it when they are created. Ended items are subtracted only by a recount.
    """

    tokens: int


def make_job_id(client_id: str, organisation: OrganisationName | None = None) -> JobId:
    """Return the id under which a client's job is stored; it is safe in a key for any *client_id*.

    Ids of different organisations differ, so that calls of one organisation cannot reach the jobs
    of another.
    """
    if organisation is None:
        return JobId(_make_key_safe(client_id))
    return JobId(_join_key_safe(organisation, client_id))


def _join_key_safe(first: str, second: str) -> str:
    """Return two texts joined by a colon, or a hash of them if that is not safe in a key."""
    joined = f"{first}:{second}"
    if KEY_SAFE_ID.fullmatch(joined.replace(":", "_", 1)) and first and second:
        return joined
    return ":" + hashlib.sha256(f"{len(first)}:{joined}".encode()).hexdigest()


def _make_key_safe(text: str) -> str:
    """Return *text* if it is safe in a key, else a hash of it."""
    if KEY_SAFE_ID.fullmatch(text):
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


def fragment_prefix(job_id: JobId, part: FragmentedPart) -> str:
    """Return the prefix of the fragments of a part of a job.

    Fragments of different sizes have different keys: the size follows from settings and from what
    the service rejected, which may differ between hosts.
    """
    return f"{LARGE_PREFIX}{job_id}/{part.digest}/{part.fragment_bytes}/"


def partial_key(job_id: JobId) -> str:
    """Return the key of the texts received so far for a job's unfinished items."""
    return PARTIAL_PREFIX + job_id


def end_key(job_id: JobId) -> str:
    """Return the key whose creation tells every host that the client ended a job."""
    return END_PREFIX + job_id


def part_key(prefix: str, number: int) -> str:
    """Return the key of part *number*; the zero padding makes keys sort in numeric order."""
    return f"{prefix}{number:06d}"


def quota_key(route: str, organisation: OrganisationName | None = None) -> str:
    """Return the key of the :class:`Quota` of a route, or of one organisation on that route."""
    if organisation is None:
        return QUOTA_PREFIX + _make_key_safe(route)
    return QUOTA_PREFIX + _join_key_safe(route, organisation)


def decode_value(raw: bytes, kind: type[T] | UnionType) -> T:
    """Decode a value of the key-value service.

    :raises KvUnreadable: *raw* is not a valid *kind*; a foreign writer may have written it.
    """
    try:
        return decoding.decode_msgpack(raw, kind)
    except DecodingError as error:
        raise KvUnreadable(f"value is not a valid {kind}: {error}") from error


def encode_state(state: JobState) -> bytes:
    """Encode a job's state as the value of its key."""
    return msgspec.msgpack.encode(state)


def decode_state(raw: bytes) -> JobState:
    """Decode a job's state.

    :raises KvUnreadable: *raw* is not a valid state, or contradicts itself.
    """
    state = decode_value(raw, JobState)
    reason = _find_contradiction(state)
    if reason:
        raise KvUnreadable(f"the state of a job has {reason}")
    return state


def _find_contradiction(state: JobState) -> str:
    """Return what no host writes in a state; empty if there is nothing of the kind."""
    total = len(state.item_ids)
    indices = {row.index for row in state.listed}
    if len(state.item_tokens) != total:
        return f"{total} ids and {len(state.item_tokens)} numbers of tokens"
    if not 0 <= state.input_parts <= max(1, total):
        return f"{state.input_parts} parts of {total} items"
    if len(indices) != len(state.listed):
        return "two results of one item"
    if not all(0 <= index < total for index in (*indices, *state.failures)):
        return f"an index that none of {total} items has"
    if not bool(state.listed) <= state.commits <= len(state.listed):
        return f"{len(state.listed)} results in {state.commits} parts"
    counted = sum(count for count, _ in state.part_sizes)
    if len(state.part_sizes) > state.commits or counted > len(state.listed):
        return f"sizes of {len(state.part_sizes)} parts of results"
    if state.knows_part_sizes and counted != len(state.listed):
        return f"{counted} results in parts and {len(state.listed)} in the list"
    if not 0.0 <= state.age_s < float("inf"):
        return f"an age of {state.age_s} s"
    return ""


def decode_quota(raw: bytes) -> Quota:
    """Decode a quota record.

    :raises KvUnreadable: *raw* is no count of tokens.
    """
    quota = decode_value(raw, Quota)
    if quota.tokens < 0:
        raise KvUnreadable(f"a count of {quota.tokens} tokens")
    return quota


def split_items(items: list[Item], max_bytes: int) -> list[bytes]:
    """Encode items into parts of about *max_bytes* at most; a larger item gets its own part."""
    rows = [msgspec.msgpack.encode(item) for item in items]
    return [encode_part(part) for part in split_rows(rows, max_bytes)]


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


def split_rows(rows: list[bytes], max_bytes: int) -> list[list[bytes]]:
    """Group encoded rows, in order, into parts of *max_bytes* at most.

    A larger row gets its own part. The array header that :func:`encode_part` adds is not counted.
    """
    parts: list[list[bytes]] = [[]]
    size = 0
    for row in rows:
        if parts[-1] and size + len(row) > max_bytes:
            parts.append([])
            size = 0
        parts[-1].append(row)
        size += len(row)
    return parts


def encode_partial(texts: dict[int, PartialText], max_bytes: int) -> bytes | None:
    """Encode the texts of unfinished items as one value; None if none of them fits.

    If not all of them fit, the longest that do are kept, since they took longest to generate.
    """
    rows = {index: msgspec.msgpack.encode(text) for index, text in texts.items()}
    kept: dict[int, msgspec.Raw] = {}
    left = max_bytes - MAX_MAP_HEADER_BYTES
    for index, row in sorted(rows.items(), key=lambda entry: len(entry[1]), reverse=True):
        if len(row) + MAX_INDEX_BYTES <= left:
            left -= len(row) + MAX_INDEX_BYTES
            kept[index] = msgspec.Raw(row)
    return msgspec.msgpack.encode(kept) if kept else None


def encode_part(rows: list[bytes]) -> bytes:
    """Encode the rows of one part as the value of its key."""
    return msgspec.msgpack.encode([msgspec.Raw(row) for row in rows])

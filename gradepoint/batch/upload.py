"""File uploads: multipart bodies that are parsed and stored in segments while they arrive."""

from __future__ import annotations

import asyncio
import hashlib
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from python_multipart.exceptions import MultipartParseError
from python_multipart.multipart import MultipartParser, parse_options_header

from ..errors import GradepointError
from ..ids import FileId, ObjectHash
from ..util.clock import wall_seconds
from ..util.hashing import short_identity
from .items import parse_line
from .records import FileRecord, Segment

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

    PutObject = Callable[[bytes], Awaitable[ObjectHash]]

BATCH_PURPOSE = "batch"
PURPOSES = (BATCH_PURPOSE, "user_data", "assistants")
MAX_SEGMENT_BYTES = 8 << 20
"""Size in bytes at which a segment is closed; also the limit of an unfinished line."""
MAX_CONCURRENT_PUTS = 8
"""Segments of one upload that are stored at the same time."""


@dataclass(frozen=True)
class UploadLimits:
    """Limits of one upload.

    :param chunk_items: lines per segment.
    """

    max_bytes: int
    max_items: int
    max_line_bytes: int
    chunk_items: int


@dataclass
class FormReader:
    """Callbacks of the multipart parser, which collect form fields and file data.

    The file data is removed with :meth:`take_file_data` after each part of the body.
    """

    fields: dict[str, bytes] = field(default_factory=dict)
    filename: str = ""
    file_data: list[bytes] = field(default_factory=list)
    has_file: bool = False
    header_name: bytes = b""
    header_value: bytes = b""
    disposition: bytes = b""
    part: str = ""
    in_file: bool = False

    def callbacks(self) -> Any:
        """Return the callbacks under the names that the parser expects."""
        return {
            "on_part_begin": self._begin,
            "on_part_data": self._data,
            "on_header_field": self._header_field,
            "on_header_value": self._header_value,
            "on_header_end": self._header_end,
            "on_headers_finished": self._headers_finished,
        }

    def _begin(self) -> None:
        self.disposition = b""

    def _header_field(self, data: bytes, start: int, end: int) -> None:
        self.header_name += data[start:end]

    def _header_value(self, data: bytes, start: int, end: int) -> None:
        self.header_value += data[start:end]

    def _header_end(self) -> None:
        if self.header_name.lower() == b"content-disposition":
            self.disposition = self.header_value
        self.header_name = self.header_value = b""

    def _headers_finished(self) -> None:
        _, options = parse_options_header(self.disposition)
        self.part = options.get(b"name", b"").decode(errors="replace")
        self.in_file = self.part == "file"
        if self.in_file:
            self.has_file = True
            self.filename = options.get(b"filename", b"file").decode(errors="replace")

    def _data(self, data: bytes, start: int, end: int) -> None:
        if self.in_file:
            self.file_data.append(data[start:end])
        else:
            self.fields[self.part] = self.fields.get(self.part, b"") + data[start:end]
            if len(self.fields[self.part]) > 4096 or len(self.fields) > 32:
                raise GradepointError("bad_multipart", "A form field is too long.")

    def take_file_data(self) -> bytes:
        """Remove and return the bytes of the file received since the last call."""
        file_data = b"".join(self.file_data)
        self.file_data.clear()
        return file_data


class SegmentWriter:
    """Splits a file into segments of whole lines and stores them.

    :param put: stores a bulk object and returns its name.
    :ivar partial_line: beginning of a line whose end has not arrived.
    :ivar segments: stores in progress, in file order.
    :ivar first_line: number of the line that first used each ``custom_id``.
    :ivar line_error: the first error of the lines as batch items.
    """

    def __init__(self, put: PutObject, limits: UploadLimits) -> None:
        self.put = put
        self.limits = limits
        self.digest = hashlib.sha256()
        self.size = 0
        self.lines = 0
        self.partial_line = b""
        self.segment: list[bytes] = []
        self.segment_bytes = 0
        self.segments: list[asyncio.Future[Segment]] = []
        self.first_line: dict[str, int] = {}
        self.line_error: GradepointError | None = None
        self.put_slots = asyncio.Semaphore(MAX_CONCURRENT_PUTS)

    async def write(self, data: bytes) -> None:
        """Add the next bytes of the file; segments that become full are stored.

        :raises GradepointError: ``body_too_large``.
        """
        self.size += len(data)
        if self.size > self.limits.max_bytes:
            raise GradepointError("body_too_large", f"Over {self.limits.max_bytes} bytes.")
        self.digest.update(data)
        *lines, self.partial_line = (self.partial_line + data).split(b"\n")
        for line in lines:
            await self._add_line(line)
        if len(self.partial_line) > MAX_SEGMENT_BYTES:
            raise GradepointError("body_too_large", "A line is too long.")

    async def finish(self) -> tuple[Segment, ...]:
        """Store the last segment, wait for all, and return them."""
        if self.partial_line:
            await self._add_line(self.partial_line)
        await self._flush_segment()
        return tuple(await asyncio.gather(*self.segments))

    def cancel(self) -> None:
        """Cancel stores that are still in progress."""
        for segment in self.segments:
            segment.cancel()

    async def _add_line(self, line: bytes) -> None:
        if not line.strip():
            return
        self.lines += 1
        if self.line_error is None:
            self._check_batch_line(line)
        self.segment.append(line)
        self.segment_bytes += len(line) + 1
        full = len(self.segment) >= self.limits.chunk_items
        if full or self.segment_bytes >= MAX_SEGMENT_BYTES:
            await self._flush_segment()

    def _check_batch_line(self, line: bytes) -> None:
        """Validate a line as a batch item; the error is used only for the purpose "batch".

        The purpose may arrive after the file.
        """
        try:
            if len(line) > self.limits.max_line_bytes:
                raise GradepointError(
                    "bad_batch_line",
                    f"Line {self.lines}: longer than {self.limits.max_line_bytes} bytes.",
                )
            if self.lines > self.limits.max_items:
                raise GradepointError("too_many_items", f"Over {self.limits.max_items} lines.")
            item = parse_line(line, self.lines)
            earlier = self.first_line.setdefault(item.custom_id, self.lines)
            if earlier != self.lines:
                raise GradepointError(
                    "duplicate_custom_id",
                    f"Lines {earlier} and {self.lines} share the custom_id {item.custom_id!r}.",
                    param=f"line {self.lines}",
                )
        except GradepointError as error:
            self.line_error = error

    async def _flush_segment(self) -> None:
        if not self.segment:
            return
        data = b"\n".join(self.segment) + b"\n"
        lines = len(self.segment)
        self.segment = []
        self.segment_bytes = 0
        await self.put_slots.acquire()
        self.segments.append(asyncio.ensure_future(self._store(data, lines)))

    async def _store(self, data: bytes, lines: int) -> Segment:
        try:
            return Segment(await self.put(data), len(data), lines)
        finally:
            self.put_slots.release()


async def read_upload(
    body: AsyncIterator[bytes],
    content_type: str,
    organisation: str,
    put: PutObject,
    limits: UploadLimits,
) -> FileRecord:
    """Read a multipart upload and store its file.

    :param put: stores a bulk object and returns its name.
    :raises GradepointError: the body or a line of a batch file is invalid, or the data could
        not be stored.
    """
    kind, options = parse_options_header(content_type)
    if kind != b"multipart/form-data" or b"boundary" not in options:
        raise GradepointError("bad_multipart")
    reader = FormReader()
    parser = MultipartParser(options[b"boundary"], reader.callbacks())
    writer = SegmentWriter(put, limits)
    try:
        async for data in body:
            parser.write(data)
            file_data = reader.take_file_data()
            if file_data:
                await writer.write(file_data)
        parser.finalize()
        purpose = _parse_purpose(reader)
        if purpose == BATCH_PURPOSE and writer.line_error is not None:
            raise writer.line_error
        segments = await writer.finish()
        if purpose == BATCH_PURPOSE and writer.line_error is not None:
            raise writer.line_error
    except MultipartParseError as error:
        raise GradepointError("bad_multipart", f"The form is malformed: {error}.") from error
    finally:
        writer.cancel()
    if purpose == BATCH_PURPOSE and not writer.lines:
        raise GradepointError("bad_batch_line", "The file has no lines.")
    file_id = FileId(f"file-{short_identity(organisation, purpose, writer.digest.hexdigest())}")
    return FileRecord(
        file_id,
        organisation,
        reader.filename,
        purpose,
        writer.size,
        writer.lines,
        wall_seconds(),
        segments,
    )


def _parse_purpose(reader: FormReader) -> str:
    if not reader.has_file:
        raise GradepointError("bad_multipart", "The form has no part 'file'.")
    purpose = reader.fields.get("purpose", b"").decode(errors="replace")
    if purpose not in PURPOSES:
        raise GradepointError(
            "bad_multipart", f"'purpose' must be one of {', '.join(PURPOSES)}.", param="purpose"
        )
    return purpose

"""Finds out whether a JSON document that arrives in pieces has ended, without keeping it."""

from __future__ import annotations

import re

from ..util.structs import Struct

STRUCTURE = re.compile(rb'\\.|["\[\]{}]', re.DOTALL)
"""The bytes of a document that open or close something, and escaped bytes in its strings."""
MAX_DEPTH = 1000
"""Open arrays and objects beyond which a text is no document that a caller can decode."""


class JsonNesting(Struct):
    """How deep inside its arrays, objects and strings a document has arrived.

    :ivar begun: whether anything but white space has arrived.
    :ivar depth: arrays and objects that are open.
    :ivar in_string: whether the document so far ends inside a string.
    :ivar escaping: whether it ends with a backslash that escapes the next byte.
    """

    begun: bool = False
    depth: int = 0
    in_string: bool = False
    escaping: bool = False

    @property
    def incomplete(self) -> bool:
        """Whether the end of the document is certainly missing."""
        return not self.begun or self.depth > 0 or self.in_string

    @property
    def too_deep(self) -> bool:
        """Whether more arrays and objects are open than in any document that can be decoded."""
        return self.depth > MAX_DEPTH

    def feed(self, piece: bytes) -> None:
        """Follow the next piece."""
        if not piece:
            return
        self.begun = self.begun or not piece.isspace()
        start = int(self.escaping)
        for found in STRUCTURE.finditer(piece, start):
            byte = found.group()
            if byte == b'"':
                self.in_string = not self.in_string
            elif not self.in_string and len(byte) == 1:
                self.depth += 1 if byte in b"[{" else -1
        backslashes = len(piece[start:]) - len(piece[start:].rstrip(b"\\"))
        self.escaping = backslashes % 2 == 1

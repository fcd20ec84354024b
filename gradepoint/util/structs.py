"""Base class of plain records."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from msgspec import field

__all__ = ["Struct", "field"]

if TYPE_CHECKING:
    # A type checker refuses frozen records below a base class that is not frozen.
    from msgspec import Struct
else:

    class Struct(msgspec.Struct, dict=True):
        """Record with the fields that its annotations declare, like a dataclass.

        A dataclass generates and compiles source text when its module is imported. That takes about
        ten times as long as the creation of a Struct, and the gateway has about 110 such classes.
        Instances may have further attributes, such as cached properties.
        """

"""What the gateway needs of the platform's adapter."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..ids import HostName, TargetName
    from ..jobs.calls import JobDialect
    from .configuration import Configuration
    from .dialect import Dialect
    from .targets import ListedTarget


@dataclass(frozen=True)
class PlatformParts:
    """What the composition needs of the platform's adapter."""

    dialect: Dialect
    job_dialect: JobDialect
    decode_configuration: Callable[[bytes], Configuration]
    decode_target: Callable[[str, bytes], ListedTarget]
    read_target_name: Callable[[str], TargetName]
    read_retired_host: Callable[[str], HostName | None]
    status_key: Callable[[HostName], str]
    encode_emptied: Callable[[], bytes]
    config_key: str
    operator_prefix: str
    targets_prefix: str

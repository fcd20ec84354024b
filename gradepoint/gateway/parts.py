"""Interface between the gateway and the platform's adapter."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..util.structs import Struct

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..ids import HostName, TargetName
    from ..jobs.calls import JobDialect
    from .configuration import Configuration
    from .dialect import Dialect
    from .targets import ListedTarget


class PlatformAdapter(Struct, frozen=True):
    """Functions, keys and protocols that the platform's adapter provides.

    :param dialect: headers of calls and answers.
    :param job_dialect: requests and answers of the job API.
    :param decode_target: decodes a target's row from its key and value.
    :param shorten_target: returns a target's value without the fields that *decode_target* does not
        use; raises :class:`~gradepoint.errors.DecodingError` if it is no such value.
    :param read_target_name: returns the target's name in a key.
    :param read_retired_host: returns the data host that a key orders to retire, or None.
    :param status_key: returns the key under which a data host is reported as empty.
    :param encode_drained_status: returns the value of that key.
    :param config_key: key of the configuration.
    :param operator_prefix: prefix of the keys that the operator writes.
    :param targets_prefix: prefix of the targets' rows.
    """

    dialect: Dialect
    job_dialect: JobDialect
    decode_configuration: Callable[[bytes], Configuration]
    decode_target: Callable[[str, bytes], ListedTarget]
    shorten_target: Callable[[bytes], bytes]
    read_target_name: Callable[[str], TargetName]
    read_retired_host: Callable[[str], HostName | None]
    status_key: Callable[[HostName], str]
    encode_drained_status: Callable[[], bytes]
    config_key: str
    operator_prefix: str
    targets_prefix: str

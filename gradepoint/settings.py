"""Settings of one process: a table of names, types, defaults and meanings.

Settings identify a process, its addresses and its local limits. What the fleet serves is defined
by the configuration document (:mod:`gradepoint.config`) instead.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, TypeVar

from result import Err, Ok, Result

from .errors import DecodingError
from .telemetry.logs import LEVELS
from .util import decoding
from .util.structs import Struct
from .wire.addresses import MAX_PORT, are_ports, is_address, is_ip, is_port

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

T = TypeVar("T")


class Form(Struct, frozen=True):
    """A form that the value of a setting must have beside its type.

    :param name: description, shown in error messages.
    :param matches: returns whether a value has the form.
    """

    name: str
    matches: Callable[[Any], bool]


IP = Form("an IP address", is_ip)
ADDRESS = Form("IP:PORT", is_address)
PORT = Form(f"a port up to {MAX_PORT}", is_port)
PORTS = Form(f"ports as FIRST,LAST up to {MAX_PORT}", are_ports)
LOG_LEVEL = Form(f"one of {', '.join(LEVELS)}", lambda level: level in LEVELS)
LOG_STYLE = Form("'json' or 'text'", lambda style: style in ("json", "text"))


class Setting(Struct, frozen=True):
    """One row of a settings table.

    :param kind: type that a value must have; an integer is accepted where a float is expected.
    :param default: value used if none is given, or :data:`REQUIRED`.
    :param meaning: description, shown on the reference page and in error messages.
    :param may_be_zero: whether a number may be 0; otherwise it must be positive.
    :param form: form of the value; None for any.
    """

    name: str
    kind: type
    default: Any
    meaning: str
    may_be_zero: bool = False
    form: Form | None = None


REQUIRED = object()
"""Default of a setting that has to be given."""

TABLE: tuple[Setting, ...] = (
    Setting("host", str, REQUIRED, "Name of this host, unique in the fleet."),
    Setting("failure_domain", str, REQUIRED, "Failure domain of this host."),
    Setting("region", str, "region-1", "Region of this host."),
    Setting("address", str, "127.0.0.1", "IP address that this host listens on.", form=IP),
    Setting("entry_port", int, 8400, "HTTP port for callers.", form=PORT),
    Setting("batch_port", int, 8401, "HTTP port of the batch program.", form=PORT),
    Setting("control_port", int, 8402, "Port of the administration API.", form=PORT),
    Setting("gossip_port", int, 8403, "UDP and ZeroMQ port of the control program.", form=PORT),
    Setting("store_port", int, 8405, "ZeroMQ port of the store program.", form=PORT),
    Setting(
        "store_http_port",
        int,
        8406,
        "HTTP port for health checks and metrics of the store program.",
        form=PORT,
    ),
    Setting("data_folder", str, "", "Folder for bulk objects; empty on hosts that store none."),
    Setting("kv_url", str, REQUIRED, "Base URL of the key-value service."),
    Setting("host_list_url", str, "", "Base URL of the platform's host list."),
    Setting(
        "seeds",
        list,
        [],
        "Addresses (IP:GOSSIP_PORT) of hosts through which this host joins the fleet.",
    ),
    Setting("log_level", str, "INFO", "Lowest log level that is written.", form=LOG_LEVEL),
    Setting("log_style", str, "json", "Format of log lines: 'json' or 'text'.", form=LOG_STYLE),
    Setting(
        "kv_timeout_s",
        float,
        2.0,
        "Timeout of a key-value call in seconds; its outcome is then unknown.",
    ),
    Setting("heartbeat_s", float, 1.0, "Seconds between gossip rounds."),
    Setting(
        "member_timeout_s",
        float,
        8.0,
        "Seconds without a heartbeat after which a host is considered lost.",
    ),
    Setting(
        "notice_port",
        int,
        8407,
        "ZeroMQ port on which the batch program is notified of online calls.",
        form=PORT,
    ),
    Setting("max_connections", int, 4096, "Maximum number of callers' connections to one program."),
    Setting("max_header_bytes", int, 32768, "Maximum size of request line and headers in bytes."),
    Setting("max_body_bytes", int, 8 << 20, "Maximum size of an online request body in bytes."),
    Setting("max_file_bytes", int, 512 << 20, "Maximum size of an uploaded file in bytes."),
    Setting("max_items", int, 130000, "Maximum number of items in a batch file."),
    Setting("max_line_bytes", int, 1 << 20, "Maximum size of a line of a batch file in bytes."),
    Setting("chunk_items", int, 256, "Number of items in a chunk, which hosts claim as a unit."),
    Setting("bundle_items", int, 128, "Number of results that triggers a commit."),
    Setting("bundle_age_s", float, 2.0, "Maximum age of uncommitted results in seconds."),
    Setting(
        "batch_poll_s", float, 1.0, "Minimum interval between polls for batch work in seconds."
    ),
    Setting(
        "max_open_chunks", int, 8, "Maximum number of chunks that a batch program claims per model."
    ),
    Setting("max_attempts", int, 3, "Maximum number of attempts of a batch item."),
    Setting(
        "in_flight_per_target",
        int,
        64,
        "Maximum number of online calls in flight from one entry to one target.",
    ),
    Setting("subset_size", int, 8, "Number of targets of a model that one entry uses."),
    Setting(
        "idle_timeout_s", float, 30.0, "Seconds that a caller may pause while it sends a request."
    ),
    Setting("default_deadline_s", float, 120.0, "Deadline in seconds of a call that sets none."),
)


class Settings:
    """Validated settings, with one attribute for each row of :data:`TABLE`."""

    host: str
    failure_domain: str
    region: str
    address: str
    entry_port: int
    batch_port: int
    control_port: int
    gossip_port: int
    store_port: int
    store_http_port: int
    data_folder: str
    kv_url: str
    host_list_url: str
    seeds: list[str]
    log_level: str
    log_style: str
    kv_timeout_s: float
    heartbeat_s: float
    member_timeout_s: float
    notice_port: int
    max_connections: int
    max_header_bytes: int
    max_body_bytes: int
    max_file_bytes: int
    max_items: int
    max_line_bytes: int
    chunk_items: int
    bundle_items: int
    bundle_age_s: float
    batch_poll_s: float
    max_open_chunks: int
    max_attempts: int
    in_flight_per_target: int
    subset_size: int
    idle_timeout_s: float
    default_deadline_s: float

    def __init__(self, values: dict[str, Any]) -> None:
        for row in TABLE:
            setattr(self, row.name, values.get(row.name, row.default))


def check_settings(raw: object) -> Result[Settings, list[str]]:
    """Check decoded JSON against :data:`TABLE`.

    :returns: the settings, or all problems with their remedies.
    """
    if not isinstance(raw, dict):
        return Err(['settings: expected a JSON object. Remedy: write {"host": ...}.'])
    return check_rows(raw, TABLE).map(Settings)


def check_rows(
    raw: dict[str, Any], table: tuple[Setting, ...]
) -> Result[dict[str, Any], list[str]]:
    """Check values against a table; null is treated as a missing value.

    :returns: a value for each row of *table*, or all problems with their remedies.
    """
    given = {name: value for name, value in raw.items() if value is not None}
    known = {row.name for row in table}
    problems = [
        f"{name}: unknown setting. Remedy: remove it or correct its name."
        for name in given
        if name not in known
    ]
    for row in table:
        problems.extend(_check_row(row, given))
    if problems:
        return Err(problems)
    values = {row.name: given.get(row.name, row.default) for row in table}
    for row in table:
        if row.kind is float:
            values[row.name] = float(values[row.name])
    return Ok(values)


def _check_row(row: Setting, raw: dict[str, Any]) -> list[str]:
    if row.name not in raw:
        if row.default is REQUIRED:
            return [f"{row.name}: missing. Remedy: set it. {row.meaning}"]
        return []
    value = raw[row.name]
    accepted = (int, float) if row.kind is float else (row.kind,)
    if isinstance(value, bool) is not (row.kind is bool) or not isinstance(value, accepted):
        expected = row.kind.__name__
        return [f"{row.name}: expected {expected}, got {value!r}. Remedy: {row.meaning}"]
    if row.kind is bool:
        return []
    is_zero_allowed = row.may_be_zero and value == 0
    if isinstance(value, (int, float)) and value <= 0 and not is_zero_allowed:
        return [f"{row.name}: must be above 0, got {value!r}. Remedy: {row.meaning}"]
    if row.form is not None and not row.form.matches(value):
        return [f"{row.name}: expected {row.form.name}, got {value!r}. Remedy: {row.meaning}"]
    return []


def find_shared_ports(ports: dict[str, tuple[str, int]]) -> list[str]:
    """Return a problem for each setting whose port another setting has as well.

    A program would wait for a port that it has opened itself.

    :param ports: IP address and port by the name of their setting.
    """
    problems = []
    owners: dict[tuple[str, int], str] = {}
    for name, port in ports.items():
        owner = owners.setdefault(port, name)
        if owner != name and port[1]:
            problems.append(f"{name}: {owner} has this port. Remedy: use another port.")
    return problems


def load_settings(path: Path) -> Result[Settings, list[str]]:
    """Read and check a settings file."""
    return load_checked(path, check_settings)


def load_checked(
    path: Path, check: Callable[[object], Result[T, list[str]]]
) -> Result[T, list[str]]:
    """Read a JSON file and check it; every problem is prefixed with the path of the file."""
    read = read_settings(path)
    return Err([read.err_value]) if isinstance(read, Err) else check_read(path, read, check)


def read_settings(path: Path) -> Result[object, str]:
    """Read a JSON file; return its content, or why it cannot be read as it is now."""
    try:
        return Ok(decoding.decode_json(path.read_bytes()))
    except OSError as error:
        return Err(f"{path}: {error.strerror}. Remedy: give the path of a readable file.")
    except DecodingError as error:
        return Err(f"{path}: invalid JSON ({error}). Remedy: correct the syntax.")


def check_read(
    path: Path, read: Ok[object], check: Callable[[object], Result[T, list[str]]]
) -> Result[T, list[str]]:
    """Check the content of a file; every problem is prefixed with the path of the file."""
    return check(read.ok_value).map_err(lambda rows: [f"{path}: {row}" for row in rows])

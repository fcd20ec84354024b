"""Settings of the data host program: one table with name, default, type and meaning."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from result import Err, Result

from ..settings import (
    ADDRESS,
    IP,
    LOG_LEVEL,
    LOG_STYLE,
    PORT,
    PORTS,
    REQUIRED,
    Setting,
    check_rows,
)

TABLE: tuple[Setting, ...] = (
    Setting("host", str, REQUIRED, "Name of this host, unique in the fleet."),
    Setting("failure_domain", str, REQUIRED, "Failure domain of this host."),
    Setting("address", str, REQUIRED, "IP address that this host listens on.", form=IP),
    Setting(
        "peer_ports",
        str,
        REQUIRED,
        "Range of ports for traffic between hosts, as FIRST,LAST.",
        form=PORTS,
    ),
    Setting(
        "store_address",
        str,
        REQUIRED,
        "Address (IP:PORT) of the platform's metadata store.",
        form=ADDRESS,
    ),
    Setting(
        "store_value_bytes", int, 1 << 20, "Maximum size of a value in the metadata store in bytes."
    ),
    Setting(
        "store_timeout_s",
        float,
        1.5,
        "Timeout of a metadata store call in seconds; its outcome is then unknown.",
    ),
    Setting(
        "store_history_s",
        float,
        20.0,
        "Seconds for which the metadata store keeps changes for watches.",
    ),
    Setting(
        "data_folder",
        str,
        REQUIRED,
        "Folder for jobs that are stored while the metadata store is unavailable.",
    ),
    Setting("disk_mb", int, 256, "Size of the disk that holds the data folder, in megabytes."),
    Setting(
        "memory_mb",
        float,
        0.0,
        "Memory in MB that the process may use; 0 if unknown. It bounds the size and number "
        "of jobs that are kept, and the connections.",
        may_be_zero=True,
    ),
    Setting("metrics_port", int, 9464, "HTTP port of the metrics page.", form=PORT),
    Setting("log_level", str, "INFO", "Lowest log level that is written.", form=LOG_LEVEL),
    Setting("log_style", str, "json", "Format of log lines: 'json' or 'text'.", form=LOG_STYLE),
)


@dataclass(frozen=True)
class DataHostSettings:
    """Checked settings; one attribute for each row of :data:`TABLE`."""

    host: str
    failure_domain: str
    address: str
    peer_ports: str
    store_address: str
    store_value_bytes: int
    store_timeout_s: float
    store_history_s: float
    data_folder: str
    disk_mb: int
    memory_mb: float
    metrics_port: int
    log_level: str
    log_style: str

    @property
    def peer_port(self) -> int:
        """First port between hosts."""
        return int(self.peer_ports.partition(",")[0])


def check_data_host_settings(raw: object) -> Result[DataHostSettings, list[str]]:
    """Check decoded JSON against :data:`TABLE`; return the settings or the list of problems."""
    if not isinstance(raw, dict):
        return Err(['settings: expected a JSON object. Remedy: write {"host": ...}.'])
    values: Result[dict[str, Any], list[str]] = check_rows(raw, TABLE)
    return values.map(lambda rows: DataHostSettings(**rows))

"""Settings of the gateway program: a table with name, type, default and description of each."""

from __future__ import annotations

from typing import Any

from result import Err, Ok, Result

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
    find_shared_ports,
)
from ..util.structs import Struct
from ..wire.addresses import split_address

MEGABYTE = 1_000_000
ASSUMED_MEMORY_MB = 150.0
"""Memory in MB that counts where the settings do not name it."""
RESULTS_MEMORY_SHARE = 0.1
"""Share of a process's memory that results of batch items may take until they are listed. A commit
holds further copies of some of them."""
REQUESTS_MEMORY_SHARE = 0.3
"""Share of a process's memory that bodies, unfinished heads and jobs may take."""

TABLE: tuple[Setting, ...] = (
    Setting("host", str, REQUIRED, "Name of this host, unique in the fleet."),
    Setting("failure_domain", str, REQUIRED, "Failure domain of this host."),
    Setting("address", str, REQUIRED, "IP address that this host listens on.", form=IP),
    Setting(
        "callers_address",
        str,
        REQUIRED,
        "Address (IP:PORT) of the HTTP server for callers.",
        form=ADDRESS,
    ),
    Setting(
        "ready_address",
        str,
        REQUIRED,
        "Address (IP:PORT) of the HTTP server for readiness checks.",
        form=ADDRESS,
    ),
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
        "drain_ms",
        float,
        2000.0,
        "Milliseconds from the removal of a target until it gets no more calls.",
    ),
    Setting("grace_s", float, 8.0, "Seconds from the stop signal until the process is killed."),
    Setting(
        "hosts_lost",
        int,
        0,
        "Number of data hosts that may be lost at once, with their disks.",
        may_be_zero=True,
    ),
    Setting(
        "domains_lost",
        int,
        0,
        "Number of failure domains that may be lost at once.",
        may_be_zero=True,
    ),
    Setting(
        "regions_lost", int, 0, "Number of regions that may be lost at once.", may_be_zero=True
    ),
    Setting(
        "quota_excess",
        float,
        0.0,
        "Share by which a route's token limit or an organisation's quota may be exceeded.",
        may_be_zero=True,
    ),
    Setting(
        "quota_slack",
        float,
        0.0,
        "Number of calls by which a quota may be exceeded in addition to 'quota_excess'.",
        may_be_zero=True,
    ),
    Setting(
        "quota_window_s",
        float,
        5.0,
        "Length of the window for 'quota_excess' and 'quota_slack' in seconds.",
    ),
    Setting(
        "revoke_strictly",
        bool,
        False,
        "Whether hosts without recent updates refuse keyed calls, so that no revoked key works.",
    ),
    Setting(
        "revoke_ms",
        float,
        5000.0,
        "Milliseconds from the removal of a key until 'revoke_strictly' applies.",
    ),
    Setting(
        "link_mbps",
        float,
        0.0,
        "Rate of this host's link in Mbit/s; 0 if unknown. Faster hosts aggregate for the fleet.",
        may_be_zero=True,
    ),
    Setting(
        "memory_mb",
        float,
        0.0,
        "Memory in MB that the process may use; 0 if unknown, for which 150 is assumed. Hosts with "
        "more aggregate. A tenth may hold batch results that are not listed yet, three tenths "
        "requests and jobs, and three tenths callers' connections.",
        may_be_zero=True,
    ),
    Setting(
        "admission",
        bool,
        True,
        "Whether calls that no target can begin in time wait briefly and are then refused.",
    ),
    Setting(
        "target_model",
        bool,
        True,
        "Whether targets are chosen by their measured speed; otherwise by load alone.",
    ),
    Setting(
        "batch_headroom",
        bool,
        True,
        "Whether batch items leave slots free by the rate of calls; otherwise always one.",
    ),
    Setting("metrics_port", int, 9464, "HTTP port of the metrics page.", form=PORT),
    Setting("log_level", str, "INFO", "Lowest log level that is written.", form=LOG_LEVEL),
    Setting("log_style", str, "json", "Format of log lines: 'json' or 'text'.", form=LOG_STYLE),
)


class GatewaySettings(Struct, frozen=True):
    """Checked settings; one attribute for each row of :data:`TABLE`."""

    host: str
    failure_domain: str
    address: str
    callers_address: str
    ready_address: str
    peer_ports: str
    store_address: str
    store_value_bytes: int
    store_timeout_s: float
    store_history_s: float
    drain_ms: float
    grace_s: float
    hosts_lost: int
    domains_lost: int
    regions_lost: int
    quota_excess: float
    quota_slack: float
    quota_window_s: float
    revoke_strictly: bool
    revoke_ms: float
    link_mbps: float
    memory_mb: float
    admission: bool
    target_model: bool
    batch_headroom: bool
    metrics_port: int
    log_level: str
    log_style: str

    @property
    def spool_copies(self) -> int:
        """Number of data hosts that store a job while the store is unavailable; 0 for no spooling.

        Each failure domain has one data host, so that one copy more than the tolerated losses
        survives them. Regions are not distinguished, so that jobs are not spooled if a whole region
        may be lost.
        """
        return 0 if self.regions_lost else max(self.hosts_lost, self.domains_lost) + 1

    @property
    def memory_bytes(self) -> float:
        """Memory in bytes that the process may use."""
        return (self.memory_mb or ASSUMED_MEMORY_MB) * MEGABYTE

    @property
    def max_request_bytes(self) -> int:
        """Memory in bytes that requests and jobs may reserve."""
        return int(self.memory_bytes * REQUESTS_MEMORY_SHARE)

    @property
    def max_waiting_bytes(self) -> int:
        """Memory in bytes that results of batch items may take until they are listed."""
        return int(self.memory_bytes * RESULTS_MEMORY_SHARE)

    @property
    def peer_port(self) -> int:
        """First port between hosts; it serves TCP and UDP."""
        return int(self.peer_ports.partition(",")[0])


def check_gateway_settings(raw: object) -> Result[GatewaySettings, list[str]]:
    """Check decoded JSON against the table."""
    if not isinstance(raw, dict):
        return Err(['settings: expected a JSON object. Remedy: write {"host": ...}.'])
    values: Result[dict[str, Any], list[str]] = check_rows(raw, TABLE)
    return values.map(lambda rows: GatewaySettings(**rows)).and_then(check_ports)


def check_ports(settings: GatewaySettings) -> Result[GatewaySettings, list[str]]:
    """Check that the ports differ without which the program cannot serve.

    :returns: the settings, or the list of problems.
    """
    problems = find_shared_ports(
        {
            "peer_ports": (settings.address, settings.peer_port),
            "callers_address": split_address(settings.callers_address),
            "ready_address": split_address(settings.ready_address),
        }
    )
    return Err(problems) if problems else Ok(settings)

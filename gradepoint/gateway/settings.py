"""Settings of the gateway program: a table with name, type, default and description of each."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from result import Err, Result

from ..settings import REQUIRED, Setting, check_rows, load_checked

if TYPE_CHECKING:
    from pathlib import Path

TABLE: tuple[Setting, ...] = (
    Setting("host", str, REQUIRED, "Name of this host, unique in the fleet."),
    Setting("failure_domain", str, REQUIRED, "Failure domain this host is in."),
    Setting("address", str, REQUIRED, "IP number this host listens on."),
    Setting("callers_address", str, REQUIRED, "IP:PORT of callers' HTTP."),
    Setting("ready_address", str, REQUIRED, "IP:PORT of the readiness check."),
    Setting("peer_ports", str, REQUIRED, "FIRST,LAST of the ports between hosts."),
    Setting("store_address", str, REQUIRED, "IP:PORT of the platform's metadata store."),
    Setting("store_value_bytes", int, 1 << 20, "Largest value the store takes."),
    Setting("store_timeout_s", float, 1.5, "Seconds after which a store call is uncertain."),
    Setting("store_history_s", float, 20.0, "Seconds for which the store remembers changes."),
    Setting("drain_ms", float, 2000.0, "Milliseconds after which a gone target gets no call."),
    Setting("grace_s", float, 8.0, "Seconds from the stop signal to the kill."),
    Setting(
        "hosts_lost",
        int,
        0,
        "Data hosts that may be lost at once, with their disks.",
        may_be_zero=True,
    ),
    Setting("domains_lost", int, 0, "Failure domains that may be lost at once.", may_be_zero=True),
    Setting("regions_lost", int, 0, "Regions that may be lost at once.", may_be_zero=True),
    Setting(
        "quota_excess",
        float,
        0.0,
        "Share by which a route's token limit may be exceeded.",
        may_be_zero=True,
    ),
    Setting(
        "quota_slack",
        float,
        0.0,
        "Calls by which an organisation's quota may be exceeded, beside that share.",
        may_be_zero=True,
    ),
    Setting("quota_window_s", float, 5.0, "Seconds in which a quota may be exceeded by that."),
    Setting(
        "revoke_strictly",
        bool,
        False,
        "No host honours a key that was taken away, one that is cut off neither.",
    ),
    Setting("revoke_ms", float, 5000.0, "Milliseconds after which that holds."),
    Setting("metrics_port", int, 9464, "Port of the metrics page."),
    Setting("log_level", str, "INFO", "Lowest level that is logged."),
    Setting("log_style", str, "json", "'json' or 'text'."),
)


@dataclass(frozen=True)
class GatewaySettings:
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
    def peer_port(self) -> int:
        """First port between hosts; it serves TCP and UDP."""
        return int(self.peer_ports.partition(",")[0])


def check_gateway_settings(raw: object) -> Result[GatewaySettings, list[str]]:
    """Check decoded JSON against the table."""
    if not isinstance(raw, dict):
        return Err(['settings: expected a JSON object. Remedy: write {"host": ...}.'])
    values: Result[dict[str, Any], list[str]] = check_rows(raw, TABLE)
    return values.map(lambda rows: GatewaySettings(**rows))


def load_gateway_settings(path: Path) -> Result[GatewaySettings, list[str]]:
    """Read and check a settings file."""
    return load_checked(path, check_gateway_settings)

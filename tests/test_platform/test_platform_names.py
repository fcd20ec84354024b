"""The platform's names occur only in the adapter, deploy/ and the stand-ins; checks of settings."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

from gradepoint.gateway.settings import TABLE, check_gateway_settings
from gradepoint.settings import ADDRESS, IP, PORTS, REQUIRED, Setting
from gradepoint.spool.settings import TABLE as DATA_TABLE

ROOT = Path(__file__).resolve().parents[2]

# "x-not-run" is not listed, since this project's own targets use that header as well.
WIRE_NAMES = (
    "kv-key",
    "kv-range",
    "kv-watch",
    "kv-txn",
    "kv-lease",
    "kv-keep",
    "api/lots",
    "api/items",
    "api/ready",
    "api/report",
    "x-attempt-id",
    "x-time-left-ms",
    "x-target-instance",
    "x-server-seal",
    "x-wait-ms",
    "x-instance-id",
    "expect_rev",
    "key_path",
    "path_prefix=",
    "call_seq",
    "slot_count",
    "traffic_split",
    "gap_goal_ms",
    "max_queued_tokens",
    "total_count",
    "next_token",
    "node_name",
    "port_range",
    "seed_addrs",
    "front_addr",
    "op/config",
    "servers/",
    "status/retire",
)
FOREIGN_WORDS = re.compile(r"\b(tenant|backend|back end|machine|zone)s?\b", re.IGNORECASE)


def sources(folder: str) -> list[Path]:
    """Return the modules of the package below *folder*."""
    return sorted((ROOT / "gradepoint" / folder).rglob("*.py"))


def test_platform_wire_names_occur_only_in_the_adapter() -> None:
    adapter = ROOT / "gradepoint" / "platform"
    found = [
        f"{path.relative_to(ROOT)}: {name}"
        for path in sources("")
        if adapter not in path.parents
        for name in WIRE_NAMES
        if name in path.read_text().lower()
    ]
    assert not found


def test_only_programs_import_the_adapter() -> None:
    found = [
        str(path.relative_to(ROOT))
        for path in sources("")
        if path.parent.name not in ("platform", "cmd")
        and re.search(r"from \.+platform", path.read_text())
    ]
    assert not found


def test_packages_use_the_project_s_terms_not_the_platform_s() -> None:
    found = [
        f"{path.relative_to(ROOT)}: {match.group()}"
        for folder in ("gateway", "jobs", "peers", "kv", "spool")
        for path in sources(folder)
        if (match := FOREIGN_WORDS.search(path.read_text()))
    ]
    assert not found


@pytest.mark.parametrize(("program", "table"), [("gateway", TABLE), ("data-host", DATA_TABLE)])
def test_the_settings_template_names_settings_of_the_table(
    program: str, table: tuple[Setting, ...]
) -> None:
    template = (ROOT / "deploy" / f"{program}-settings.json").read_text()
    filled = re.sub(r"\{\{[a-z_.]+\|json\}\}", "1", template)
    named = set(re.findall(r'^  "([a-z_]+)":', filled, re.MULTILINE))
    known = {row.name for row in table}
    assert named <= known
    assert {row.name for row in table if row.name.endswith("_address")} <= named


def test_zero_tolerated_losses_is_a_valid_setting() -> None:
    required = [row for row in TABLE if row.kind is str and row.default is REQUIRED]
    values = {}
    for port, row in enumerate(required, start=8161):
        text = {None: "x", IP: "10.1.0.10", ADDRESS: f"10.1.0.10:{port}", PORTS: "7720,7735"}
        values[row.name] = text[row.form]
    zeros = dict.fromkeys(("hosts_lost", "domains_lost", "regions_lost", "quota_excess"), 0)
    settings = check_gateway_settings({**values, **zeros}).unwrap()
    assert settings.spool_copies == 1
    assert check_gateway_settings({**values, **zeros, "hosts_lost": -1}).is_err()
    lost = check_gateway_settings({**values, "hosts_lost": 2, "domains_lost": 1}).unwrap()
    assert lost.spool_copies == 3
    assert check_gateway_settings({**values, "regions_lost": 1}).unwrap().spool_copies == 0


def test_settings_problems_name_their_remedy() -> None:
    problems = check_gateway_settings({"host": 3, "strange": 1, "drain_ms": -1}).unwrap_err()
    text = "\n".join(problems)
    assert "host: expected str" in text
    assert "strange: unknown setting" in text
    assert "drain_ms: must be above 0" in text
    assert all("Remedy:" in problem for problem in problems)

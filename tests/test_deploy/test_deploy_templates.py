"""The platform's values give settings that the programs accept, also where it leaves some out."""

from __future__ import annotations

import json
import re
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from result import Result

from gradepoint.gateway.settings import TABLE, check_gateway_settings
from gradepoint.settings import REQUIRED, Setting
from gradepoint.spool.settings import TABLE as DATA_TABLE
from gradepoint.spool.settings import check_data_host_settings

ROOT = Path(__file__).resolve().parents[2]
GAP = r"[a-z_.]+"
FIELDS: dict[str, Any] = {
    "node_name": "host-1",
    "zone": "here",
    "ip_addr": "10.1.0.10",
    "listen.front_addr": "10.1.0.10:8161",
    "listen.ready_addr": "10.1.0.10:8167",
    "port_range": [7720, 7735],
    "platform.addr": "10.200.1.7:8169",
    "platform.value_bytes": 4096,
    "platform.history_s": 21,
    "data_dir": "/data",
    "limits.disk_mb": 400,
    "limits.memory_mb": 300,
    "limits.link_mbps": 1000.5,
    "tolerate.machine_losses": 1,
    "tolerate.zones": 2,
    "tolerate.region_losses": 3,
    "bounds.quota_excess": 0.1,
    "bounds.quota_slack": 4,
    "bounds.quota_window_s": 6,
    "bounds.strict_revoke": True,
    "bounds.revoke_ms": 700,
    "bounds.drain_ms": 1900,
    "bounds.grace_s": 9,
}
"""A value for each field of the platform that the templates name; none is a setting's default."""

Check = Callable[[object], Result[Any, list[str]]]
PROGRAMS: dict[str, tuple[tuple[Setting, ...], Check]] = {
    "gateway": (TABLE, check_gateway_settings),
    "data-host": (DATA_TABLE, check_data_host_settings),
}


def read_template(program: str) -> str:
    """Return the template of a program's settings."""
    return (ROOT / "deploy" / f"{program}-settings.json").read_text()


def fill(template: str, fields: dict[str, Any]) -> str:
    """Fill a template like the platform: sections of plain values, and gaps with and without JSON.

    A section of a value that is missing, false or zero is left out; a gap without a value is empty.
    """

    def fill_section(match: re.Match[str]) -> str:
        return match["text"] if fields.get(match["name"]) else ""

    def fill_gap(match: re.Match[str]) -> str:
        value = fields.get(match["name"])
        if value is None:
            return ""
        if match["json"]:
            return json.dumps(value)
        return ",".join(map(str, value)) if isinstance(value, list) else str(value)

    section = rf"\{{\{{#(?P<name>{GAP})\}}\}}(?P<text>.*?)\{{\{{/(?P=name)\}}\}}"
    text = re.sub(section, fill_section, template, flags=re.DOTALL)
    text = re.sub(rf"\{{\{{(?P<name>{GAP})(?P<json>\|json)?\}}\}}", fill_gap, text)
    assert "{{" not in text and "}}" not in text
    return text


def named_fields(program: str) -> dict[str, str]:
    """Return the setting that each field of the platform fills, by the field's name."""
    line = rf'^  "(?P<setting>[a-z_]+)": "?\{{\{{(?P<name>{GAP})(\|json)?\}}\}}'
    matches = re.finditer(line, read_template(program), re.MULTILINE)
    return {match["name"]: match["setting"] for match in matches}


def optional_fields() -> list[tuple[str, str, str]]:
    """Return program, field and setting of each field whose setting has a default."""
    return [
        (program, name, setting)
        for program, (table, _) in PROGRAMS.items()
        for name, setting in named_fields(program).items()
        if {row.name: row.default for row in table}[setting] is not REQUIRED
    ]


def test_fields_of_this_test_are_those_of_the_templates() -> None:
    for program in PROGRAMS:
        gaps = re.findall(rf"\{{\{{({GAP})(?:\|json)?\}}\}}", read_template(program))
        assert sorted(gaps) == sorted(named_fields(program))
    assert {name for program in PROGRAMS for name in named_fields(program)} <= set(FIELDS)


@pytest.mark.parametrize("program", PROGRAMS)
def test_every_field_of_the_platform_reaches_its_setting(program: str) -> None:
    settings = PROGRAMS[program][1](json.loads(fill(read_template(program), FIELDS))).unwrap()
    for name, setting in named_fields(program).items():
        expected = "7720,7735" if name == "port_range" else FIELDS[name]
        assert getattr(settings, setting) == expected


@pytest.mark.parametrize("absent", ["missing", "null", "zero"])
@pytest.mark.parametrize(("program", "name", "setting"), optional_fields())
def test_program_starts_with_its_default_where_an_optional_field_has_no_value(
    program: str, name: str, setting: str, absent: str
) -> None:
    fields = {**FIELDS, name: {"zero": 0, "null": None}.get(absent)}
    if absent == "missing":
        del fields[name]
    table, check = PROGRAMS[program]
    settings = check(json.loads(fill(read_template(program), fields))).unwrap()
    assert getattr(settings, setting) == {row.name: row.default for row in table}[setting]


@pytest.mark.parametrize("program", PROGRAMS)
def test_program_starts_where_all_optional_fields_have_no_value(program: str) -> None:
    optional = {name for kind, name, _ in optional_fields() if kind == program}
    fields = {name: value for name, value in FIELDS.items() if name not in optional}
    assert PROGRAMS[program][1](json.loads(fill(read_template(program), fields))).is_ok()


@pytest.mark.parametrize(("program", "name", "setting"), optional_fields())
def test_zero_is_either_the_default_of_an_optional_field_or_no_valid_value(
    program: str, name: str, setting: str
) -> None:
    table, check = PROGRAMS[program]
    row = next(row for row in table if row.name == setting)
    values = json.loads(fill(read_template(program), FIELDS))
    assert row.default in (0, False) or check({**values, setting: 0}).is_err()


@pytest.mark.parametrize("program", PROGRAMS)
def test_required_field_without_a_value_does_not_pass_for_a_complete_file(program: str) -> None:
    optional = {name for kind, name, _ in optional_fields() if kind == program}
    for name in set(named_fields(program)) - optional:
        text = fill(read_template(program), {**FIELDS, name: None})
        with pytest.raises((json.JSONDecodeError, AssertionError)):
            assert PROGRAMS[program][1](json.loads(text)).is_ok()

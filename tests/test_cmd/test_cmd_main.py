"""The operator's command line."""

from __future__ import annotations

import json
from pathlib import Path

import pytest
from typer.testing import CliRunner

from gradepoint.cmd.main import app
from gradepoint.config.document import KeyHash
from gradepoint.config.keys import key_matches, key_owner
from gradepoint.settings import check_settings, load_settings

ROOT = Path(__file__).resolve().parents[2]
EXAMPLES = sorted((ROOT / "examples").glob("*/config.json"))


@pytest.mark.parametrize("path", EXAMPLES, ids=lambda path: path.parent.name)
def test_example_configurations_are_valid(path: Path) -> None:
    assert CliRunner().invoke(app, ["check", str(path)]).exit_code == 0


@pytest.mark.parametrize(
    "path", sorted((ROOT / "examples").glob("*/hosts/*.json")), ids=lambda path: path.stem
)
def test_example_settings_are_valid(path: Path) -> None:
    assert load_settings(path).is_ok()


def test_check_reports_all_problems_at_once(tmp_path: Path) -> None:
    # Reporting only the first problem would make operators correct a file in many rounds.
    value = json.loads(EXAMPLES[0].read_text())
    value["targets"][2]["url"] = "http://somewhere.example/"
    value["targets"][3]["slots"] = 0
    value["unknown"] = 1
    del value["models"][0]["default_version"]
    path = tmp_path / "bad.json"
    path.write_text(json.dumps(value))
    result = CliRunner().invoke(app, ["check", str(path), "--json"])
    assert result.exit_code == 1
    problems = json.loads(result.stdout)["problems"]
    assert [row["path"] for row in problems] == [
        "(document)",
        "models[0]",
        "targets[2].url",
        "targets[3].slots",
    ]
    assert all(row["remedy"] for row in problems)


def test_check_finds_invalid_references(tmp_path: Path) -> None:
    # The schema cannot detect undeclared models, duplicate names or unknown default versions.
    value = json.loads(EXAMPLES[0].read_text())
    value["targets"][0]["models"] = ["no-such-model"]
    value["targets"][1]["name"] = value["targets"][0]["name"]
    value["models"][0]["default_version"] = "v9"
    path = tmp_path / "bad.json"
    path.write_text(json.dumps(value))
    result = CliRunner().invoke(app, ["check", str(path), "--json"])
    messages = [row["message"] for row in json.loads(result.stdout)["problems"]]
    assert len(messages) == 3


def test_key_command_stores_only_a_hash() -> None:
    # A configuration file that contained the secret would give access to everyone who reads it.
    result = CliRunner().invoke(app, ["key", "team-a", "--json"])
    made = json.loads(result.stdout)
    hashes = [KeyHash(**made["hash"])]
    assert key_owner(made["key"]) == "team-a"
    assert key_matches(made["key"], hashes, 0)
    assert not key_matches(made["key"] + "x", hashes, 0)
    assert made["key"].rpartition(".")[2] not in json.dumps(made["hash"])
    expiring = [KeyHash(made["hash"]["salt"], made["hash"]["hash"], 100)]
    assert key_matches(made["key"], expiring, 99)
    assert not key_matches(made["key"], expiring, 100)


def test_unreachable_administration_api_has_its_own_exit_code() -> None:
    # Scripts must be able to tell "no answer" from a refusal.
    result = CliRunner().invoke(app, ["status", "--admin", "http://127.0.0.1:9"])
    assert result.exit_code == 3


def test_explain_accepts_known_codes_only() -> None:
    assert "Remedy" not in CliRunner().invoke(app, ["explain", "no_target"]).stderr
    assert CliRunner().invoke(app, ["explain", "no_such_code"]).exit_code == 1


def test_settings_check_reports_all_problems_at_once() -> None:
    problems = check_settings({"host": 5, "entry_port": -1, "wrong": 1, "kv_url": "x"}).err_value
    assert problems is not None
    assert [problem.partition(":")[0] for problem in problems] == [
        "wrong",
        "host",
        "failure_domain",
        "entry_port",
    ]

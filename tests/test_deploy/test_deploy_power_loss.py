"""Files that a loss of power damaged do not end the programs that the deploy file runs."""

from __future__ import annotations

import compileall
import random
import shutil
import sys
import tomllib
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest

from tests.support.programs import MODULES, ROOT, Program

HEADER_BYTES = 16
"""Size of the header of a byte-code file, by which the interpreter decides to load the file."""


def cut_at_20_bytes(content: bytes) -> bytes:
    return content[:20]


def cut_at_4096_bytes(content: bytes) -> bytes:
    return content[:4096]


def leave_zeros_after_the_header(content: bytes) -> bytes:
    return content[:HEADER_BYTES] + bytes(len(content) - HEADER_BYTES)


def leave_noise_after_the_header(content: bytes) -> bytes:
    noise = random.Random(len(content)).randbytes(len(content) - HEADER_BYTES)
    return content[:HEADER_BYTES] + noise


def leave_nothing(content: bytes) -> bytes:
    return b""


def leave_zeros(content: bytes) -> bytes:
    return bytes(len(content))


DAMAGES = [
    cut_at_20_bytes,
    cut_at_4096_bytes,
    leave_zeros_after_the_header,
    leave_noise_after_the_header,
    leave_nothing,
    leave_zeros,
]


def run_command(root: Path, kind: str) -> list[str]:
    """Return the command of the deploy file, without the settings."""
    system = tomllib.loads((root / "deploy" / "system.toml").read_text())
    words = system["roles"][kind]["run"].split()
    return [sys.executable, *words[1 : words.index("--settings")]]


@pytest.fixture
def checkout(tmp_path: Path) -> Path:
    """Return a checkout without byte code; the libraries are those of this environment."""
    for name in ("deploy", "gradepoint"):
        ignored = shutil.ignore_patterns("__pycache__")
        shutil.copytree(ROOT / name, tmp_path / "checkout" / name, ignore=ignored)
    return tmp_path / "checkout"


@pytest.fixture(params=list(MODULES))
def program(request: pytest.FixtureRequest, tmp_path: Path, checkout: Path) -> Iterator[Program]:
    """Each program of the checkout, not started yet; killed after the test."""
    made = Program(request.param, tmp_path, root=checkout)
    yield made
    made.kill()


@pytest.mark.parametrize("damage", DAMAGES)
def test_byte_code_that_a_loss_of_power_damaged_does_not_end_the_program(
    damage: Callable[[bytes], bytes], program: Program
) -> None:
    # The interpreter loads a file by its header: EOFError, or a crash, at each start.
    assert compileall.compile_dir(program.root / "gradepoint", quiet=1)
    for path in (program.root / "gradepoint").rglob("*.pyc"):
        path.write_bytes(damage(path.read_bytes()))
    program.start(run_command(program.root, program.kind)).wait_for_event("program_started")


def test_start_writes_no_byte_code(program: Program, monkeypatch: pytest.MonkeyPatch) -> None:
    # Files that the interpreter writes are not synced.
    monkeypatch.delenv("PYTHONDONTWRITEBYTECODE", raising=False)
    program.start(run_command(program.root, program.kind)).wait_for_event("program_started")
    assert "gradepoint_program_starts_total" in program.read_metrics()
    assert program.terminate() == 0
    assert not list(program.root.rglob("*.pyc"))


def test_cache_folder_that_a_loss_of_power_empties_keeps_other_starts_safe(
    program: Program, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Console scripts and "python -m" load the byte code of the package itself before any of its
    # code runs, so that the package cannot prevent it.
    assert compileall.compile_dir(program.root / "gradepoint", quiet=1)
    for path in (program.root / "gradepoint").rglob("*.pyc"):
        path.write_bytes(cut_at_20_bytes(path.read_bytes()))
    monkeypatch.setenv("PYTHONPYCACHEPREFIX", str(tmp_path / "cache"))
    program.start().wait_for_event("program_started")

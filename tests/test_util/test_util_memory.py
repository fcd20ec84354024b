"""The peak of memory that a process reports."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
PROGRAM = "from gradepoint.util.memory import read_peak_memory_bytes as f; print(f())"
STARTER = """
import subprocess, sys
held = bytearray(200_000_000)
print(subprocess.run([sys.executable, "-c", sys.argv[1]], stdout=-1, check=True).stdout.decode())
"""
"""A process with 200 MB of memory that starts another one."""


def test_peak_memory_does_not_include_that_of_the_starter() -> None:
    # The kernel reports the larger of both in the usage of a process.
    command = [sys.executable, "-c", STARTER, PROGRAM]
    done = subprocess.run(command, stdout=subprocess.PIPE, cwd=ROOT, check=True)
    assert 1_000_000 < int(done.stdout) < 100_000_000

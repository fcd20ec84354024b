"""The start of the gateway program, as a real process."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest

from bench.start_cost import connect
from gradepoint.cmd.gateway import open_callers_port
from gradepoint.standins.ports import LOOPBACK, free_port
from tests.support.platform import HOST, WAIT_S, Deployment, run_deployment

ROOT = Path(__file__).resolve().parents[2]
PROGRAM = """
import pathlib, sys
from gradepoint.cmd import gateway

class HeldImport:
    def find_spec(name, path, target=None):
        if name == "gradepoint.cmd.gateway_program":
            pathlib.Path(sys.argv[2]).with_suffix(".importing").touch()
            sys.stdin.readline()

sys.meta_path.insert(0, HeldImport)
gateway.run()
"""
"""The program, which waits for a line on its standard input before its expensive imports."""


def write_settings(folder: Path, store_address: str, callers: int, **changes: object) -> Path:
    """Write a settings file and return its path."""
    settings = {
        "host": "host-0",
        "failure_domain": "zone-a",
        "address": LOOPBACK,
        "callers_address": f"{LOOPBACK}:{callers}",
        "ready_address": f"{LOOPBACK}:{free_port()}",
        "peer_ports": str(free_port()),
        "metrics_port": free_port(),
        "store_address": store_address,
        **changes,
    }
    path = folder / "settings.json"
    path.write_text(json.dumps(settings))
    return path


def start(path: Path) -> subprocess.Popen[bytes]:
    """Start the program with held imports."""
    return subprocess.Popen(
        [sys.executable, "-c", PROGRAM, "--settings", str(path)],
        stdin=subprocess.PIPE,
        stderr=subprocess.PIPE,
        stdout=subprocess.DEVNULL,
        cwd=ROOT,
        env={**os.environ, "PYTHONPATH": str(ROOT)},
    )


def test_call_during_the_imports_is_served(tmp_path: Path) -> None:
    # After an outage, calls that met the closed port of a starting host lost both their attempts.
    async def work(deployment: Deployment) -> None:
        await deployment.start(gateways=0, targets=1)
        callers = free_port()
        path = write_settings(tmp_path, deployment.store_address, callers)
        process = start(path)
        try:
            async with asyncio.timeout(WAIT_S):
                reader, writer = await connect(callers)
                head = f"POST /plain/1 HTTP/1.1\r\nhost: {HOST}\r\ncontent-length: 0\r\n"
                writer.write(f"{head}x-attempt-id: a\r\nx-time-left-ms: 9000\r\n\r\n".encode())
                while not path.with_suffix(".importing").exists():
                    await asyncio.sleep(0.005)
                assert process.stdin is not None
                process.stdin.write(b"\n")
                process.stdin.flush()
                assert b" 200 " in await reader.readline()
                writer.close()
        finally:
            process.kill()
            process.communicate()

    run_deployment(work)


def wait_for_imports(path: Path) -> None:
    """Return once a started program waits before its expensive imports."""
    end = time.monotonic() + WAIT_S
    while not path.with_suffix(".importing").exists():
        assert time.monotonic() < end
        time.sleep(0.005)


def test_reload_signal_during_the_imports_does_not_end_the_process(tmp_path: Path) -> None:
    # The default action of SIGHUP ends the process, and with it the calls that wait in the queue.
    path = write_settings(tmp_path, "", free_port(), host=None)
    process = start(path)
    wait_for_imports(path)
    process.send_signal(signal.SIGHUP)
    process.communicate(b"\n", timeout=WAIT_S)
    assert process.returncode == 2, "the exit code of the invalid settings, read after the signal"


def test_stop_signal_during_the_imports_ends_the_process(tmp_path: Path) -> None:
    path = write_settings(tmp_path, "", free_port())
    process = start(path)
    wait_for_imports(path)
    process.terminate()
    process.communicate(timeout=WAIT_S)
    assert process.returncode == -signal.SIGTERM


def test_address_that_changes_during_the_imports_is_used(tmp_path: Path) -> None:
    # The process listened on the former address and no caller reached it.
    async def work(deployment: Deployment) -> None:
        await deployment.start(gateways=0, targets=0)
        former, changed = free_port(), free_port()
        path = write_settings(tmp_path, deployment.store_address, former)
        process = start(path)
        try:
            async with asyncio.timeout(WAIT_S):
                await asyncio.to_thread(wait_for_imports, path)
                write_settings(tmp_path, deployment.store_address, changed)
                assert process.stdin is not None
                process.stdin.write(b"\n")
                process.stdin.flush()
                _, writer = await connect(changed)
                writer.close()
            with pytest.raises(ConnectionRefusedError):
                await asyncio.open_connection(LOOPBACK, former)
        finally:
            process.kill()
            process.communicate()

    run_deployment(work)


def test_invalid_settings_are_all_printed_although_the_port_was_opened(tmp_path: Path) -> None:
    store = f"{LOOPBACK}:9"
    path = write_settings(tmp_path, store, free_port(), host=None, drain_ms=-1, unknown=1)
    process = start(path)
    _, printed = process.communicate(b"\n", timeout=WAIT_S)
    assert process.returncode == 2
    problems = [line.split(": ")[1] for line in printed.decode().splitlines()]
    assert sorted(problems) == ["drain_ms", "host", "unknown"]


@pytest.mark.parametrize("content", ["", "[]", "{}", '{"callers_address": "x"}', "nul"])
def test_unusable_settings_open_no_port(tmp_path: Path, content: str) -> None:
    # The complete check reports them; a traceback here would hide its list of problems.
    path = tmp_path / "settings.json"
    path.write_text(content)
    assert open_callers_port(["--settings", str(path)]) is None
    assert open_callers_port(["--settings", str(tmp_path)]) is None
    assert open_callers_port(["--help"]) is None


def test_port_in_use_is_reported_when_all_ports_are_opened(tmp_path: Path) -> None:
    path = write_settings(tmp_path, "", free_port())
    first = open_callers_port(["--settings", str(path)])
    assert first is not None
    assert open_callers_port(["--settings", str(path)]) is None
    first.close()

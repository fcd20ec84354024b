"""Programs whose output nobody reads, and programs with few descriptors."""

from __future__ import annotations

import http.client
import os
import signal
import socket
import sys
from collections.abc import Callable, Iterator
from contextlib import ExitStack
from pathlib import Path

import pytest

from gradepoint.wire.addresses import split_address
from tests.support.programs import MODULES, WAIT_S, Program

CALLS = 300
"""Calls that are each logged: with a traceback for each line, they fill a pipe."""
FEW_DESCRIPTORS = 48
CONNECTIONS = 100


@pytest.fixture
def start(tmp_path: Path) -> Iterator[Callable[[str], Program]]:
    """Return a function that creates a program, which is killed after the test."""
    made: list[Program] = []

    def create(kind: str) -> Program:
        made.append(Program(kind, tmp_path))
        return made[-1]

    yield create
    for program in made:
        program.kill()


def start_with_pipes(program: Program) -> tuple[int, int]:
    """Start a program with pipes as its output; return the reading ends."""
    out_reader, out_writer = os.pipe()
    error_reader, error_writer = os.pipe()
    program.write_settings()
    program.start_with(out_writer, error_writer)
    os.close(out_writer)
    os.close(error_writer)
    return out_reader, error_reader


def test_gateway_serves_although_its_output_is_closed_and_nobody_reads_its_errors(
    start: Callable[[str], Program],
) -> None:
    # Each log line wrote a traceback to the standard error, until its pipe was full and blocked.
    program = start("gateway")
    out_reader, error_reader = start_with_pipes(program)
    program.read_metrics()
    os.close(out_reader)
    address = split_address(program.settings["callers_address"])
    try:
        for number in range(CALLS):
            connection = http.client.HTTPConnection(*address, timeout=WAIT_S)
            connection.request("POST", f"/none/{number}", headers={"x-attempt-id": str(number)})
            assert connection.getresponse().status == 503
            connection.close()
        assert program.terminate() == 0
    finally:
        os.close(error_reader)


@pytest.mark.parametrize("kind", list(MODULES))
def test_program_with_few_descriptors_serves_after_many_connections(
    kind: str, start: Callable[[str], Program]
) -> None:
    program = start(kind)
    command = f'ulimit -n {FEW_DESCRIPTORS}; exec "{sys.executable}" -m {MODULES[kind]} "$@"'
    program.start(["/bin/sh", "-c", command, "sh"]).wait_for_event("program_started")
    address = (program.settings["address"], int(program.settings["peer_ports"]))
    with ExitStack() as opened:
        for _ in range(CONNECTIONS):
            opened.enter_context(socket.create_connection(address, WAIT_S))
        assert program.is_running()
    assert "gradepoint_program_starts_total" in program.read_metrics()
    assert program.terminate() == 0


@pytest.mark.parametrize("kind", list(MODULES))
def test_program_without_descriptors_stops_although_nobody_reads_its_errors(
    kind: str, start: Callable[[str], Program]
) -> None:
    # Each turn of the loop wrote a thousand errors, until the pipe was full and blocked.
    program = start(kind)
    out_reader, out_writer = os.pipe()
    error_reader, error_writer = os.pipe()
    command = f'ulimit -n {FEW_DESCRIPTORS}; exec "{sys.executable}" -m {MODULES[kind]} "$@"'
    program.write_settings()
    program.start_with(out_writer, error_writer, ["/bin/sh", "-c", command, "sh"])
    os.close(out_writer)
    os.close(error_writer)
    program.read_metrics()
    address = (program.settings["address"], int(program.settings["peer_ports"]))
    try:
        with ExitStack() as opened:
            for _ in range(CONNECTIONS):
                opened.enter_context(socket.create_connection(address, WAIT_S))
        assert "gradepoint_program_starts_total" in program.read_metrics()
        assert program.terminate() == 0
    finally:
        os.close(out_reader)
        os.close(error_reader)


@pytest.mark.parametrize("kind", list(MODULES))
def test_second_stop_signal_does_not_cut_the_stop_short(
    kind: str, start: Callable[[str], Program]
) -> None:
    program = start(kind).start()
    program.wait_for_event("program_started")
    assert program.process is not None
    program.process.terminate()
    program.wait_for_event("program_stopping")
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        program.process.send_signal(number)
    assert program.wait() == 0
    assert program.event_names()[-1] == "program_ended"


def test_data_host_serves_without_its_run_marker(start: Callable[[str], Program]) -> None:
    program = start("data-host")
    (program.folder / "data" / "run").mkdir(parents=True)
    program.start().wait_for_event("program_started")
    assert "run_marker_failed" in program.event_names()
    assert program.terminate() == 0

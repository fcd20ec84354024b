"""Log lines stay within bounds and never wait; a story is told from the lines alone."""

from __future__ import annotations

import asyncio
import os
import re
from pathlib import Path

import msgspec
from typer.testing import CliRunner

from bench.platform.target import TargetFault
from gradepoint.cmd.main import app
from gradepoint.standins.virtual_time import run_virtual
from gradepoint.telemetry import logs
from gradepoint.telemetry.line_writer import LineWriter, write_to
from gradepoint.telemetry.story import tell_story
from tests.support.platform import Deployment, run_deployment


def test_a_reader_that_stands_still_blocks_nothing() -> None:
    reading, writing = os.pipe()
    writer = LineWriter(write_to(writing), lines_per_s=1e9, buffer_bytes=100_000)
    line = b"x" * 999 + b"\n"
    written = sum(writer.offer(line, "call_answered", failure=False) for _ in range(1000))
    assert 100 < written < 300
    assert writer.left_out["call_answered"] == 1000 - written
    got = b""
    while writer.waiting:
        got += os.read(reading, 65536)
        writer.flush()
    os.close(writing)
    while piece := os.read(reading, 65536):
        got += piece
    os.close(reading)
    assert got == line * written


def test_failures_are_kept_before_successes() -> None:
    async def main() -> None:
        lines: list[bytes] = []

        def write(data: bytes) -> int:
            lines.append(data)
            return len(data)

        writer = LineWriter(write, lines_per_s=100)
        for _ in range(500):
            writer.offer(b"good\n", "call_answered", failure=False)
        for _ in range(500):
            writer.offer(b"bad\n", "call_cut", failure=True)
        assert 70 <= lines.count(b"good\n") <= 80
        assert 20 <= lines.count(b"bad\n") <= 30
        await asyncio.sleep(1.0)
        before = len(lines)
        for _ in range(500):
            writer.offer(b"bad\n", "call_cut", failure=True)
        assert 90 <= len(lines) - before <= 101
        assert sum(writer.take_left_out().values()) == 1500 - len(lines)
        assert not writer.take_left_out()

    run_virtual(main())


def capture(work: object) -> list[str]:
    """Run a deployment's work and return its log lines."""
    lines: list[str] = []

    class Keeper:
        """Takes lines in place of standard output."""

        def __call__(self, data: bytes) -> int:
            lines.extend(data.decode().splitlines())
            return len(data)

    logs.configure("gateway", "host-0")
    logs._writers[:] = [LineWriter(Keeper(), lines_per_s=1e9)]
    try:
        run_deployment(work)  # type: ignore[arg-type]
    finally:
        logs.configure("tests", "tests", level="ERROR")
    return lines


def test_the_cause_of_a_failed_request_is_found_in_the_lines_alone(tmp_path: Path) -> None:
    async def work(deployment: Deployment) -> None:
        await deployment.start(targets=2)
        for target in deployment.targets:
            target.faults = [TargetFault.LOSE_ANSWER]
        assert (await deployment.call("/single/1", request_id="lost")).status == 502
        for target in deployment.targets:
            target.faults = [TargetFault.CUT]
        await deployment.call("/stream/1", request_id="cut")
        assert (await deployment.call("/nowhere/1", request_id="unrouted")).status == 404

    lines = capture(work)
    lines = [*lines[::-1], "{ cut", "no json at all", ""]
    lost = tell_story("lost", lines)
    assert lost.cause is not None and lost.cause.fields["code"] == "target_lost"
    assert lost.bad_lines == 2
    cut = tell_story("cut", lines)
    assert cut.cause is not None and cut.cause.event == "call_cut"
    assert cut.cause.fields["target"] in ("t0", "t1")
    unrouted = tell_story("unrouted", lines)
    assert unrouted.cause is not None and unrouted.cause.fields["status"] == 404
    file = tmp_path / "log"
    file.write_text("\n".join(lines))
    shown = CliRunner().invoke(app, ["explain-request", "cut", str(file)])
    assert "cause: call_cut at host-0" in shown.output
    as_json = CliRunner().invoke(app, ["explain-request", "cut", str(file), "--json"])
    assert msgspec.json.decode(as_json.output)["cause"]["event"] == "call_cut"
    assert CliRunner().invoke(app, ["explain-request", "none", str(file)]).exit_code == 1


def test_a_page_of_metrics_is_served() -> None:
    async def work(deployment: Deployment) -> None:
        await deployment.start(targets=1)
        await deployment.call("/stream/1")
        settings = deployment.gateways[0].settings
        response = await deployment.http.send(
            (settings.address, settings.metrics_port), "GET", "/metrics"
        )
        text = (await response.read()).decode()
        assert "gradepoint_calls_total" in text
        assert "gradepoint_kv_calls_total" in text
        for view in ("operator", "targets", "live"):
            assert re.search(rf'gradepoint_view_age_seconds{{.*view="{view}"}} \d', text)

    run_deployment(work)


def make_line(second: float, event: str, host: str = "h", **fields: object) -> str:
    """Return a line of a log."""
    time = f"2026-01-01T00:00:{second:09.6f}+00:00"
    row = {"time": time, "level": "INFO", "host": host, "event_name": event, **fields}
    return msgspec.json.encode(row).decode()


def test_a_host_that_was_lost_is_the_cause_of_a_call_without_an_answer() -> None:
    lines = [
        make_line(3.0, "program_started"),
        make_line(1.0, "call_sent", request="r", target="t0"),
        make_line(2.0, "program_started", host="another"),
    ]
    cause = tell_story("r", lines).cause
    assert cause is not None and (cause.event, cause.host) == ("program_started", "h")
    answered = tell_story("r", [*lines, make_line(1.5, "call_answered", request="r")]).cause
    assert answered is not None and answered.event == "call_answered"


def test_a_held_request_leads_to_the_ends_under_its_other_tries() -> None:
    def line(second: int, host: str, event: str, **fields: object) -> str:
        row = {"time": f"2026-05-12T16:21:{second:02}", "host": host, "event_name": event}
        return msgspec.json.encode({**row, **fields}).decode()

    lines = [
        line(1, "h1", "target_ended", target="t0", requests=["00aa", "00bb"]),
        line(2, "h2", "target_ended", target="t1", requests=["00aa"]),
        line(3, "h2", "target_ended", target="t2", requests=["00cc"]),
        line(4, "h2", "request_held", key="00aa", ended=["t0", "t1"]),
        line(5, "h3", "call_refused", request="r9", code="request_held", key="00aa"),
    ]
    for wanted in ("r9", "00aa"):
        story = tell_story(wanted, lines)
        assert [row.event for row in story.lines] == [
            "target_ended",
            "target_ended",
            "request_held",
            "call_refused",
        ]
    assert [row.fields["target"] for row in tell_story("00cc", lines).lines] == ["t2"]

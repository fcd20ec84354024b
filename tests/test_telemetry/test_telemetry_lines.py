"""Log output is bounded and non-blocking; timelines are built from log lines alone."""

from __future__ import annotations

import asyncio
import io
import os
import re
import sys
from pathlib import Path

import msgspec
import pytest
from typer.testing import CliRunner

from bench.platform.target import TargetFault
from gradepoint import events
from gradepoint.cmd.main import app
from gradepoint.standins.virtual_time import run_virtual
from gradepoint.telemetry import logs
from gradepoint.telemetry.line_writer import LineWriter, write_to
from gradepoint.telemetry.timeline import build_timeline
from tests.support.platform import Deployment, run_deployment


def test_writer_does_not_block_on_a_stalled_reader() -> None:
    # A blocking write to a full pipe would stop the event loop and all calls with it. The writer
    # buffers up to its limit and drops the other lines, but writes no partial line.
    reading, writing = os.pipe()
    writer = LineWriter(write_to(writing), lines_per_s=1e9, buffer_bytes=100_000)
    line = b"x" * 999 + b"\n"
    written = sum(writer.offer(line, "call_answered", failure=False) for _ in range(1000))
    assert 100 < written < 300
    assert writer.dropped["call_answered"] == 1000 - written
    got = b""
    while writer.queue:
        got += os.read(reading, 65536)
        writer.flush()
    os.close(writing)
    while piece := os.read(reading, 65536):
        got += piece
    os.close(reading)
    assert got == line * written


def test_rate_limit_reserves_lines_for_failures() -> None:
    # A flood of lines about successful calls must not use up the rate limit and thereby suppress
    # the lines that report failures.
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
        assert sum(writer.take_dropped().values()) == 1500 - len(lines)
        assert not writer.take_dropped()

    run_virtual(main())


def test_line_that_cannot_be_written_does_not_fail_its_call(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # The standard error may be a pipe whose reader has ended.
    class BrokenPipe(io.StringIO):
        def write(self, text: str) -> int:
            raise BrokenPipeError

    logs.configure("gateway", "host-0")
    monkeypatch.setattr(sys, "stderr", BrokenPipe())
    try:
        logs.emit(events.PROGRAM_STARTED, address="\ud800")
    finally:
        logs.configure("tests", "tests", level="ERROR")


def capture(work: object) -> list[str]:
    """Run *work* in a deployment and return its log lines."""
    lines: list[str] = []

    class RecordingOutput:
        """Records lines in place of the standard output."""

        def __call__(self, data: bytes) -> int:
            lines.extend(data.decode().splitlines())
            return len(data)

    logs.configure("gateway", "host-0")
    logs._writers[:] = [LineWriter(RecordingOutput(), lines_per_s=1e9)]
    try:
        run_deployment(work)  # type: ignore[arg-type]
    finally:
        logs.configure("tests", "tests", level="ERROR")
    return lines


def test_cause_of_a_failed_request_is_found_in_log_lines(tmp_path: Path) -> None:
    # Operators have only the logs to explain a failed call. Lines may be in any order, truncated
    # or mixed with other text.
    async def work(deployment: Deployment) -> None:
        await deployment.start(targets=2)
        for target in deployment.targets:
            target.faults = [TargetFault.LOSE_RESPONSE]
        assert (await deployment.call("/single/1", request_id="lost")).status == 502
        for target in deployment.targets:
            target.faults = [TargetFault.CUT]
        await deployment.call("/stream/1", request_id="cut")
        assert (await deployment.call("/nowhere/1", request_id="unrouted")).status == 404

    lines = capture(work)
    lines = [*lines[::-1], "{ cut", "no json at all", ""]
    lost = build_timeline("lost", lines)
    assert lost.cause is not None and lost.cause.fields["code"] == "target_lost"
    assert lost.bad_lines == 2
    cut = build_timeline("cut", lines)
    assert cut.cause is not None and cut.cause.event == "call_cut"
    assert cut.cause.fields["target"] in ("t0", "t1")
    unrouted = build_timeline("unrouted", lines)
    assert unrouted.cause is not None and unrouted.cause.fields["status"] == 404
    file = tmp_path / "log"
    file.write_text("\n".join(lines))
    shown = CliRunner().invoke(app, ["explain-request", "cut", str(file)])
    assert "cause: call_cut at host-0" in shown.output
    as_json = CliRunner().invoke(app, ["explain-request", "cut", str(file), "--json"])
    assert msgspec.json.decode(as_json.output)["cause"]["event"] == "call_cut"
    assert CliRunner().invoke(app, ["explain-request", "none", str(file)]).exit_code == 1


def test_gateway_serves_metrics_page() -> None:
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
    """Return a log line."""
    time = f"2026-01-01T00:00:{second:09.6f}+00:00"
    row = {"time": time, "level": "INFO", "host": host, "event_name": event, **fields}
    return msgspec.json.encode(row).decode()


def test_host_restart_is_the_cause_of_an_unanswered_call() -> None:
    # A host that crashes logs no failure for the calls it ran; only its restart shows the crash.
    lines = [
        make_line(3.0, "program_started"),
        make_line(1.0, "call_sent", request="r", target="t0"),
        make_line(2.0, "program_started", host="another"),
    ]
    cause = build_timeline("r", lines).cause
    assert cause is not None and (cause.event, cause.host) == ("program_started", "h")
    answered = build_timeline("r", [*lines, make_line(1.5, "call_answered", request="r")]).cause
    assert answered is not None and answered.event == "call_answered"


def test_timeline_of_a_job_includes_refused_writes_of_its_keys() -> None:
    # The line of a refused write has the key, its size and the limit, but no field for the job.
    def line(second: int, event: str, **fields: object) -> str:
        row = {"time": f"2026-05-12T16:21:{second:02}", "host": "h1", "event_name": event}
        return msgspec.json.encode({**row, "level": "ERROR", **fields}).decode()

    refused = {"kind": "txn", "reason": "answered 413", "size": 5000, "limit": None}
    lines = [
        line(1, "job_accepted", job="night-1"),
        line(2, "kv_rejected", key="gp/result/night-1/000000", **refused),
        line(3, "kv_rejected", key="gp/result/night-12/000000", **refused),
        line(4, "parts_reduced", key="gp/large/night-1/00ff/000002", part_bytes=2500),
    ]
    timeline = build_timeline("night-1", lines)
    assert [row.event for row in timeline.lines] == ["job_accepted", "kv_rejected", "parts_reduced"]
    assert timeline.lines[1].fields["size"] == 5000


def test_timeline_of_a_held_request_includes_crashes_of_other_attempts() -> None:
    # The attempts of a request that crashed targets have ids of their own. Only the request key
    # connects the refused call with the crashes before.
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
        timeline = build_timeline(wanted, lines)
        assert [row.event for row in timeline.lines] == [
            "target_ended",
            "target_ended",
            "request_held",
            "call_refused",
        ]
    assert [row.fields["target"] for row in build_timeline("00cc", lines).lines] == ["t2"]


def test_timeline_of_a_held_prompt_part_includes_crashes_of_other_requests() -> None:
    def line(second: int, host: str, event: str, **fields: object) -> str:
        row = {"time": f"2026-05-12T16:21:{second:02}", "host": host, "event_name": event}
        return msgspec.json.encode({**row, **fields}).decode()

    lines = [
        line(1, "h1", "target_ended", target="t0", requests=["00aa"], parts=[["5c1e", "bad0"]]),
        line(2, "h2", "target_ended", target="t1", requests=["00bb"], parts=[["5c1e"], ["bad0"]]),
        line(3, "h2", "target_ended", target="t2", requests=["00cc"], parts=[["5c1e"]]),
        line(4, "h2", "request_held", key="00ff", part="bad0", ended=["t0", "t1"]),
        line(5, "h3", "request_held", key="00ff", part=None, ended=["t0", "t1"]),
        line(6, "h3", "call_refused", request="r9", code="prompt_part_held", key="00ff"),
    ]
    for wanted in ("r9", "00ff"):
        timeline = build_timeline(wanted, lines)
        assert [row.time[-2:] for row in timeline.lines] == ["01", "02", "04", "05", "06"]
    assert [row.time[-2:] for row in build_timeline("bad0", lines).lines] == ["01", "02", "04"]


def test_timeline_of_a_stream_includes_all_calls_that_took_it_up() -> None:
    def line(second: int, host: str, event: str, **fields: object) -> str:
        row = {"time": f"2026-05-12T16:21:{second:02}", "host": host, "event_name": event}
        return msgspec.json.encode({**row, **fields}).decode()

    lines = [
        line(1, "h1", "call_sent", request="r1", resumes=None),
        line(2, "h2", "stream_taken_up", request="r2", resumes="r1"),
        line(3, "h3", "call_sent", request="r3", resumes="r1"),
        line(4, "h3", "call_answered", request="r3"),
        line(5, "h3", "call_sent", request="r9", resumes="r8"),
    ]
    for wanted in ("r1", "r2", "r3"):
        seconds = [row.time[-2:] for row in build_timeline(wanted, lines).lines]
        assert seconds == ["01", "02", "03", "04"]

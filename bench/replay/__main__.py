"""``python -m bench.replay``: replay traces and print a JSON line for each result."""

from __future__ import annotations

import argparse
import sys
import time
from pathlib import Path

import msgspec

from bench.traces import read_trace, write_trace

from .plots import write_plots, write_table
from .policies import POLICIES
from .results import Figures, run_baseline, run_policy
from .scenarios import KASITOO, LANTERNBY, LARGE, Scenario, make_scenarios

SHAPES = {shape.name: shape for shape in (KASITOO, LANTERNBY, LARGE)}
COMPARED = (
    "gradepoint",
    "no-batch",
    "fixed-window",
    "priority-only",
    "random-choice",
    "least-in-flight",
)


def main() -> int:
    """Replay the scenarios and policies selected on the command line."""
    parser = argparse.ArgumentParser()
    parser.add_argument(
        "--all", action="store_true", help="all built-in scenarios and compared policies"
    )
    parser.add_argument("--trace", type=Path, help="replay a trace file")
    parser.add_argument("--shape", choices=sorted(SHAPES), default="kasitoo-turg")
    parser.add_argument("--scenario", default="", help="built-in scenarios, separated by commas")
    parser.add_argument("--policy", default="gradepoint", help="policies, separated by commas")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--scale", type=float, default=1.0)
    parser.add_argument(
        "--write-traces",
        type=Path,
        help="write the scenarios as trace files to this folder and exit",
    )
    arguments = parser.parse_args()
    scenarios = _scenarios(arguments)
    if arguments.write_traces:
        for name, scenario in scenarios.items():
            write_trace(arguments.write_traces / f"{name}.jsonl", scenario.lines)
        return 0
    policies = COMPARED if arguments.all else tuple(arguments.policy.split(","))
    unknown = [name for name in policies if name not in POLICIES]
    if unknown:
        parser.error(f"unknown policy {unknown}: use {', '.join(POLICIES)}")
    rows: list[Figures] = []
    for scenario in scenarios.values():
        baseline = run_baseline(scenario, arguments.seed)
        for policy in policies:
            started = time.perf_counter()
            row = run_policy(scenario, policy, arguments.seed, baseline)
            rows.append(row)
            spent = time.perf_counter() - started
            print(
                f"{scenario.name:24} {policy:16} slack {row.slack_used:6.3f} harm p99 first "
                f"{row.harm_p99_first_token:6.3f} between {row.harm_p99_between_tokens:6.3f} "
                f"({spent:.1f} s)",
                file=sys.stderr,
            )
    if arguments.all:
        write_table(rows)
        write_plots(rows)
    for row in rows:
        if row.policy == "gradepoint" or not arguments.all:
            print(msgspec.json.encode(row).decode())
    return 0


def _scenarios(arguments: argparse.Namespace) -> dict[str, Scenario]:
    if arguments.trace is not None:
        lines = read_trace(arguments.trace)
        seconds = max(line.t for line in lines) + 5.0
        name = arguments.trace.stem
        return {name: Scenario(name, SHAPES[arguments.shape], seconds, lines, True)}
    scenarios = make_scenarios(arguments.scale)
    if arguments.scenario:
        return {name: scenarios[name] for name in arguments.scenario.split(",")}
    return scenarios


if __name__ == "__main__":
    sys.exit(main())

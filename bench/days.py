"""Generates fault scenarios ("days") for the users' bench from a seed and runs them.

The users' bench is an external program. Each day has overlapping faults of the store, of hosts and
of targets, planned work and, half the time, a fault at its end. See ``python -m bench.days --help``
for the options.

An entry template is a line of TOML followed by variants of ``{a}`` after ``|``; the empty variant
is always among them. ``{s}`` is a short and ``{l}`` a long duration in seconds, ``{x}`` a number.
"""

from __future__ import annotations

import random
import re
import subprocess
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import typer

LENGTH_S = 34.0
"""Seconds of traffic before a closing fault, on the known deployments."""

STORE_FAULTS = (
    'kind = "platform_down", for_s = {s}, how = "{a}"|silent busy reset|busy lapse',
    'kind = "platform_down", for_s = {l}, share = 0.35, how = "nodes {a}"|busy many reset silent',
    'kind = "platform_slow", x = {x}, for_s = {s}|',
    'kind = "platform_lost", x = 0.35, for_s = {s}, how = "{a}"|late',
    'kind = "platform_compact", x = 5.0, for_s = {l}, how = "{a}"|drain',
)
HOST_FAULTS = (
    'kind = "node_kill", share = 0.3, how = "{a}", for_s = {s}|power',
    'kind = "node_kill", on = "core", count = 1, for_s = {s}, how = "{a}"|meet drain|leader race',
    'kind = "node_freeze", share = 0.2, for_s = {s}|',
    'kind = "herd_kill", share = 0.6, for_s = 1.5, how = "{a}"|power',
    'kind = "replace_core", x = 2.0, how = "{a}"|planned|leader',
    'kind = "after_ack_kill", for_s = {s}, how = "{a}"|kill|timed|taken|taken gone',
    'kind = "after_ack_wipe", for_s = {s}|',
    'kind = "clock_step", share = 0.4, x = 2500.0, for_s = {s}, how = "{a}"|back|ahead',
    'kind = "reset_conns", share = 0.4, x = 0.6|',
    'kind = "core_cut", count = 1, for_s = {s}, how = "{a}"|all|near|one_way|leader race|both',
    'kind = "node_cut", share = 0.3, for_s = {s}, how = "{a}"|all|servers|meet',
    'kind = "node_slow", share = 0.3, x = 5.0, for_s = {s}|',
    'kind = "hup", share = 0.5, gap_s = 0.5|',
)
TARGET_FAULTS = (
    'kind = "srv_crash", share = 0.2, for_s = {s}, how = "{a}"|dark|gone|domain',
    'kind = "answer_lost", share = 0.5, x = 0.05, for_s = {s}, how = "{a}"|reset',
    'kind = "garble", share = 0.5, x = 0.03, for_s = {s}, how = "{a}"'
    "|extra|extra late|unframed|early",
    'kind = "srv_slow", share = 0.2, x = 4.0, for_s = {s}|',
    'kind = "srv_grey", share = 0.2, x = 0.4, for_s = {s}, how = "{a}"'
    "|errors|shed|busy|hang|reset|mute|slow",
    'kind = "srv_cut", share = 0.2, for_s = {s}, how = "{a}"|fronts|some|one_way|reset|some lossy',
    'kind = "replace_with_reuse", share = 0.15, how = "{a}"|drain|dark',
    'kind = "give_up", share = 0.3, x = 200.0, for_s = {s}|',
    'kind = "burst", x = 1.6, for_s = 4.0|',
)
PLANNED_WORK = (
    'kind = "config_change", how = "{a}"|route|weights|timeout|idle|quota',
    'kind = "config_storm", for_s = 3.0, gap_s = 0.3|',
    'kind = "big_config", count = 300|',
    'kind = "release", share = 0.4, x = 1.0, gap_s = 1.0|',
    'kind = "scale_in", share = 0.15, how = "{a}"|spot',
    'kind = "scale_out", share = 0.3, gap_s = 1.0|',
    'kind = "roll_term", share = 0.5, x = 1.0, gap_s = 1.2, how = "{a}"|busy',
    'kind = "retire", for_s = 8.0, how = "{a}"|wipe',
)
CLOSING_FAULTS = (
    'kind = "power_off_all", down_s = 1.0',
    'kind = "power_off_all", down_s = 0.6, how = "all taken"',
    'kind = "wipe_after_ack", down_s = 1.0, how = "oldest"',
    'kind = "kill_all", down_s = 1.0',
    'kind = "kill_all", down_s = 0.6, how = "timed"',
)


@dataclass(frozen=True)
class DayResult:
    """Result of a day: the bench's verdict line and the lines on violated rules."""

    name: str
    verdict: str
    broken: list[str]


def draw_entry(rng: random.Random, template: str, at: float) -> str:
    """Fill a template with drawn values; return an entry at second *at* of a day."""
    text, *variants = template.split("|")
    how = rng.choice(["", *[variant for variant in variants if variant]])
    filled = text.format(
        a=how, s=round(rng.uniform(2, 6), 1), l=round(rng.uniform(5, 10), 1), x=rng.randint(20, 70)
    )
    return f"  {{ at = {at:.2f}, {filled} }},"


def draw_day(seed: int) -> str:
    """Draw a day and return it in the TOML format of the users' bench."""
    rng = random.Random(seed)
    faults = []
    for family in (STORE_FAULTS, HOST_FAULTS, TARGET_FAULTS):
        template = rng.choice(family)
        first = rng.uniform(1, LENGTH_S * 0.6)
        times = [first, first + rng.uniform(4, 12)] if rng.random() < 0.5 else [first]
        faults += [draw_entry(rng, template, at) for at in times]
    for template in rng.sample(HOST_FAULTS + TARGET_FAULTS, 2):
        faults.append(draw_entry(rng, template, rng.uniform(1, LENGTH_S)))
    plan = [draw_entry(rng, t, rng.uniform(1, LENGTH_S - 6)) for t in rng.sample(PLANNED_WORK, 2)]
    lines = ["[[day]]", f'name = "own-{seed}"', f"seed = {rng.randint(1, 10**9)}"]
    if rng.random() < 0.5:
        lines.append(f"closing = {{ {rng.choice(CLOSING_FAULTS)} }}")
    lines += ["plan = [", *plan, "]", "faults = [", *faults, "]"]
    return "\n".join(lines) + "\n"


def play_day(bench: Path, site: Path, folder: Path, seed: int, why: str) -> DayResult:
    """Write a day to a file, run it and read the verdict; the output is kept beside it."""
    file = folder / f"own-{seed}.toml"
    file.write_text(draw_day(seed))
    command = [str(bench), "run", str(site), str(file), "--why", why]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    text = done.stdout + done.stderr
    (folder / f"own-{seed}.txt").write_text(text)
    verdict = next((row for row in text.splitlines() if row.startswith(f"own-{seed}")), text[-300:])
    broken = re.findall(r"^(?:rules broken|fault):.*", text, re.MULTILINE | re.IGNORECASE)
    return DayResult(f"own-{seed}", verdict, broken)


def main(
    bench: Annotated[Path, typer.Argument(help="The users' bench.")],
    site: Annotated[Path, typer.Argument(help="Site file.")],
    seed: Annotated[int, typer.Option(help="First seed.")] = 1,
    count: Annotated[int, typer.Option(help="Number of days to run.")] = 8,
    jobs: Annotated[int, typer.Option(help="Number of days run in parallel.")] = 4,
    folder: Annotated[Path, typer.Option(help="Folder for days and outputs.")] = Path("run/days"),
    why: Annotated[str, typer.Option(help="A line for the bench's journal.")] = "own days",
) -> None:
    """Run generated days and print which rules were violated."""
    folder.mkdir(parents=True, exist_ok=True)
    seeds = range(seed, seed + count)
    with ThreadPoolExecutor(jobs) as pool:
        for result in pool.map(lambda number: play_day(bench, site, folder, number, why), seeds):
            print(result.verdict, *result.broken, sep="\n  ")


if __name__ == "__main__":
    typer.run(main)

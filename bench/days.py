"""Writes days of trouble for the users' bench, drawn from a seed, and plays them.

Each day overlaps a trouble of the store, of hosts and of targets with planned work and, half
the time, a closing fault. ``python -m bench.days --help`` tells the options.
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
"""Seconds of traffic before a closing fault, on the deployments played so far."""

STORE = (
    'kind = "platform_down", for_s = {s}, how = "{a}"|silent busy reset|busy lapse',
    'kind = "platform_down", for_s = {l}, share = 0.35, how = "nodes {a}"|busy many reset silent',
    'kind = "platform_slow", x = {x}, for_s = {s}|',
    'kind = "platform_lost", x = 0.35, for_s = {s}, how = "{a}"|late',
    'kind = "platform_compact", x = 5.0, for_s = {l}, how = "{a}"|drain',
)
HOSTS = (
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
TARGETS = (
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
PLANS = (
    'kind = "config_change", how = "{a}"|route|weights|timeout|idle|quota',
    'kind = "config_storm", for_s = 3.0, gap_s = 0.3|',
    'kind = "big_config", count = 300|',
    'kind = "release", share = 0.4, x = 1.0, gap_s = 1.0|',
    'kind = "scale_in", share = 0.15, how = "{a}"|spot',
    'kind = "scale_out", share = 0.3, gap_s = 1.0|',
    'kind = "roll_term", share = 0.5, x = 1.0, gap_s = 1.2, how = "{a}"|busy',
    'kind = "retire", for_s = 8.0, how = "{a}"|wipe',
)
CLOSINGS = (
    'kind = "power_off_all", down_s = 1.0',
    'kind = "power_off_all", down_s = 0.6, how = "all taken"',
    'kind = "wipe_after_ack", down_s = 1.0, how = "oldest"',
    'kind = "kill_all", down_s = 1.0',
    'kind = "kill_all", down_s = 0.6, how = "timed"',
)


@dataclass(frozen=True)
class Played:
    """How a day ended."""

    name: str
    verdict: str
    broken: list[str]


def draw_entry(rng: random.Random, template: str, at: float) -> str:
    """Return one entry of a day."""
    text, *variants = template.split("|")
    how = rng.choice(["", *[variant for variant in variants if variant]])
    filled = text.format(
        a=how, s=round(rng.uniform(2, 6), 1), l=round(rng.uniform(5, 10), 1), x=rng.randint(20, 70)
    )
    return f"  {{ at = {at:.2f}, {filled} }},"


def draw_day(seed: int) -> str:
    """Return a day as the users' bench reads it."""
    rng = random.Random(seed)
    faults = []
    for family in (STORE, HOSTS, TARGETS):
        template = rng.choice(family)
        first = rng.uniform(1, LENGTH_S * 0.6)
        times = [first, first + rng.uniform(4, 12)] if rng.random() < 0.5 else [first]
        faults += [draw_entry(rng, template, at) for at in times]
    for template in rng.sample(HOSTS + TARGETS, 2):
        faults.append(draw_entry(rng, template, rng.uniform(1, LENGTH_S)))
    plan = [draw_entry(rng, t, rng.uniform(1, LENGTH_S - 6)) for t in rng.sample(PLANS, 2)]
    lines = ["[[day]]", f'name = "own-{seed}"', f"seed = {rng.randint(1, 10**9)}"]
    if rng.random() < 0.5:
        lines.append(f"closing = {{ {rng.choice(CLOSINGS)} }}")
    lines += ["plan = [", *plan, "]", "faults = [", *faults, "]"]
    return "\n".join(lines) + "\n"


def play(bench: Path, site: Path, folder: Path, seed: int, why: str) -> Played:
    """Write a day, play it and read the verdict."""
    file = folder / f"own-{seed}.toml"
    file.write_text(draw_day(seed))
    command = [str(bench), "run", str(site), str(file), "--why", why]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    text = done.stdout + done.stderr
    (folder / f"own-{seed}.txt").write_text(text)
    verdict = next((row for row in text.splitlines() if row.startswith(f"own-{seed}")), text[-300:])
    broken = re.findall(r"^(?:rules broken|fault):.*", text, re.MULTILINE | re.IGNORECASE)
    return Played(f"own-{seed}", verdict, broken)


def main(
    bench: Annotated[Path, typer.Argument(help="The users' bench.")],
    site: Annotated[Path, typer.Argument(help="Site file.")],
    seed: Annotated[int, typer.Option(help="First seed.")] = 1,
    count: Annotated[int, typer.Option(help="Days to play.")] = 8,
    jobs: Annotated[int, typer.Option(help="Days at once.")] = 4,
    folder: Annotated[Path, typer.Option(help="Where days and reports go.")] = Path("run/days"),
    why: Annotated[str, typer.Option(help="A line for the bench's journal.")] = "own days",
) -> None:
    """Play days of trouble and tell which rules broke."""
    folder.mkdir(parents=True, exist_ok=True)
    seeds = range(seed, seed + count)
    with ThreadPoolExecutor(jobs) as pool:
        for played in pool.map(lambda number: play(bench, site, folder, number, why), seeds):
            print(played.verdict, *played.broken, sep="\n  ")


if __name__ == "__main__":
    typer.run(main)

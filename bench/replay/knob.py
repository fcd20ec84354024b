"""Effect of the setting ``sharing.tail_preference`` on slack used and online latency.

``python -m bench.replay.knob`` writes a table and a plot to docs/measurements.
"""

from __future__ import annotations

import dataclasses
import sys

import matplotlib

from .plots import MEASUREMENTS_FOLDER
from .results import Figures, run_baseline, run_policy
from .scenarios import make_scenarios

matplotlib.use("Agg")
from matplotlib import pyplot

PREFERENCES = (0.0, 0.25, 0.5, 0.75, 1.0)
SCENARIOS = ("kasitoo-steady", "kasitoo-bursts", "lanternby-bursts")
SEEDS = (1, 2)


def main() -> int:
    """Replay the scenarios with every preference and write the table and the plot."""
    scenarios = make_scenarios(0.5)
    lines = [
        "# The knob `sharing.tail_preference`",
        "",
        "Written by `python -m bench.replay.knob`: means over seeds 1 and 2, scale 0.5.",
        "",
        "| trace | preference | slack used | harm p99 first token | harm p95 first token | "
        "harm p50 first token | cancels | preemptions |",
        "|---|---|---|---|---|---|---|---|",
    ]
    figure, axis = pyplot.subplots(figsize=(7, 5))
    for name in SCENARIOS:
        slack, harm = [], []
        for preference in PREFERENCES:
            shape = dataclasses.replace(scenarios[name].shape, tail_preference=preference)
            scenario = dataclasses.replace(scenarios[name], shape=shape)
            rows = [
                run_policy(scenario, "gradepoint", seed, run_baseline(scenario, seed))
                for seed in SEEDS
            ]
            slack.append(_mean(rows, "slack_used"))
            harm.append(_mean(rows, "harm_p95_first_token"))
            lines.append(
                f"| {name} | {preference} | {slack[-1]:.3f} | "
                f"{_mean(rows, 'harm_p99_first_token'):.3f} | {harm[-1]:.3f} | "
                f"{_mean(rows, 'harm_p50_first_token'):.3f} | {_mean(rows, 'cancels'):.0f} | "
                f"{_mean(rows, 'preemptions'):.0f} |"
            )
        axis.plot(harm, slack, marker="o", label=name)
    axis.set_xlabel("harm p95 first token")
    axis.set_ylabel("slack used")
    axis.legend()
    figure.tight_layout()
    figure.savefig(MEASUREMENTS_FOLDER / "knob.svg")
    (MEASUREMENTS_FOLDER / "knob.md").write_text("\n".join(lines) + "\n")
    print("\n".join(lines))
    return 0


def _mean(rows: list[Figures], name: str) -> float:
    return float(sum(getattr(row, name) for row in rows) / len(rows))


if __name__ == "__main__":
    sys.exit(main())

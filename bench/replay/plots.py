"""Writes the table and plots of the replays to docs/measurements."""

from __future__ import annotations

from pathlib import Path

import matplotlib

from .results import Figures

matplotlib.use("Agg")
from matplotlib import pyplot

MEASUREMENTS_FOLDER = Path(__file__).resolve().parents[2] / "docs" / "measurements"


def write_table(rows: list[Figures]) -> None:
    """Write all results as a Markdown table."""
    MEASUREMENTS_FOLDER.mkdir(parents=True, exist_ok=True)
    columns = (
        "trace",
        "policy",
        "slack used",
        "harm p99 first token",
        "harm p99 between tokens",
        "harm p50 first / between",
        "first token ≤ 0.58 s",
        "between ≤ 79 ms",
        "retries",
        "prefix hits",
        "refused",
        "cancels",
        "preemptions",
    )
    lines = [
        "# Replay results",
        "",
        "Written by `make replay`. Harm is the quantile with batch over the same quantile of",
        "the no-batch run; slack used is explained in docs/design/sharing.md.",
        "",
        "| " + " | ".join(columns) + " |",
        "|" + "---|" * len(columns),
    ]
    for row in rows:
        refused = ", ".join(f"{name} {count}" for name, count in row.refused.items()) or "0"
        cells = (
            row.trace,
            row.policy,
            f"{row.slack_used:.3f}",
            f"{row.harm_p99_first_token:.3f}",
            f"{row.harm_p99_between_tokens:.3f}",
            f"{row.harm_p50_first_token:.2f} / {row.harm_p50_between_tokens:.2f}",
            f"{row.first_token_attainment:.3f}",
            f"{row.between_attainment:.3f}",
            f"{row.retry_amplification:.3f}",
            f"{row.prefix_hits:.2f}",
            refused,
            str(row.cancels),
            str(row.preemptions),
        )
        lines.append("| " + " | ".join(cells) + " |")
    (MEASUREMENTS_FOLDER / "replay.md").write_text("\n".join(lines) + "\n")


def write_plots(rows: list[Figures]) -> None:
    """Plot slack used against harm, with a point for each trace and policy."""
    figure, axes = pyplot.subplots(1, 2, figsize=(12, 5), sharey=True)
    policies = list(dict.fromkeys(row.policy for row in rows))
    for axis, name in zip(axes, ("harm_p99_first_token", "harm_p99_between_tokens"), strict=True):
        for policy in policies:
            chosen = [row for row in rows if row.policy == policy]
            axis.scatter(
                [getattr(row, name) for row in chosen],
                [row.slack_used for row in chosen],
                label=policy,
                s=28,
                alpha=0.8,
            )
        axis.axvline(1.05, color="grey", linestyle=":")
        axis.set_xlabel(name.replace("_", " "))
        axis.set_xlim(0.8, 2.5)
    axes[0].set_ylabel("slack used")
    axes[0].legend()
    figure.tight_layout()
    figure.savefig(MEASUREMENTS_FOLDER / "replay.svg")
    pyplot.close(figure)

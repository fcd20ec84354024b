"""Runs the same fault scenarios ("days") on several checkouts and compares them pairwise.

The users' bench, an external program, runs the days. The checkouts take turns, so that a drift of
the machine's speed affects all of them. See ``python -m bench.rounds --help`` for the options.
"""

from __future__ import annotations

import math
import subprocess
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from itertools import product
from pathlib import Path
from statistics import mean, stdev
from typing import TYPE_CHECKING, Annotated, Any

import msgspec
import typer

if TYPE_CHECKING:
    from collections.abc import Callable

SIGNIFICANT_ERRORS = 2.0
"""Number of standard errors above which a paired difference is marked as significant."""
DOMAIN_TRAFFIC_PRICE = "GB between zones"
"""The bench's name for the cost of bytes sent between failure domains."""


class DayResult(msgspec.Struct, frozen=True):
    """The bench's result of one day on one checkout; the fields are the keys of the JSON output.

    :ivar worth: overall score; NaN for a day that a fault ended early.
    :ivar broken: names of the rules that were violated.
    :ivar fault: the fault that ended the day early, if any.
    :ivar prices: deductions from the score, by the bench's name.
    :ivar late: number of late calls and items by class.
    :ivar lost: number of calls and items without a success by class.
    :ivar windows: score of each part of the day, by its first second.
    :ivar run_again: number of repeated runs over all services.
    :ivar gigabytes: gigabytes sent between failure domains.
    """

    version: str
    site: str
    day: str
    seed: int
    worth: float
    broken: list[str]
    fault: str | None
    prices: dict[str, float]
    late: dict[str, int]
    lost: dict[str, int]
    windows: dict[str, float]
    arrivals: int
    run_again: int
    gigabytes: float


@dataclass(frozen=True)
class Checkout:
    """A checkout of the project in *folder*, which days are run on."""

    name: str
    folder: Path


def read_report(raw: bytes, version: str, site: str, day: str, seed: int) -> DayResult:
    """Parse the bench's JSON report of one day."""
    report: dict[str, Any] = msgspec.json.decode(raw)
    return DayResult(
        version=version,
        site=site,
        day=day,
        seed=seed,
        worth=math.nan if report["G"] is None else report["G"],
        broken=sorted(report["breaks"]),
        fault=report["fault"],
        prices={name: cost for name, _, cost in report["prices"] if cost},
        late={row["name"]: row["late"] for row in report["classes"]},
        lost={row["name"]: row["refused"] + row["failed"] for row in report["classes"]},
        windows={row["name"]: row["worth"] for row in report["windows"]},
        arrivals=report["arrivals"],
        run_again=sum(row["again"] for row in report["services"]),
        gigabytes=next(
            (amount for name, amount, _ in report["prices"] if name == DOMAIN_TRAFFIC_PRICE), 0.0
        ),
    )


def play_day(
    bench: Path, checkout: Checkout, site: Path, day: str, seed: int, why: str
) -> DayResult | None:
    """Run one day on one core; return None if the bench wrote no report."""
    report = checkout.folder / "run" / f"{site.stem}-{Path(day).stem}-{seed}.json"
    report.parent.mkdir(exist_ok=True)
    report.unlink(missing_ok=True)
    options = ["--seed", str(seed), "--report", str(report), "--why", f"{why} ({checkout.name})"]
    options += ["--jobs", "1"]
    subprocess.run(
        [str(bench), "run", str(site), day, *options],
        cwd=checkout.folder,
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
        check=False,
    )
    if not report.exists():
        return None
    return read_report(report.read_bytes(), checkout.name, site.stem, day, seed)


def describe_difference(pairs: list[tuple[float, float]]) -> str:
    """Format the means of old and new and the mean difference with its standard error.

    A star marks a difference above :data:`SIGNIFICANT_ERRORS` standard errors.
    """
    old, new = mean(pair[0] for pair in pairs), mean(pair[1] for pair in pairs)
    differences = [pair[1] - pair[0] for pair in pairs]
    if len(pairs) < 2:
        return f"{old:9.4f} {new:9.4f} {differences[0]:+9.4f}"
    error = stdev(differences) / len(pairs) ** 0.5
    counts = "*" if abs(mean(differences)) > SIGNIFICANT_ERRORS * error else ""
    return f"{old:9.4f} {new:9.4f} {mean(differences):+9.4f} +- {error:.4f} {counts}"


def print_comparison(pairs: list[tuple[DayResult, DayResult]]) -> None:
    """Print the differences of the score by day, and of all figures over all days."""

    def row(
        name: str, day_pairs: list[tuple[DayResult, DayResult]], read: Callable[[DayResult], float]
    ) -> None:
        print(f"  {name:34}{describe_difference([(read(a), read(b)) for a, b in day_pairs])}")

    print(f"  {'':34}{'old':>9} {'new':>9} {'new - old':>9}")
    for site, day in sorted({(old.site, old.day) for old, _ in pairs}):
        day_pairs = [pair for pair in pairs if (pair[0].site, pair[0].day) == (site, day)]
        row(f"{site} {day} ({len(day_pairs)})", day_pairs, lambda result: result.worth)
    row(f"worth of all ({len(pairs)})", pairs, lambda result: result.worth)
    for price in sorted({name for pair in pairs for result in pair for name in result.prices}):
        row(
            f"price: {price[:26]}", pairs, lambda result, price=price: result.prices.get(price, 0.0)
        )  # type: ignore[misc]
    for kind in sorted(pairs[0][0].late):
        row(f"late: {kind}", pairs, lambda result, kind=kind: result.late.get(kind, 0))  # type: ignore[misc]
        row(f"lost: {kind}", pairs, lambda result, kind=kind: result.lost.get(kind, 0))  # type: ignore[misc]
    row("worst two windows", pairs, lambda result: mean(sorted(result.windows.values())[:2]))
    row("arrivals at targets", pairs, lambda result: result.arrivals)
    row("run again", pairs, lambda result: result.run_again)
    row("MB between failure domains", pairs, lambda result: result.gigabytes * 1000)


def pair_results(
    old: list[DayResult | None], new: list[DayResult | None]
) -> list[tuple[DayResult, DayResult]]:
    """Return the pairs of results of the same day and seed that both ran to their end."""
    return [
        (a, b)
        for a, b in zip(old, new, strict=True)
        if a is not None and b is not None and a.fault is None and b.fault is None
    ]


def main(
    bench: Annotated[Path, typer.Option(help="The users' bench.")],
    old: Annotated[Path, typer.Option(help="Checkout that is the baseline.")],
    new: Annotated[list[Path], typer.Option(help="Checkout to measure; may be given again.")],
    site: Annotated[list[Path], typer.Option(help="Site file; may be given again.")],
    day: Annotated[list[str], typer.Option(help="Day of the site; may be given again.")],
    why: Annotated[str, typer.Option(help="Purpose of the round, for the bench's journal.")],
    seeds: Annotated[int, typer.Option(help="Seeds of each day, from 1 on.")] = 4,
    jobs: Annotated[int, typer.Option(help="Number of days run in parallel.")] = 6,
    out: Annotated[Path, typer.Option(help="File for all results as JSON.")] = Path(
        "run/rounds.json"
    ),
) -> None:
    """Run a round and print the paired differences; a star marks those above twice their error.

    Each new checkout is compared with the same results of the old one, for instance in an ablation.
    """
    checkouts = [Checkout("old", old.resolve())]
    checkouts += [Checkout(folder.resolve().name, folder.resolve()) for folder in new]
    work = list(product(site, day, range(1, seeds + 1), checkouts))
    with ThreadPoolExecutor(jobs) as pool:
        results = list(
            pool.map(
                lambda row: play_day(bench, row[3], row[0].resolve(), row[1], row[2], why),
                work,
            )
        )
    out.parent.mkdir(exist_ok=True)
    out.write_bytes(msgspec.json.format(msgspec.json.encode(results)))
    for number, checkout in enumerate(checkouts[1:], start=1):
        print(checkout.name)
        pairs = pair_results(results[:: len(checkouts)], results[number :: len(checkouts)])
        if pairs:
            print_comparison(pairs)
    for result in results:
        if result is None or result.broken or result.fault:
            print(f"  RED: {result}")


if __name__ == "__main__":
    typer.run(main)

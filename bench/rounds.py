"""Plays the same days on several checkouts and compares them pair by pair.

Days are played by the users' bench, the checkouts in turn, so that a drift of this machine's
speed falls on both. ``python -m bench.rounds --help`` tells the options.
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

KEPT_ERRORS = 2.0
"""Standard errors that a paired difference has to reach to count."""
BETWEEN_DOMAINS = "GB between zones"
"""The bench's name of the price on bytes between failure domains."""


class Play(msgspec.Struct, frozen=True):
    """What one checkout made of one day.

    :ivar worth: NaN for a day that a fault ended.
    :ivar prices: what was taken off, by the bench's name of the price.
    :ivar late: late calls and items by class, and *lost* those without a success.
    :ivar windows: worth of each part of the day, by its first second.
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
    """A version of the project to be played."""

    name: str
    folder: Path


def read_report(raw: bytes, version: str, site: str, day: str, seed: int) -> Play:
    """Read the bench's report of one day."""
    told: dict[str, Any] = msgspec.json.decode(raw)
    return Play(
        version=version,
        site=site,
        day=day,
        seed=seed,
        worth=math.nan if told["G"] is None else told["G"],
        broken=sorted(told["breaks"]),
        fault=told["fault"],
        prices={name: cost for name, _, cost in told["prices"] if cost},
        late={row["name"]: row["late"] for row in told["classes"]},
        lost={row["name"]: row["refused"] + row["failed"] for row in told["classes"]},
        windows={row["name"]: row["worth"] for row in told["windows"]},
        arrivals=told["arrivals"],
        run_again=sum(row["again"] for row in told["services"]),
        gigabytes=next(
            (amount for name, amount, _ in told["prices"] if name == BETWEEN_DOMAINS), 0.0
        ),
    )


def play(bench: Path, checkout: Checkout, site: Path, day: str, seed: int, why: str) -> Play | None:
    """Play one day on one core; None if the bench gave no report."""
    report = checkout.folder / "run" / f"{site.stem}-{Path(day).stem}-{seed}.json"
    report.parent.mkdir(exist_ok=True)
    report.unlink(missing_ok=True)
    told = ["--seed", str(seed), "--report", str(report), "--why", f"{why} ({checkout.name})"]
    told += ["--jobs", "1"]
    subprocess.run(
        [str(bench), "run", str(site), day, *told],
        cwd=checkout.folder,
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
        check=False,
    )
    if not report.exists():
        return None
    return read_report(report.read_bytes(), checkout.name, site.stem, day, seed)


def describe_difference(pairs: list[tuple[float, float]]) -> str:
    """Return means of old and new, and the paired difference with its standard error."""
    old, new = mean(pair[0] for pair in pairs), mean(pair[1] for pair in pairs)
    differences = [pair[1] - pair[0] for pair in pairs]
    if len(pairs) < 2:
        return f"{old:9.4f} {new:9.4f} {differences[0]:+9.4f}"
    error = stdev(differences) / len(pairs) ** 0.5
    counts = "*" if abs(mean(differences)) > KEPT_ERRORS * error else ""
    return f"{old:9.4f} {new:9.4f} {mean(differences):+9.4f} +- {error:.4f} {counts}"


def print_comparison(pairs: list[tuple[Play, Play]]) -> None:
    """Print what differs, by day and over all days."""

    def row(name: str, some: list[tuple[Play, Play]], read: Callable[[Play], float]) -> None:
        print(f"  {name:34}{describe_difference([(read(a), read(b)) for a, b in some])}")

    print(f"  {'':34}{'old':>9} {'new':>9} {'new - old':>9}")
    for site, day in sorted({(old.site, old.day) for old, _ in pairs}):
        some = [pair for pair in pairs if (pair[0].site, pair[0].day) == (site, day)]
        row(f"{site} {day} ({len(some)})", some, lambda found: found.worth)
    row(f"worth of all ({len(pairs)})", pairs, lambda found: found.worth)
    for price in sorted({name for pair in pairs for found in pair for name in found.prices}):
        row(f"price: {price[:26]}", pairs, lambda found, price=price: found.prices.get(price, 0.0))  # type: ignore[misc]
    for kind in sorted(pairs[0][0].late):
        row(f"late: {kind}", pairs, lambda found, kind=kind: found.late.get(kind, 0))  # type: ignore[misc]
        row(f"lost: {kind}", pairs, lambda found, kind=kind: found.lost.get(kind, 0))  # type: ignore[misc]
    row("worst two windows", pairs, lambda found: mean(sorted(found.windows.values())[:2]))
    row("arrivals at targets", pairs, lambda found: found.arrivals)
    row("run again", pairs, lambda found: found.run_again)
    row("MB between failure domains", pairs, lambda found: found.gigabytes * 1000)


def pair_plays(old: list[Play | None], new: list[Play | None]) -> list[tuple[Play, Play]]:
    """Return the pairs of the same day and seed of which both were played to their end."""
    return [
        (a, b)
        for a, b in zip(old, new, strict=True)
        if a is not None and b is not None and a.fault is None and b.fault is None
    ]


def main(
    bench: Annotated[Path, typer.Option(help="The users' bench.")],
    old: Annotated[Path, typer.Option(help="Checkout to compare with.")],
    new: Annotated[list[Path], typer.Option(help="Checkout to measure; may be given again.")],
    site: Annotated[list[Path], typer.Option(help="Site file; may be given again.")],
    day: Annotated[list[str], typer.Option(help="Day of the site; may be given again.")],
    why: Annotated[str, typer.Option(help="What the round is to show.")],
    seeds: Annotated[int, typer.Option(help="Seeds of each day, from 1 on.")] = 4,
    jobs: Annotated[int, typer.Option(help="Days played at once.")] = 6,
    out: Annotated[Path, typer.Option(help="Every play as JSON.")] = Path("run/rounds.json"),
) -> None:
    """Play a round and print the paired differences; a star marks those above twice their error.

    Several checkouts are each compared with the same plays of the old one, as for an ablation.
    """
    checkouts = [Checkout("old", old.resolve())]
    checkouts += [Checkout(folder.resolve().name, folder.resolve()) for folder in new]
    work = list(product(site, day, range(1, seeds + 1), checkouts))
    with ThreadPoolExecutor(jobs) as pool:
        plays = list(
            pool.map(
                lambda row: play(bench, row[3], row[0].resolve(), row[1], row[2], why),
                work,
            )
        )
    out.parent.mkdir(exist_ok=True)
    out.write_bytes(msgspec.json.format(msgspec.json.encode(plays)))
    for number, checkout in enumerate(checkouts[1:], start=1):
        print(checkout.name)
        pairs = pair_plays(plays[:: len(checkouts)], plays[number :: len(checkouts)])
        if pairs:
            print_comparison(pairs)
    for found in plays:
        if found is None or found.broken or found.fault:
            print(f"  RED: {found}")


if __name__ == "__main__":
    typer.run(main)

"""``python -m bench.soak``: play seeded soaks and print what broke."""

from __future__ import annotations

import asyncio
import secrets
from pathlib import Path
from typing import Annotated

import typer

from .organisations import Organisations
from .run import Soak

EXIT_BROKEN = 1


def main(
    seed: Annotated[int, typer.Option(help="First seed; 0 draws one.")] = 0,
    count: Annotated[int, typer.Option(help="Runs.")] = 1,
    seconds: Annotated[float, typer.Option(help="Seconds of faults in each run.")] = 8.0,
    gateways: Annotated[int, typer.Option(help="Gateway processes.")] = 3,
    callers: Annotated[int, typer.Option(help="Callers at once.")] = 6,
    organisations: Annotated[bool, typer.Option(help="Callers have keys, one a quota.")] = False,
    harm: Annotated[bool, typer.Option(help="Send a request that ends its targets.")] = False,
    folder: Annotated[Path, typer.Option(help="Logs of each run go below.")] = Path("run/soak"),
) -> None:
    """Play soaks; a seed that breaks a promise is printed with its logs' folder."""
    first = seed or secrets.randbelow(10**6) + 1000
    failed: list[int] = []
    for number in range(first, first + count):
        soak = Soak(
            number,
            folder / str(number),
            faults_s=seconds,
            gateways=gateways,
            callers=callers,
            with_harm=harm,
            organisations=Organisations() if organisations else None,
        )
        broken = asyncio.run(soak.run())
        outcomes = ", ".join(f"{name}: {n}" for name, n in sorted(soak.ledger.outcomes.items()))
        troubles = ", ".join(f"{name}: {n}" for name, n in sorted(soak.done.items()))
        jobs = len(soak.ledger.accepted)
        print(f"seed {number}: {len(broken)} broken; jobs {jobs}; {outcomes}; caused {troubles}")
        for row in broken[:20]:
            print(f"  {row}")
        if broken:
            failed.append(number)
            print(f"  logs: {folder / str(number)}")
    print(f"{count - len(failed)} passed, {len(failed)} failed")
    if failed:
        raise typer.Exit(EXIT_BROKEN)


if __name__ == "__main__":
    typer.run(main)

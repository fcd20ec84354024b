"""``python -m bench.soak``: run seeded soaks and print the guarantees that were violated."""

from __future__ import annotations

import asyncio
import secrets
from collections import Counter
from pathlib import Path
from typing import Annotated

import typer

from .organisations import Organisations
from .power import OWING_S
from .run import Soak

EXIT_VIOLATIONS = 1


def main(
    seed: Annotated[int, typer.Option(help="First seed; 0 picks a random one.")] = 0,
    count: Annotated[int, typer.Option(help="Number of runs.")] = 1,
    seconds: Annotated[float, typer.Option(help="Seconds of faults in each run.")] = 8.0,
    gateways: Annotated[int, typer.Option(help="Number of gateway processes.")] = 3,
    data_hosts: Annotated[int, typer.Option(help="Number of data host processes.")] = 3,
    callers: Annotated[int, typer.Option(help="Number of concurrent callers.")] = 6,
    cores: Annotated[int, typer.Option(help="Cores that all programs share; 0 for all.")] = 0,
    organisations: Annotated[
        bool, typer.Option(help="Callers use API keys of two organisations, one with a quota.")
    ] = False,
    harm: Annotated[bool, typer.Option(help="Send a request that crashes its targets.")] = False,
    harmful_part: Annotated[
        bool, typer.Option(help="Send requests of which one part of the prompt crashes targets.")
    ] = False,
    early_ends: Annotated[
        bool, typer.Option(help="Targets end some streams inside an event, in order.")
    ] = False,
    versions: Annotated[
        bool,
        typer.Option(help="Targets have two software versions, and callers resume broken streams."),
    ] = False,
    sizes: Annotated[
        bool, typer.Option(help="Draw sizes of items, texts and the store's values from the seed.")
    ] = False,
    crashes: Annotated[
        bool, typer.Option(help="Targets end while they send streams without a length.")
    ] = False,
    bursts: Annotated[
        bool, typer.Option(help="Targets crash in bursts while they run long items.")
    ] = False,
    starts: Annotated[
        bool, typer.Option(help="Start programs again in trouble: used ports, cut settings, ...")
    ] = False,
    power: Annotated[
        bool,
        typer.Option(help="Programs lose power; calls are counted by the second afterwards."),
    ] = False,
    entries: Annotated[
        bool, typer.Option(help="Another writer leaves entries in the store; see --power, too.")
    ] = False,
    owing_seconds: Annotated[
        float, typer.Option(help="With --power: seconds in which owed items are submitted.")
    ] = OWING_S,
    folder: Annotated[Path, typer.Option(help="Parent folder of the runs' logs.")] = Path(
        "run/soak"
    ),
) -> None:
    """Run soaks; print each seed that violates a guarantee and the folder of its logs."""
    first = seed or secrets.randbelow(10**6) + 1000
    failed: list[int] = []
    for number in range(first, first + count):
        soak = Soak(
            number,
            folder / str(number),
            faults_s=seconds,
            gateways=gateways,
            data_host_count=data_hosts,
            callers=callers,
            cores=cores,
            with_harm=harm,
            with_harmful_part=harmful_part,
            with_early_ends=early_ends,
            with_versions=versions,
            with_sizes=sizes,
            with_crashes=crashes,
            with_bursts=bursts,
            with_starts=starts,
            with_power=power,
            with_entries=entries,
            owing_s=owing_seconds,
            organisations=Organisations() if organisations else None,
        )
        violations = asyncio.run(soak.run())
        outcomes = ", ".join(f"{name}: {n}" for name, n in sorted(soak.ledger.outcomes.items()))
        caused = soak.injected_faults + (soak.starts.counts if soak.starts else Counter())
        if soak.entries is not None:
            caused += soak.entries.counts
        if soak.power is not None:
            caused += soak.power.counts
            print(f"seed {number}: {soak.power.last}")
        injected = ", ".join(f"{name}: {n}" for name, n in sorted(caused.items()))
        jobs = len(soak.ledger.accepted)
        print(
            f"seed {number}: {len(violations)} broken; jobs {jobs}; {outcomes}; caused {injected}"
        )
        for row in violations[:20]:
            print(f"  {row}")
        if violations:
            failed.append(number)
            print(f"  logs: {folder / str(number)}")
    print(f"{count - len(failed)} passed, {len(failed)} failed")
    if failed:
        raise typer.Exit(EXIT_VIOLATIONS)


if __name__ == "__main__":
    typer.run(main)

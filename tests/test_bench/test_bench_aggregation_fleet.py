"""The bench of aggregation runs a small fleet and finds no change unknown."""

from __future__ import annotations

from bench.aggregation_fleet import make_parser, record, replay, run_fleet
from gradepoint.standins.virtual_time import run_virtual

OPTIONS = [
    "--targets",
    "5",
    "--organisations",
    "7",
    "--warm-s",
    "1",
    "--run-s",
    "1",
    "--delays",
    "2",
    "--seed",
    "3",
]


def test_changes_reach_all_hosts_of_a_small_fleet() -> None:
    figures = run_virtual(run_fleet(make_parser().parse_args([*OPTIONS, "--cut"]), 6))
    assert figures["delay_ms"]["longest"] < 1000
    assert all(max(delays) < 1000 for delays in figures["delay_ms_after_loss"].values())
    assert figures["sent"]["busiest"] > figures["sent"]["median"] > 0
    assert figures["entries"]["reports"] == 6


def test_allocations_of_an_aggregator_are_listed_by_site() -> None:
    arguments = make_parser().parse_args(OPTIONS)
    net, address = run_virtual(record(arguments, 6))
    assert run_virtual(replay(arguments, net, address))[0].startswith("total ")

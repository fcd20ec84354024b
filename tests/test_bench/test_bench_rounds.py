"""Tests of the pairwise comparison of checkouts."""

from __future__ import annotations

import math

import msgspec

from bench.rounds import describe_difference, pair_results, read_report

REPORT = {
    "G": 0.75,
    "breaks": {"LOST": 1},
    "fault": None,
    "prices": [["GB between zones", 0.02, 0.015], ["exits of its own", 0.0, 0.0]],
    "classes": [{"name": "chat", "late": 3, "refused": 1, "failed": 2}],
    "windows": [{"name": "0", "worth": 0.5}, {"name": "2", "worth": 1.0}],
    "arrivals": 9,
    "services": [{"again": 4}, {"again": 1}],
}


def test_report_is_parsed() -> None:
    found = read_report(msgspec.json.encode(REPORT), "new", "site", "day", 2)
    assert (found.worth, found.broken, found.prices) == (
        0.75,
        ["LOST"],
        {"GB between zones": 0.015},
    )
    assert (found.late, found.lost, found.run_again) == ({"chat": 3}, {"chat": 3}, 5)
    assert found.gigabytes == 0.02


def test_day_ended_by_a_fault_is_left_out_of_the_pairs() -> None:
    whole = read_report(msgspec.json.encode(REPORT), "old", "site", "day", 1)
    ended = {**REPORT, "G": None, "fault": "crash loop"}
    broken_off = read_report(msgspec.json.encode(ended), "new", "site", "day", 1)
    assert math.isnan(broken_off.worth)
    assert pair_results([whole, whole, None], [whole, broken_off, whole]) == [(whole, whole)]


def test_only_a_difference_above_twice_its_standard_error_is_marked() -> None:
    clear = describe_difference([(0.5, 0.6), (0.7, 0.81), (0.2, 0.29)])
    chance = describe_difference([(0.5, 0.6), (0.7, 0.6), (0.2, 0.3)])
    assert clear.endswith("*") and "+0.1000" in clear
    assert not chance.endswith("*")
    assert describe_difference([(0.5, 0.6)]).endswith("+0.1000")

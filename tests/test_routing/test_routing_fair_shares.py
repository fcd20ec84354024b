"""Fair shares of organisations: the level is fair and uses all room, and no call is starved."""

from __future__ import annotations

import math

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from bench.share_replay import LOADS, Design, Load, replay
from gradepoint.ids import OrganisationNumber
from gradepoint.routing.fair_shares import (
    MAX_SHARES,
    EvenAdmission,
    compute_rank_room,
    compute_shares,
    find_level,
    select_largest_demands,
)

DEMANDS = st.dictionaries(
    st.integers(0, 2**32 - 1).map(OrganisationNumber), st.floats(0.1, 500.0), max_size=80
)
ROOM = st.floats(1.0, 500.0)


@given(demands=DEMANDS, room=ROOM)
def test_level_is_the_largest_that_fits(
    demands: dict[OrganisationNumber, float], room: float
) -> None:
    def use(level: float) -> float:
        return sum(min(demand, level) for demand in demands.values())

    level = find_level(demands.values(), room)
    if math.isinf(level):
        assert use(level) <= room * (1 + 1e-9)
    else:
        assert use(level) <= room * (1 + 1e-9)
        assert use(level * 1.001 + 1e-6) > room * (1 - 1e-9)


@given(demands=DEMANDS, room=ROOM)
def test_shares_limit_only_organisations_above_the_level(
    demands: dict[OrganisationNumber, float], room: float
) -> None:
    level = find_level(demands.values(), room)
    shares = compute_shares(demands, room)
    above = [number for number, demand in demands.items() if demand > level]
    assert set(shares) <= set(above)
    assert len(shares) == min(MAX_SHARES, len(above))
    # An organisation gets its level less a rounding to whole per cent, and never nothing.
    for number, percent in shares.items():
        admitted = demands[number] * percent / 100
        assert admitted <= max(level, demands[number] / 100) * (1 + 1e-9)
        assert admitted > level - demands[number] / 100 - 1e-9
        assert percent >= 1
    if len(above) <= MAX_SHARES:
        used = sum(demand * shares.get(row, 100) / 100 for row, demand in demands.items())
        smallest = sum(demands[row] for row, percent in shares.items() if percent == 1) / 100
        assert used <= room * (1 + 1e-9) + smallest


@given(phase=st.integers(0, 99), percent=st.integers(1, 100))
def test_admission_is_evenly_spaced(phase: int, percent: int) -> None:
    # Random admission would refuse some organisations' calls many times in a row.
    admission = EvenAdmission(phase)
    admitted = [admission.admits(percent) for _ in range(100)]
    assert sum(admitted) == percent
    gaps = "".join("x" if row else "." for row in admitted).split("x")
    assert max(len(gap) for gap in gaps) <= math.ceil(100 / percent)


@given(room=ROOM, rank=st.integers(0, 1000))
def test_rank_leaves_most_room_to_calls_of_any_rank(room: float, rank: int) -> None:
    assert room * 0.7 <= compute_rank_room(room, rank) * (1 + 1e-9)
    assert compute_rank_room(room, rank + 1) <= compute_rank_room(room, rank)
    assert compute_rank_room(room, 0) == room


def test_messages_are_bounded_at_3900_organisations() -> None:
    demands = {OrganisationNumber(2**32 - 1 - row): 100 + row for row in range(3900)}
    sent = select_largest_demands(demands)
    assert min(sent.values()) == 100 + 3900 - len(sent)
    assert len(msgspec.msgpack.encode(sent)) < 300
    shares = compute_shares({row: float(demand) for row, demand in demands.items()}, 100.0)
    assert len(msgspec.msgpack.encode(shares)) < 300


@pytest.mark.parametrize("load", ["83, one hot", "83, three hot", "3,900, three hot"])
def test_hot_organisations_displace_fewer_calls_of_others(load: str) -> None:
    with_shares, without = replay(LOADS[load], Design.SHARES, 1), replay(LOADS[load], Design.OFF, 1)
    assert with_shares.worth_of_usual > without.worth_of_usual + 0.01
    assert with_shares.worth > without.worth - 0.02
    assert with_shares.worst_tenth >= 0.8
    assert with_shares.worst >= 0.25


def test_no_organisation_is_shut_out_where_demand_exceeds_the_room_all_the_time() -> None:
    result = replay(LOADS["83, largest hot, fifth gone"], Design.DEFER, 1)
    assert result.worst >= 0.25
    assert result.worst_tenth >= 0.8


def test_nothing_changes_while_there_is_room() -> None:
    load = Load(length_s=20.0)
    assert replay(load, Design.SHARES, 1) == replay(load, Design.OFF, 1)

"""Tests of the choice of targets under square waves of calls.

The reports of other hosts on the load of targets arrive late.
"""

from __future__ import annotations

import pytest

from bench.crest_replay import SHAPES, STRATEGIES, replay
from gradepoint.gateway.choice import sample_weighted
from gradepoint.util.rng import new_rng


@pytest.mark.parametrize("shape", ["30 targets", "a fifth gone"])
def test_load_peaks_make_at_most_half_as_many_late_calls(shape: str) -> None:
    product, square, emptiest = (
        [replay(SHAPES[shape], STRATEGIES[way], seed) for seed in (1, 2)]
        for way in ("the product's", "drawn by the square", "emptiest")
    )
    late = [sum(row.late for row in rows) / sum(row.calls for row in rows) for rows in (product,)]
    others = [
        sum(row.late for row in rows) / sum(row.calls for row in rows)
        for rows in (square, emptiest)
    ]
    assert late[0] * 2 < min(others)


def test_draw_some_samples_without_replacement() -> None:
    rng = new_rng()
    for _ in range(50):
        assert len(set(sample_weighted(["a", "b", "c"], [3.0, 1.0, 1.0], 2, rng))) == 2
    assert sorted(sample_weighted(["a", "b"], [1.0, 1.0], 4, rng)) == ["a", "b"]
    assert sample_weighted([], [], 2, rng) == []

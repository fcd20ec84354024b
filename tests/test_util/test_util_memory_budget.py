"""The memory budget against a model: what fits is granted, and all of it comes back."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gradepoint.errors import GradepointError, Outcome
from gradepoint.util.memory_budget import (
    LARGE_BYTES,
    LARGE_SHARE,
    MemoryBudget,
    Purpose,
    Reservation,
)

LIMIT_BYTES = 10 * LARGE_BYTES
HOLDERS = 6
STEPS = st.lists(
    st.tuples(
        st.integers(0, HOLDERS - 1),
        st.sampled_from(["grow", "shrink", "release"]),
        st.integers(0, 4 * LARGE_BYTES),
    ),
    max_size=60,
)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(STEPS)
def test_reservations_never_exceed_the_limit_and_are_all_released(
    steps: list[tuple[int, str, int]],
) -> None:
    # A lost release would refuse all requests after some time, a double one would exceed memory.
    budget = MemoryBudget(LIMIT_BYTES)
    holders = [Reservation(budget, Purpose.BODY) for _ in range(HOLDERS)]
    held = [0] * HOLDERS
    for number, step, size in steps:
        if step == "grow":
            more = max(0, size - held[number])
            limit = LIMIT_BYTES * (LARGE_SHARE if size >= LARGE_BYTES else 1)
            if more and sum(held) + more > limit:
                with pytest.raises(GradepointError) as refused:
                    holders[number].grow(size)
                assert refused.value.outcome is Outcome.NOT_RUN
                assert refused.value.kind.status == 503 and refused.value.retry_after
            else:
                holders[number].grow(size)
                held[number] += more
        elif step == "shrink":
            holders[number].shrink(size)
            held[number] = min(size, held[number])
        else:
            holders[number].release()
            held[number] = 0
        assert budget.used_bytes == sum(held) <= LIMIT_BYTES
    for holder in holders:
        holder.release()
    assert budget.used_bytes == 0


def test_large_requests_leave_room_for_small_ones() -> None:
    # Slow callers with large bodies would keep all small requests out.
    budget = MemoryBudget(LIMIT_BYTES)
    while budget.reserve(LARGE_BYTES, Purpose.BODY):
        pass
    assert budget.used_bytes <= LIMIT_BYTES * LARGE_SHARE
    assert budget.reserve(LARGE_BYTES - 1, Purpose.BODY)


def test_holder_without_a_budget_reserves_nothing() -> None:
    holder = Reservation(None, Purpose.BODY)
    holder.grow(LIMIT_BYTES)
    assert holder.size == 0
    holder.release()

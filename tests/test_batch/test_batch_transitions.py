"""Model check of the chunk transitions: several holders, stale epochs, any order of actions.

Guards against a result that is replaced or duplicated by a holder that was mistaken for lost,
and against an item that is not repeatable and is sent twice.
"""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from result import Err, Ok

from gradepoint.batch.records import Bundle, ChunkRecord, JobRecord, JobState
from gradepoint.batch.transitions import (
    Refusal,
    cancel_job,
    claim_chunk,
    commit_results,
    finish_job,
    record_intents,
)

ITEMS = 8
HOLDERS = ("a", "b", "c")


class ChunkMachine(RuleBasedStateMachine):
    """Holders that may be mistaken for lost at any time act on one record.

    Each action uses the latest record. Duplicate results of a stale holder are therefore
    prevented by the transitions alone, not by the comparison of revisions.
    """

    @initialize()
    def begin(self) -> None:
        """Start with an unclaimed chunk."""
        self.chunk = ChunkRecord("job", 0, ITEMS)
        self.epochs: dict[str, int] = {}
        self.results: dict[int, str] = {}
        self.sent: dict[int, int] = {}
        self.highest_epoch = 0
        self.bundles = 0

    @rule(holder=st.sampled_from(HOLDERS), live=st.sets(st.sampled_from(HOLDERS)))
    def claim(self, holder: str, live: set[str]) -> None:
        """Claim a chunk with any set of hosts considered live."""
        claimed = claim_chunk(self.chunk, holder, "w", live - {holder})
        if isinstance(claimed, Ok):
            self.chunk = claimed.ok_value
            assert self.chunk.epoch > self.highest_epoch, "two claims share an epoch"
            self.highest_epoch = self.chunk.epoch
            self.epochs[holder] = self.chunk.epoch

    @rule(holder=st.sampled_from(HOLDERS), items=st.sets(st.integers(0, ITEMS - 1), min_size=1))
    def commit(self, holder: str, items: set[int]) -> None:
        """Commit under the epoch of the holder's last claim, however old it is."""
        if holder not in self.epochs:
            return
        self.bundles += 1
        name = f"{holder}-{self.bundles}"
        changed = commit_results(
            self.chunk, self.epochs[holder], Bundle(name, tuple(sorted(items)), 0)
        )
        if isinstance(changed, Err):
            return
        assert self.epochs[holder] == self.highest_epoch, "results of a stale holder were committed"
        for item in items:
            assert item not in self.results, "an item completed twice"
            self.results[item] = name
        self.chunk = changed.ok_value

    @rule(holder=st.sampled_from(HOLDERS), item=st.integers(0, ITEMS - 1))
    def send_not_repeatable(self, holder: str, item: int) -> None:
        """Record the intent of an item that is not repeatable and send it.

        Nothing is sent if an intent is already recorded.
        """
        if holder not in self.epochs or item in self.chunk.intents:
            return
        changed = record_intents(self.chunk, self.epochs[holder], [item])
        if isinstance(changed, Ok):
            self.chunk = changed.ok_value
            self.sent[item] = self.sent.get(item, 0) + 1
            assert item not in self.results, "an item with a result was sent"

    @invariant()
    def results_stay(self) -> None:
        """Committed results never change and are never duplicated."""
        if not hasattr(self, "chunk"):
            return
        listed = [item for bundle in self.chunk.bundles for item in bundle.items]
        assert len(listed) == len(set(listed))
        assert set(listed) == set(self.results)
        assert all(count == 1 for count in self.sent.values())
        assert self.chunk.complete == (len(self.results) == ITEMS)


ChunkMachine.TestCase.settings = settings(
    max_examples=200, stateful_step_count=60, deadline=None, derandomize=True
)
test_chunk_transitions = ChunkMachine.TestCase


def make_job(chunks: int) -> JobRecord:
    """Return a job in progress."""
    return JobRecord("job", "org", "file", "/v1/completions", "24h", "d", 0, 10, chunks, chunks)


def test_job_ends_once() -> None:
    cancelled = cancel_job(make_job(1), 5).ok_value
    assert cancelled is not None and cancelled.state is JobState.CANCELLED
    done = ChunkRecord("job", 0, 1, bundles=(Bundle("h", (0,), 0),))
    assert finish_job(cancelled, [done], 6) == Err(Refusal.JOB_ENDED)
    assert cancel_job(cancelled, 7) == Err(Refusal.JOB_ENDED)


def test_job_finishes_only_when_every_chunk_is_complete() -> None:
    done = ChunkRecord("job", 0, 1, bundles=(Bundle("h", (0,), 1),))
    open_chunk = ChunkRecord("job", 1, 1)
    assert finish_job(make_job(2), [done], 1) == Err(Refusal.NOT_COMPLETE)
    assert finish_job(make_job(2), [done, open_chunk], 1) == Err(Refusal.NOT_COMPLETE)
    ended = finish_job(make_job(1), [done], 1).ok_value
    assert ended is not None and (ended.completed, ended.failed) == (0, 1)

"""Deltas produce exactly the document they were made from, or are rejected."""

from __future__ import annotations

import random

import msgspec
import pytest

from gradepoint.config.delta import apply_delta, encode_document, make_delta
from gradepoint.config.document import (
    Document,
    KeyHash,
    Model,
    ModelVersion,
    Organisation,
    Service,
    Sharing,
    Target,
    TargetState,
)
from gradepoint.config.versions import ConfigRecord
from gradepoint.fleet.config_history import VERSIONS_KEPT, ConfigHistory


def make_document(rng: random.Random, size: int = 12) -> Document:
    """Return a random document."""
    names = [f"n{number}" for number in rng.sample(range(size * 2), size)]
    return Document(
        1,
        f"doc-{rng.randrange(3)}",
        [Model("m", [ModelVersion("v1", "w"), ModelVersion("v2", "w")], rng.choice(["v1", "v2"]))],
        [
            Target(
                name, f"http://10.0.0.1:{n + 1}", "d", ["m"], state=rng.choice(list(TargetState))
            )
            for n, name in enumerate(names)
        ],
        [Organisation(name, [KeyHash("ab" * 8, f"{rng.randrange(3):064x}")]) for name in names],
        services=[Service("s", ["http://10.0.0.2:1"])] if rng.random() < 0.5 else [],
        sharing=Sharing(tail_preference=rng.choice([0.0, 0.5])),
    )


@pytest.mark.parametrize("seed", range(60))
def test_delta_reproduces_the_document(seed: int) -> None:
    # A wrong order of entries or a lost field would give hosts different documents under one
    # version number.
    rng = random.Random(seed)
    before, after = make_document(rng), make_document(rng)
    delta = make_delta(1, before, after)
    received = msgspec.msgpack.decode(msgspec.msgpack.encode(delta), type=type(delta))
    found = apply_delta(before, received)
    assert found is not None
    assert encode_document(found) == encode_document(after)


def test_delta_for_another_document_is_rejected() -> None:
    # Applied to another document than its base, a delta would give a document that no operator
    # applied; the digest prevents it.
    rng = random.Random(1)
    before, after, other = (make_document(rng) for _ in range(3))
    assert apply_delta(other, make_delta(1, before, after)) is None


def test_small_change_of_a_large_document_gives_a_small_delta() -> None:
    # Sending the whole document for every change would exceed the limit for control traffic.
    before = make_document(random.Random(1), size=2000)
    targets = [
        msgspec.structs.replace(before.targets[0], state=TargetState.DRAINING),
        *before.targets[1:],
    ]
    after = msgspec.structs.replace(before, targets=targets)
    delta = make_delta(1, before, after)
    assert len(msgspec.msgpack.encode(delta)) < 500
    assert len(encode_document(after)) > 300_000


def test_history_answers_with_a_delta_or_the_whole_document() -> None:
    # A host that is too far behind for a delta must get the whole document, or it would never
    # catch up.
    rng = random.Random(2)
    records = [ConfigRecord(n + 1, make_document(rng), "w", "op", n) for n in range(8)]
    history = ConfigHistory()
    for record in records:
        history.add(record)
    newest = records[-1]
    for have in records:
        answer = history.answer(newest, have.version)
        recent = newest.version - VERSIONS_KEPT < have.version < newest.version
        assert (answer.delta is not None) == recent
        assert history.extract_record(have, answer) == newest
    answer = history.answer(newest, newest.version - 1)
    assert history.extract_record(records[0], answer) is None

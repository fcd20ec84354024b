"""Model test of views: compares them with the store in random orders of concurrent operations.

The store raises its revision with each change. A view learns of changes from a watch, from reads
of all keys in pages, from reads that prove it current, and from other views. Watches may deliver
nothing for a while; afterwards the store no longer has the changes of that time. Every response is
made at one moment and arrives at a later one, interleaved with other responses.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable, Generator, Iterator
from dataclasses import dataclass, field
from typing import TypeVar

import pytest

from gradepoint.kv.service import KeyValue, RangeResult, WatchEvent
from gradepoint.kv.view import PrefixView
from tests.support.views import ValuesFollower

T = TypeVar("T")
KEYS = ("a", "b", "c", "d")
STEPS = 120
VIEWS = 3
ORDERS_PER_TEST = 250
"""Number of random orders that each test case runs; the seeds are fixed."""
FAILED_SEEDS = (1000013, 2000018, 2001137, 3000040)
"""Seeds of orders that left a view different from the store in earlier versions of the code."""


@dataclass
class StoreModel:
    """The store with the history of its changes.

    :ivar compacted_to: watches cannot start before this revision.
    :ivar watches_silent: watches return no changes.
    """

    revision: int = 1
    history: list[WatchEvent] = field(default_factory=list)
    compacted_to: int = 0
    watches_silent: bool = False

    def write(self, rng: random.Random) -> None:
        """Change one or two keys at once, or only raise the revision (a key of another prefix)."""
        self.revision += 1
        for key in rng.sample(KEYS, rng.choice((0, 1, 1, 1, 2))):
            exists = key in self.read()
            removed = exists and rng.random() < 0.4
            value = None if removed else str(self.revision).encode()
            self.history.append(WatchEvent(key, value, self.revision))

    def read(self) -> dict[str, KeyValue]:
        """Return the keys that exist now."""
        found: dict[str, KeyValue] = {}
        for event in self.history:
            if event.value is None:
                found.pop(event.key, None)
            else:
                found[event.key] = KeyValue(event.key, event.value, event.revision)
        return found

    def after(self, revision: int) -> list[WatchEvent] | None:
        """Return the changes after *revision*; None if they are no longer in the history."""
        if self.watches_silent:
            return []
        if revision < self.compacted_to:
            return None
        return [event for event in self.history if event.revision > revision]


class Host:
    """A host with a view, its watch and its calls in flight.

    :ivar proven: revision up to which the view is proven to hold every change.
    """

    def __init__(self, store: StoreModel, rng: random.Random, trace: list[str]) -> None:
        self.store, self.rng, self.trace = store, rng, trace
        self.name = ""
        self.copy = ValuesFollower()
        self.view = PrefixView(self.copy)
        self.proven = 0
        self.in_flight: list[Iterator[None]] = []
        self.watching: Iterator[None] | None = None

    def read_all(self) -> Iterator[RangeResult | None]:
        """Read the keys in two pages; other operations run between them."""
        revision = self.store.revision
        found: list[KeyValue] = []
        for page in (KEYS[:2], KEYS[2:]):
            now = self.store.read()
            found += [now[key] for key in page if key in now]
            yield None
        yield RangeResult(tuple(found), revision)

    def reset(self) -> Generator[None, None, int]:
        """Read all keys again; the generator returns the revision of the read."""
        *pages, result = yield from collect(self.read_all())
        assert result is not None and not any(pages)
        self.log(f"reset at {result.revision}: {[i.key + i.value.decode() for i in result.items]}")
        self.view.reset(result)
        return result.revision

    def watch(self) -> Iterator[None]:
        """Follow the keys without end, as :func:`gradepoint.kv.follow.follow` does."""
        revision = self.view.known_revision
        while True:
            page = self.store.after(revision)
            yield
            if page is None:
                revision = yield from self.reset()
                continue
            for event in page:
                self.log(f"watch {event.key} {event.value!r} {event.revision}")
                self.view.change(event)
                revision = max(revision, event.revision)
            yield

    def prove_current(self) -> Iterator[None]:
        """Read all keys to prove the view, as :class:`gradepoint.peers.proofs.Proofs` does."""
        asked_at = self.store.revision
        yield from self.reset()
        self.proven = max(self.proven, asked_at)

    def fetch(self, other: Host) -> Iterator[None]:
        """Fetch from another host what this view lacks."""
        asked_from = self.view.revision
        yield
        part, proven, digest = other.view.make_update(asked_from), other.proven, other.view.digest
        yield
        if part is not None:
            self.log(f"take from {other.name}: {part}")
            self.view.apply_update(part)
        self.receive_proof(proven, digest)

    def receive_heartbeat(self, other: Host) -> Iterator[None]:
        """Receive another host's proof in a heartbeat datagram."""
        proven, digest = other.proven, other.view.digest
        yield
        self.receive_proof(proven, digest)

    def receive_proof(self, proven: int, digest: int) -> None:
        """Apply a proof, as :meth:`gradepoint.peers.proofs.Proofs.receive` does."""
        if digest == self.view.digest:
            self.proven = max(self.proven, proven)

    def log(self, text: str) -> None:
        """Record a line for the report of a failure."""
        self.trace.append(f"{self.name}: {text}")

    def check(self) -> None:
        """Check that the view has every change up to its proof, or a later one of the same key."""
        assert self.copy.values == {key: item.value for key, item in self.view.items.items()}
        for key in KEYS:
            events = [event for event in self.store.history if event.key == key]
            before = [event for event in events if event.revision <= self.proven]
            if not before:
                continue
            held_value = self.copy.values.get(key)
            last = before[-1]
            if held_value is not None:
                assert int(held_value) >= last.revision, (key, held_value, last)
            elif last.value is not None:
                later = [event for event in events if event.revision > last.revision]
                assert any(event.value is None for event in later), (key, held_value, last)


def collect(work: Iterator[T]) -> Generator[None, None, list[T]]:
    """Let other operations run after each value of *work*; return all values."""
    collected = []
    for value in work:
        collected.append(value)
        yield
    return collected


def advance(host: Host, rng: random.Random) -> None:
    """Advance one of a host's calls in flight, chosen at random."""
    if not host.in_flight:
        return
    work = rng.choice(host.in_flight)
    if next(work, host) is host:
        host.in_flight.remove(work)


def run_order(seed: int) -> list[str]:
    """Run the random order of *seed*; return the trace."""
    rng = random.Random(seed)
    trace: list[str] = []
    store = StoreModel()
    for _ in range(rng.randrange(4)):
        store.write(rng)
    hosts = [Host(store, rng, trace) for _ in range(VIEWS)]
    if rng.random() < 0.5:
        for host in hosts:
            host.view.recent = deque(maxlen=512)
    for number, host in enumerate(hosts):
        host.name = f"host-{number}"
        deque(host.reset(), maxlen=0)
        host.proven = store.revision
    try:
        for _ in range(STEPS):
            step(store, hosts, rng, trace)
            for host in hosts:
                host.check()
        store.watches_silent = False
        for host in hosts:
            for work in host.in_flight:
                deque(work, maxlen=0)
            host.check()
        for host in hosts:
            deque(host.prove_current(), maxlen=0)
            host.check()
            assert host.copy.values == {key: item.value for key, item in store.read().items()}
    except AssertionError as error:
        lines = "\n".join(trace[-25:])
        raise AssertionError(f"seed {seed}: {error}\n{lines}") from error
    return trace


def step(store: StoreModel, hosts: list[Host], rng: random.Random, trace: list[str]) -> None:
    """Run one random operation."""
    host, other = rng.sample(hosts, 2)
    kinds: list[tuple[float, Callable[[], None]]] = [
        (4, lambda: store.write(rng)),
        (6, lambda: advance(host, rng)),
        (1.5, lambda: host.in_flight.append(host.prove_current())),
        (1.5, lambda: host.in_flight.append(host.fetch(other))),
        (1, lambda: host.in_flight.append(host.receive_heartbeat(other))),
        (0.3, lambda: host.in_flight.append(host.reset())),
        (0.5, lambda: setattr(host, "watching", host.watch())),
        (6, lambda: next(host.watching) if host.watching else None),
        (0.4, lambda: toggle_watch_silence(store, trace)),
    ]
    weights = [weight for weight, _ in kinds]
    rng.choices([action for _, action in kinds], weights)[0]()


def toggle_watch_silence(store: StoreModel, trace: list[str]) -> None:
    """Stop delivering changes to watches, or end that and drop the changes of the meantime."""
    if store.watches_silent:
        store.compacted_to = store.revision
    store.watches_silent = not store.watches_silent
    trace.append(
        f"store: {'silent' if store.watches_silent else f'compacted to {store.compacted_to}'}"
    )


@pytest.mark.parametrize("seed", FAILED_SEEDS)
def test_orders_that_failed_before(seed: int) -> None:
    run_order(seed)


def make_host(revision: int, **values: bytes) -> Host:
    """Return a host whose view has read *values*."""
    host = Host(StoreModel(), random.Random(1), [])
    host.view.reset(read(revision, **values))
    return host


def read(revision: int, **values: bytes) -> RangeResult:
    """Return the result of a full read."""
    return RangeResult(tuple(KeyValue(key, value, 1) for key, value in values.items()), revision)


def test_full_read_after_a_gap_removes_keys_that_other_hosts_saw_created() -> None:
    """The sender misses the creation and the deletion of a key; the receiver has seen only the
    creation. The difference between the two states of the sender does not contain the key, so a
    receiver that gets only the difference keeps it for good.
    """
    sender, receiver = make_host(10, a=b"10"), make_host(10, a=b"10")
    receiver.view.change(WatchEvent("b", b"11", 11))
    sender.view.reset(read(20, a=b"19"))
    part = sender.view.make_update(receiver.view.revision)
    assert part is not None
    receiver.view.apply_update(part)
    assert receiver.copy.values == {"a": b"19"}


def test_list_older_than_a_list_without_differences_is_ignored() -> None:
    """Two full reads around the creation and deletion of a key arrive in reverse order."""
    host = make_host(10, a=b"10")
    host.view.reset(read(23, a=b"10"))
    assert host.view.last_full_read_revision == 23
    host.view.reset(read(21, a=b"10", b=b"21"))
    assert host.copy.values == {"a": b"10"}


@pytest.mark.parametrize("first", [1, 2, 3])
def test_no_order_leaves_a_view_without_a_proven_change(first: int) -> None:
    for seed in range(first * 1_000_000, first * 1_000_000 + ORDERS_PER_TEST):
        run_order(seed)

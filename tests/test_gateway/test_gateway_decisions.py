"""Unit tests of the gateway's routes, target health, target choice and event parsing."""

from __future__ import annotations

import random
from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gradepoint.gateway.choice import choose_target
from gradepoint.gateway.configuration import Configuration
from gradepoint.gateway.event_stream import (
    MAX_COUNTED_REST_BYTES,
    MAX_EVENT_BYTES,
    EventSplitter,
    EventTooLong,
    parse_event,
)
from gradepoint.gateway.health import FIRST_EJECTION_S, LONGEST_EJECTION_S, TargetHealth
from gradepoint.gateway.targets import ListedState, Target, TargetSet
from gradepoint.ids import ServiceName, TargetId, TargetName
from gradepoint.peers.datagrams import number_target
from gradepoint.peers.results import ReportedResults
from gradepoint.platform.configuration import decode_configuration
from tests.support.platform import HOST, configuration, route
from tests.support.targets import SERVICE, listed_target


def make_configuration(*prefixes: str) -> Configuration:
    """Return a configuration with one route for each prefix."""
    routes = [route(prefix.strip("/") or "root", "safe", path_prefix=prefix) for prefix in prefixes]
    return decode_configuration(configuration(1, routes))


@pytest.mark.parametrize(
    ("host", "path", "wanted"),
    [
        (HOST, "/a/b/c", "a/b"),
        (HOST.upper() + ":80", "/a/x", "a"),
        (HOST, "/a", None),
        (HOST, "/ab/", None),
        ("other.example", "/a/", None),
        ("", "/a/", None),
    ],
)
def test_longest_matching_prefix_selects_route(host: str, path: str, wanted: str | None) -> None:
    found = make_configuration("/a/", "/a/b/").find_route(host, path)
    assert (found.name if found else None) == wanted


def test_traffic_split_follows_weights() -> None:
    shares = [{"service": "x", "weight": 90}, {"service": "y", "weight": 10}]
    routes = [route("r", "safe", service=None, traffic_split=shares)]
    found = decode_configuration(configuration(1, routes)).routes[0]
    rng = random.Random(1)
    counts = Counter(found.pick_service(rng) for _ in range(2000))
    assert 1700 < counts[ServiceName("x")] < 1900


def test_unknown_route_kind_is_not_repeatable() -> None:
    found = decode_configuration(configuration(1, [route("r", "strange")])).routes[0]
    assert not found.repeatable


def test_vanished_targets_used_only_as_temporary_fallback() -> None:
    targets = TargetSet(last_resort_s=1.5)
    targets.replace([listed_target("t0"), listed_target("t1")], 0.0)
    targets.mark_vanished(TargetName("t0"), 1.0)
    assert [t.id for t in targets.candidates(SERVICE, 1.0)] == ["t1"]
    targets.replace([], 2.0)
    assert {t.id for t in targets.candidates(SERVICE, 2.4)} == {"t0", "t1"}
    assert {t.id for t in targets.candidates(SERVICE, 2.6)} == {"t1"}
    targets.sweep(4.0)
    assert not targets.by_id and not targets.by_service[SERVICE]


def test_draining_target_is_never_a_candidate() -> None:
    targets = TargetSet(last_resort_s=1.5)
    targets.put(listed_target("t0"))
    targets.put(listed_target("t0", ListedState.DRAINING))
    assert not targets.candidates(SERVICE, 0.0)
    targets.mark_vanished(TargetName("t0"), 0.0)
    assert not targets.candidates(SERVICE, 0.1)


def test_relisted_target_is_a_candidate_again() -> None:
    targets = TargetSet(last_resort_s=1.5)
    targets.put(listed_target("t0"))
    targets.mark_vanished(TargetName("t0"), 0.0)
    targets.put(listed_target("t0"))
    targets.sweep(9.0)
    assert [t.id for t in targets.candidates(SERVICE, 9.0)] == ["t0"]


def test_unreachable_target_ejected_with_growing_backoff() -> None:
    health = TargetHealth()
    now = 0.0
    lengths = []
    for _ in range(6):
        assert health.record_unreachable(now)
        lengths.append(health.ejected_until - now)
        now = health.ejected_until
    assert lengths[0] == FIRST_EJECTION_S
    assert lengths == sorted(lengths) and lengths[-1] == LONGEST_EJECTION_S
    for _ in range(20):
        health.record_success()
    assert health.record_unreachable(now) and health.ejection_s == FIRST_EJECTION_S


@pytest.mark.parametrize(("share", "ejected"), [(0.0, False), (0.03, False), (0.4, True)])
def test_ejection_by_failure_share(share: float, ejected: bool) -> None:
    rng = random.Random(3)
    health = TargetHealth()
    seen = False
    for _ in range(60):
        if rng.random() < share:
            seen |= health.record_failure(0.0)
        else:
            health.record_success()
    assert seen is ejected


def test_ejection_after_three_consecutive_failures() -> None:
    health = TargetHealth()
    assert not health.record_failure(0.0)
    assert not health.record_failure(0.0)
    assert health.record_failure(0.0)
    assert not health.record_failure(0.1)


def test_ejection_keeps_healthiest_half_of_a_service() -> None:
    targets = TargetSet(last_resort_s=1.5)
    targets.replace([listed_target(f"t{n}") for n in range(4)], 0.0)
    for number, target in enumerate(targets.by_id.values()):
        for _ in range(3 + number):
            target.record_failure("broken")
    found = targets.candidates(SERVICE, 0.0)
    assert [target.id for target in found] == ["t0", "t1"]


def test_results_reported_by_other_hosts_eject_targets() -> None:
    targets = TargetSet(last_resort_s=1.5)
    targets.replace([listed_target("t0"), listed_target("t1")], 0.0)
    for _ in range(3):
        targets.record_remote_results(number_target(TargetId("t0")), 0, 1)
    targets.record_remote_results(number_target(TargetId("gone")), 1, 1)
    assert [target.id for target in targets.candidates(SERVICE, 0.0)] == ["t1"]
    assert not targets.recent_results()
    targets.by_id[TargetId("t1")].record_success()
    number = number_target(TargetId("t1"))
    assert targets.recent_results() == {number: ReportedResults(1, 0, 0, 0)}


def draw(targets: list[Target], remote_in_flight: dict[str, int] | None = None) -> Counter[str]:
    """Return how often a host in failure domain ``a`` chooses each target in 1000 draws."""
    rng = random.Random(1)
    known = remote_in_flight or {}
    chosen = (
        choose_target(targets, "a", (), lambda target: known.get(target, 0), rng)
        for _ in range(1000)
    )
    return Counter(target.id for target in chosen if target is not None)


def test_choice_follows_free_slots_and_prefers_own_domain() -> None:
    home, away = Target(listed_target("home")), Target(listed_target("away", domain="b"))
    found = draw([away, home])
    assert 700 < found["home"] < 800
    home.in_flight = 6
    assert draw([away, home])["home"] < 200
    assert draw([away, home], {"away": 7})["home"] > 900


def test_full_target_not_chosen_while_another_has_a_free_slot() -> None:
    full, nearly = Target(listed_target("full")), Target(listed_target("nearly", domain="b"))
    full.in_flight, nearly.in_flight = 8, 7
    assert set(draw([full, nearly])) == {"nearly"}
    assert set(draw([full, nearly], {"nearly": 1, "full": 1})) == {"nearly"}


def test_already_tried_target_not_chosen() -> None:
    targets = [Target(listed_target("t0")), Target(listed_target("t1"))]
    rng = random.Random(1)
    for _ in range(20):
        found = choose_target(targets, "a", {TargetId("t0")}, lambda _: 9, rng)
        assert found is targets[1]
    tried = {TargetId("t0"), TargetId("t1")}
    assert choose_target(targets, "a", tried, lambda _: 0, rng) is None


@given(
    st.lists(st.integers(1, 30), max_size=12),
    st.integers(1, 12),
    st.sampled_from([b"\n", b"\r\n"]),
)
def test_event_splitter_reassembles_arbitrary_chunks(
    sizes: list[int], events: int, newline: bytes
) -> None:
    raw = b"".join(f"id: {n}\ndata: word {n}\n\n".encode() for n in range(events))
    raw = raw.replace(b"\n", newline)
    splitter = EventSplitter()
    found = []
    start = 0
    for size in [*sizes, len(raw)]:
        found += splitter.feed(raw[start : start + size])
        start += size
    assert b"".join(event.raw for event in found) == raw
    assert [event.number for event in found] == list(range(events))
    assert [event.data for event in found] == [f"word {n}".encode() for n in range(events)]
    assert not splitter.rest
    assert not splitter.inside_event


@pytest.mark.parametrize(
    ("rest", "inside"),
    [
        (b"", False),
        (b"\n", False),
        (b"\r\n", False),
        (b": comment\n", False),
        (b": comm", True),
        (b"d", True),
        (b"data: x\n", True),
        (b"data: x\r\n\r", True),
        (b": comment\ndata: x\n", True),
    ],
)
def test_body_that_ends_inside_event_is_recognised(rest: bytes, inside: bool) -> None:
    splitter = EventSplitter()
    splitter.feed(b"id: 1\ndata: a\n\n" + rest)
    assert splitter.inside_event is inside


def test_counting_events_keeps_a_bounded_part_of_a_long_one() -> None:
    splitter = EventSplitter()
    assert splitter.count(b"data: a\n\ndata: ") == 1
    for _ in range(40):
        assert splitter.count(b"x" * 10_000) == 0
        assert len(splitter.rest) <= MAX_COUNTED_REST_BYTES
    assert splitter.inside_event
    assert splitter.count(b"\n\n") == 1
    assert not splitter.inside_event


def test_parse_event_without_id_and_with_several_data_lines() -> None:
    event = parse_event(b"weights: 3\ndata: a\ndata:b\n\n")
    assert (event.number, event.data) == (None, b"a\nb")


@pytest.mark.parametrize("piece", [b"\n", b": comment\n\n", b"x", b"data: x"])
def test_stream_without_events_is_beyond_the_bounds(piece: bytes) -> None:
    splitter = EventSplitter()
    splitter.feed(b"id: 1\ndata: a\n\n" + piece * 100)
    with pytest.raises(EventTooLong):
        for _ in range(MAX_EVENT_BYTES // 1000 + 1):
            splitter.feed(piece * (1000 // len(piece) + 1))


def test_long_stream_of_events_is_within_the_bounds() -> None:
    splitter = EventSplitter()
    raw = b": keep-alive\n\nid: 1\ndata: %b\n\n" % (b"x" * 500)
    assert sum(len(splitter.feed(raw * 10)) for _ in range(400)) == 8000

"""Tests of the records of streams' software versions, and of the choice of hosts that keep them."""

from __future__ import annotations

import random

import pytest

from gradepoint.ids import HostName, RequestId, SoftwareVersion, StreamKey, StreamRequest
from gradepoint.routing import stream_versions
from gradepoint.routing.stream_versions import (
    ASKED_HOLDERS,
    HOLDERS,
    StreamRecord,
    StreamRecords,
    make_stream_key,
    make_stream_request,
    rank_holders,
)

V1, V2 = SoftwareVersion("v1"), SoftwareVersion("v2")
DOMAINS = 5


def make_hosts(count: int) -> list[tuple[HostName, str]]:
    """Return *count* hosts spread over :data:`DOMAINS` failure domains."""
    return [(HostName(f"h{number}"), f"d{number % DOMAINS}") for number in range(count)]


def make_key(number: int) -> StreamKey:
    """Return the key of a stream."""
    return make_stream_key(RequestId(f"call-{number}"))


def make_request(number: int) -> StreamRequest:
    """Return the hash of a request."""
    return make_stream_request("host", "POST", f"/{number}", b"body")


def make_record(
    number: int, version: SoftwareVersion, expires_at: float, request: int = 0
) -> StreamRecord:
    """Return the record of a stream."""
    return StreamRecord(make_key(number), make_request(request), version, expires_at)


def test_record_expires_and_is_replaced() -> None:
    records = StreamRecords()
    records.add(make_record(1, V1, 5.0))
    found = records.find(make_key(1), 4.9)
    assert found is not None and found.version == V1
    assert records.find(make_key(1), 5.0) is None
    records.add(make_record(1, V2, 9.0))
    found = records.find(make_key(1), 5.0)
    assert found is not None and found.version == V2
    records.forget(9.0)
    assert not records.records and not records.by_request


def test_records_are_bounded_and_the_oldest_is_dropped(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(stream_versions, "MAX_RECORDS", 100)
    records = StreamRecords()
    for number in range(150):
        records.add(make_record(number, V1, 5.0))
    assert list(records.records) == [make_key(number) for number in range(50, 150)]
    assert records.by_request == {make_request(0): set(records.records)}


def test_streams_of_one_request_are_found_by_their_versions() -> None:
    records = StreamRecords()
    rows = [make_record(0, V1, 5.0), make_record(1, V1, 7.0), make_record(2, V2, 6.0)]
    for row in (*rows, make_record(3, V2, 9.0, request=1)):
        records.add(row)
    assert records.find_newest(make_request(0), 4.0) == {V1: rows[1], V2: rows[2]}
    assert records.find_newest(make_request(0), 6.0) == {V1: rows[1]}
    assert records.find_newest(make_request(2), 0.0) == {}
    assert make_stream_request("Host", "POST", "/0", b"body") == make_request(0)


@pytest.mark.parametrize("count", [2, 6, 45, 400])
def test_records_survive_the_loss_of_a_failure_domain(count: int) -> None:
    hosts = make_hosts(count)
    for number in range(50):
        holders = rank_holders(make_request(number), hosts)[:HOLDERS]
        assert len(set(holders)) == min(HOLDERS, count)
        domains = {domain for host, domain in hosts if host in holders}
        assert len(domains) == min(HOLDERS, DOMAINS, count)


def test_records_are_spread_evenly_over_hosts() -> None:
    hosts = make_hosts(40)
    kept = dict.fromkeys((host for host, _ in hosts), 0)
    for number in range(1000):
        for host in rank_holders(make_request(number), hosts)[:HOLDERS]:
            kept[host] += 1
    assert min(kept.values()) > 60 and max(kept.values()) < 150


@pytest.mark.parametrize(("count", "changed"), [(6, 2), (45, 9), (400, 80)])
def test_host_with_another_membership_asks_a_holder(count: int, changed: int) -> None:
    """Hosts were added and lost between the record and the question, a fifth of each."""
    rng = random.Random(count)
    hosts = make_hosts(count + changed)
    missed = 0
    for number in range(200):
        former = rng.sample(hosts, count)
        lost = set(rng.sample(former, changed))
        later = [host for host in hosts if host not in lost]
        holders = set(rank_holders(make_request(number), former)[:HOLDERS])
        if not holders - {host for host, _ in lost}:
            continue
        asked = rank_holders(make_request(number), later)[:ASKED_HOLDERS]
        missed += not holders & set(asked)
    assert missed <= 200 // 100

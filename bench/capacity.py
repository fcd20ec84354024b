"""``make capacity``: estimates the load at the largest specified deployment (``letter-1``).

The figures extrapolate costs measured on this code. Those of the control program come from
gradepoint's membership and configuration distribution, simulated for 6 to 400 hosts in virtual
time, and from the idle cost of the real program (docs/measurements/programs.json, written by
``python -m bench.process_costs``). The last line of the output is JSON.
"""

from __future__ import annotations

import sys
import time
import tracemalloc
from dataclasses import dataclass
from typing import Any

import msgspec
import numpy

from gradepoint.batch.worker import POLL_INTERVAL_PER_HOST_S, WAKE_INTERVAL_PER_HOST_S
from gradepoint.config.delta import compress, encode_document, make_delta
from gradepoint.config.document import (
    Document,
    KeyHash,
    Model,
    ModelVersion,
    Operator,
    OperatorRole,
    Organisation,
    Target,
    TargetState,
)
from gradepoint.config.versions import ConfigInForce, ConfigRecord
from gradepoint.fleet.config_history import ConfigHistory
from gradepoint.fleet.distribution import WATCHERS_PER_DOMAIN
from gradepoint.fleet.leases import ACQUIRE_RETRY_S, RENEW_PERIOD_S
from gradepoint.fleet.reconcile import CANDIDATE_COUNT
from gradepoint.standins.gossip_fleet import GossipFleet
from gradepoint.util.hashing import sha256_hex

from .processes import ROOT

MEASUREMENTS = ROOT / "docs" / "measurements"
SIZES = (6, 50, 200, 400)
"""Numbers of hosts that are simulated."""
DOMAINS = 5
SECONDS = 60.0
"""Simulated seconds over which the cost of membership is measured."""
LARGE_HOSTS = 400
RUNNERS = 860
ORGANISATIONS = 3900
MODELS = 21
REQUESTS_S = 1400.0
TOKENS_S = 690000.0
ITEMS_DAY = 11e6
JOBS_DAY = 7300.0
CHANGES_DAY = 960.0
DAY_S = 86400.0


@dataclass
class GossipFigures:
    """Cost for each host of membership and configuration distribution at one fleet size.

    :ivar in_force_max_s: longest time from a new configuration version until a host has it in
        force; the median and the 99th percentile likewise.
    :ivar fetches: configuration fetches of a host for each change.
    """

    hosts: int
    bytes_s: float
    messages_s: float
    cpu_percent: float
    in_force_p50_s: float
    in_force_p99_s: float
    in_force_max_s: float
    fetches: float
    state_kb: float


def measure_gossip(hosts: int) -> GossipFigures:
    """Simulate a fleet of one size: first idle, then with five configuration changes."""
    tracemalloc.start()
    fleet = GossipFleet(hosts, DOMAINS, seed=1, loss=0.01)
    state_kb = tracemalloc.get_traced_memory()[0] / hosts / 1024
    tracemalloc.stop()
    fleet.run(5.0)
    before = sum(host.bytes_sent + host.bytes_received for host in fleet.running_hosts())
    messages = sum(host.messages for host in fleet.running_hosts())
    started = time.process_time()
    fleet.run(SECONDS)
    cpu = (time.process_time() - started) / hosts / SECONDS
    spent = sum(host.bytes_sent + host.bytes_received for host in fleet.running_hosts()) - before
    sent = sum(host.messages for host in fleet.running_hosts()) - messages
    times: list[float] = []
    fetches = 0
    for version in range(1, 6):
        start = fleet.now
        seen = sum(host.fetches for host in fleet.running_hosts())
        fleet.publish(version)
        fleet.run(8.0)
        times += [host.in_force_at[version] - start for host in fleet.running_hosts()]
        fetches += sum(host.fetches for host in fleet.running_hosts()) - seen
    times.sort()
    return GossipFigures(
        hosts,
        spent / hosts / SECONDS,
        sent / hosts / SECONDS,
        cpu * 100,
        times[len(times) // 2],
        times[int(len(times) * 0.99)],
        times[-1],
        fetches / hosts / 5,
        state_kb,
    )


def make_large_document() -> Document:
    """Return a configuration document of the largest specified size."""
    models = [
        Model(f"model-{n}", [ModelVersion("v1", f"model-{n}-v1")], "v1") for n in range(MODELS)
    ]
    targets = [
        Target(
            f"runner-{n}",
            f"http://10.{n // 250}.{n % 250}.1:9000",
            f"domain-{n % 5}",
            [f"model-{n % MODELS}"],
            slots=48,
        )
        for n in range(RUNNERS)
    ]
    organisations = [
        Organisation(
            f"organisation-{n}",
            [KeyHash(sha256_hex(f"s{n}".encode())[:32], sha256_hex(f"h{n}".encode()))],
        )
        for n in range(ORGANISATIONS)
    ]
    return Document(
        1, "letter-1", models, targets, organisations, [Operator("ops", OperatorRole.APPLY, [])]
    )


def measure_document() -> dict[str, Any]:
    """Measure sizes and costs of the largest document and of a change of one target."""
    tracemalloc.start()
    document = make_large_document()
    encoded = encode_document(document)
    packed = compress(encoded)
    del document
    base = tracemalloc.get_traced_memory()[0]
    kept = msgspec.json.decode(encoded, type=Document)
    config = ConfigInForce()
    history = ConfigHistory()
    first = ConfigRecord(1, kept, "w", "op", 0)
    config.take(first)
    history.add(first)
    one_kb = (tracemalloc.get_traced_memory()[0] - base) / 1024
    started = time.process_time()
    changed = msgspec.structs.replace(
        kept,
        targets=[
            msgspec.structs.replace(kept.targets[0], state=TargetState.DRAINING),
            *kept.targets[1:],
        ],
    )
    delta = make_delta(1, kept, changed)
    made_s = time.process_time() - started
    travelled = len(msgspec.msgpack.encode(delta))
    started = time.process_time()
    opened = history.extract_record(
        first, history.answer(ConfigRecord(2, changed, "w", "op", 0), 1)
    )
    opened_s = time.process_time() - started
    assert opened is not None
    config.take(opened)
    history.add(opened)
    both_kb = (tracemalloc.get_traced_memory()[0] - base) / 1024
    tracemalloc.stop()
    return {
        "json_bytes": len(encoded),
        "packed_bytes": len(packed),
        "delta_bytes": travelled,
        "make_delta_ms": round(made_s * 1000, 1),
        "open_delta_ms": round(opened_s * 1000, 1),
        "one_version_kb": round(one_kb),
        "two_versions_kb": round(both_kb),
    }


def fit(sizes: list[int], values: list[float]) -> tuple[float, float]:
    """Return slope and intercept of a least-squares line."""
    slope, intercept = numpy.polyfit(sizes, values, 1)
    return float(slope), float(intercept)


def kv_call_budget(kv: list[dict[str, float]]) -> list[dict[str, Any]]:
    """Return the calls a second to the key-value service by kind.

    :param kv: rows of docs/measurements/kv-costs.json.
    """
    items_s = ITEMS_DAY / DAY_S
    bundle = next(row for row in kv if row["bundle"] == 128)
    chunks_s = items_s / 256
    leases = DOMAINS + 1
    rows = [
        (
            "configuration watches (waiting)",
            WATCHERS_PER_DOMAIN * DOMAINS,
            0.0,
            "two watchers in each failure domain; all others hear from peers",
        ),
        ("lease renewals", 0.0, leases / RENEW_PERIOD_S, "one holder a lease"),
        (
            "lease candidates",
            leases * (CANDIDATE_COUNT - 1) / ACQUIRE_RETRY_S,
            0.0,
            "two candidates a lease",
        ),
        ("configuration applies", 0.0, CHANGES_DAY / DAY_S, "one transaction an apply"),
        (
            "looks for work",
            1 / POLL_INTERVAL_PER_HOST_S,
            0.0,
            "the period stretches with the fleet",
        ),
        ("looks asked for (bound)", 1 / WAKE_INTERVAL_PER_HOST_S, 0.0, "the same, at most"),
        ("claims: job, file and chunks", 3 * chunks_s, 0.0, "once a chunk of 256 items"),
        (
            "claims, intents and commits",
            0.0,
            items_s * bundle["writes_per_item"],
            "measured for an item at bundles of 128",
        ),
        ("job and file records", 4 * JOBS_DAY / DAY_S, 3 * JOBS_DAY / DAY_S, "once a job"),
    ]
    return [
        {"kind": name, "reads_s": round(reads, 2), "writes_s": round(writes, 2), "note": note}
        for name, reads, writes, note in rows
    ]


def main() -> int:
    """Measure, write the results and tables, and print the control program's figures."""
    programs = msgspec.json.decode((MEASUREMENTS / "programs.json").read_bytes())
    kv = msgspec.json.decode((MEASUREMENTS / "kv-costs.json").read_bytes())
    rows = [measure_gossip(hosts) for hosts in SIZES]
    document = measure_document()
    budget = kv_call_budget(kv)
    control = control_figures(rows, document, programs, budget)
    result = {
        "gossip": [row.__dict__ for row in rows],
        "document": document,
        "service": budget,
        "entry": entry_figures(programs),
        "batch": batch_figures(programs),
        "control": control,
    }
    (MEASUREMENTS / "capacity.json").write_bytes(
        msgspec.json.format(msgspec.json.encode(result), indent=2) + b"\n"
    )
    (MEASUREMENTS / "capacity-tables.md").write_text(render(result))
    print(msgspec.json.encode(control).decode())
    return 0


def control_figures(
    rows: list[GossipFigures],
    document: dict[str, Any],
    programs: dict[str, Any],
    budget: list[dict[str, Any]],
) -> dict[str, Any]:
    """Return the control program's load with 400 hosts."""
    idle = programs["idle_on_6_hosts"]["control"]
    largest = rows[-1]
    slope, _ = fit([row.hosts for row in rows], [row.cpu_percent for row in rows])
    change_s = CHANGES_DAY / DAY_S
    state_mb = (largest.state_kb + document["two_versions_kb"]) / 1024
    delta_cpu = (document["make_delta_ms"] + document["open_delta_ms"]) / 1000 * change_s * 100
    fetch_bytes = document["delta_bytes"] * largest.fetches * 2 * change_s
    watch_bytes = document["packed_bytes"] * change_s
    return {
        "cpu_percent": round(idle["cpu_percent"] + slope * (LARGE_HOSTS - 6) + delta_cpu, 2),
        "memory_mb": round(idle["rss_mb"] + state_mb, 1),
        "private_memory_mb": round(idle["anonymous_mb"] + state_mb, 1),
        "bytes_per_s": round(largest.bytes_s + fetch_bytes + watch_bytes),
        "kv_calls_per_s": round(sum(row["reads_s"] + row["writes_s"] for row in budget[:4]), 2),
        "in_force_max_s": round(largest.in_force_max_s, 2),
    }


def entry_figures(programs: dict[str, Any]) -> dict[str, Any]:
    """Return an entry's load at the peak of the largest specified deployment."""
    entry = programs["entry"]
    calls, tokens = REQUESTS_S / LARGE_HOSTS, TOKENS_S / LARGE_HOSTS
    cpu = calls * entry["cpu_ms_per_call"] + tokens * entry["cpu_ms_per_token"]
    return {
        "calls_s": round(calls, 2),
        "tokens_s": round(tokens),
        "cpu_percent": round(cpu / 10 + entry["idle_cpu_percent"], 1),
        "sustained_calls_s": round(1000 / entry["cpu_ms_per_call"]),
        "sustained_tokens_s": round(1000 / entry["cpu_ms_per_token"]),
    }


def batch_figures(programs: dict[str, Any]) -> dict[str, Any]:
    """Return a batch program's load at the largest specified deployment."""
    short = programs["batch"]["items_4_tokens"]["batch_cpu_ms_per_item"]
    longer = programs["batch"]["items_24_tokens"]["batch_cpu_ms_per_item"]
    token_ms = (longer - short) / 20
    item_ms = short - 4 * token_ms
    items_s = ITEMS_DAY / DAY_S / LARGE_HOSTS
    tokens = 160
    return {
        "items_s": round(items_s, 3),
        "cpu_ms_per_item": round(item_ms, 2),
        "cpu_ms_per_token": round(token_ms, 3),
        "cpu_percent": round(
            items_s * (item_ms + tokens * token_ms) / 10
            + programs["idle_on_6_hosts"]["batch"]["cpu_percent"],
            1,
        ),
        "tokens_assumed": tokens,
    }


def render(result: dict[str, Any]) -> str:
    """Render the tables that docs/CAPACITY.md includes."""
    lines = [
        "<!-- written by `make capacity` -->",
        "",
        "| hosts | bytes/s | messages/s | decision CPU % | in force p50 s | p99 s | max s | "
        "fetches a change | state KB |",
        "|---|---|---|---|---|---|---|---|---|",
    ]
    for row in result["gossip"]:
        lines.append(
            f"| {row['hosts']} | {row['bytes_s']:.0f} | {row['messages_s']:.2f} | "
            f"{row['cpu_percent']:.3f} | {row['in_force_p50_s']:.2f} | "
            f"{row['in_force_p99_s']:.2f} | {row['in_force_max_s']:.2f} | "
            f"{row['fetches']:.2f} | {row['state_kb']:.0f} |"
        )
    lines += ["", "| kind of call | reads/s | writes/s | carried by |", "|---|---|---|---|"]
    for row in result["service"]:
        lines.append(f"| {row['kind']} | {row['reads_s']} | {row['writes_s']} | {row['note']} |")
    for name in ("document", "control", "entry", "batch"):
        lines += [
            "",
            f"**{name}**: " + ", ".join(f"{key} {value}" for key, value in result[name].items()),
        ]
    return "\n".join(lines) + "\n"


if __name__ == "__main__":
    sys.exit(main())

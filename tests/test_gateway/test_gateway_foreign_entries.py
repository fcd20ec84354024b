"""Entries of another writer in the key-value service cost themselves only, also after a restart."""

from __future__ import annotations

import asyncio
from typing import Any

import msgspec
import pytest

from bench.platform.store import PAGE_ITEMS
from bench.platform.target import TargetStandin
from gradepoint.gateway.targets import ListedState
from gradepoint.ids import HostName, Incarnation
from gradepoint.peers.presence import HostPresence
from gradepoint.platform import jobs
from tests.support.platform import Deployment, configuration, job_item, run_in_virtual_time

DEPTHS = (1100, 5000, 300_000)
"""Nesting that exceeds the interpreter's limit; the last is near the size of the largest value."""


def nest(depth: int, opening: bytes = b"[", closing: bytes = b"]") -> bytes:
    """Return a JSON text of nested arrays, or of objects that are the member ``a`` of the next."""
    return opening * depth + (b"1" if opening.endswith(b":") else b"") + closing * depth


def add_field(entry: bytes, value: bytes, *, first: bool = False) -> bytes:
    """Return an encoded JSON object with an unknown field before or after its own."""
    if first:
        return b'{"other":' + value + b"," + entry[1:]
    return entry[:-1] + b',"other":' + value + b"}"


def make_nested_values(entry: bytes) -> dict[str, bytes]:
    """Return values with deep nesting, by name; most have all fields of *entry*, too."""
    values = {}
    for depth in DEPTHS:
        values[f"lists-{depth}"] = add_field(entry, nest(depth))
        values[f"objects-{depth}"] = add_field(entry, nest(depth // 3, b'{"a":', b"}"))
        values[f"first-{depth}"] = add_field(entry, nest(depth), first=True)
        values[f"unclosed-{depth}"] = entry[:-1] + b',"other":' + b"[" * depth
        values[f"only-{depth}"] = nest(depth)
    return values


async def restart_all(deployment: Deployment) -> None:
    """Kill all gateways in the same moment, and start as many again."""
    hosts = [gateway.settings.host for gateway in deployment.gateways]
    for gateway in list(deployment.gateways):
        await deployment.kill(gateway)
    for host in hosts:
        await deployment.add_gateway(host)


async def check_targets_run(deployment: Deployment, targets: list[TargetStandin]) -> None:
    """Check that all gateways serve calls, and that each of the targets runs some."""
    for gateway in range(len(deployment.gateways)):
        for _ in range(6):
            assert (await deployment.call("/plain/a", gateway=gateway)).status == 200
    assert all(target.ran for target in targets)


def test_nested_entry_in_the_list_of_targets_hides_no_other_target() -> None:
    # The rows behind the entry were never read: no call was served after a restart of all hosts.
    async def work(deployment: Deployment) -> None:
        await deployment.start(gateways=2, targets=3)
        for name, value in make_nested_values(deployment.targets[0].entry()).items():
            deployment.store.put(f"servers/{name}", value)
        await restart_all(deployment)
        await check_targets_run(deployment, deployment.targets)

    run_in_virtual_time(work)


def test_nested_value_over_the_entry_of_a_target_hides_no_other_target() -> None:
    async def work(deployment: Deployment) -> None:
        await deployment.start(gateways=2, targets=3)
        lost, *others = deployment.targets
        deployment.store.put(f"servers/{lost.name}", add_field(lost.entry(), nest(5000)))
        await restart_all(deployment)
        await check_targets_run(deployment, others)

    run_in_virtual_time(work)


def test_nested_entry_stops_no_later_change_of_the_list_of_targets() -> None:
    async def work(deployment: Deployment) -> None:
        await deployment.start(gateways=2, targets=1)
        old = deployment.targets[0]
        for name, value in make_nested_values(old.entry()).items():
            deployment.store.put(f"servers/{name}", value)
        await deployment.add_target(type(old)("new"))
        deployment.store.delete(f"servers/{old.name}")
        await deployment.wait_until_all_heard()
        for gateway in range(2):
            assert (await deployment.call("/plain/a", gateway=gateway)).status == 200
        assert deployment.targets[1].ran

    run_in_virtual_time(work)


def test_nested_configuration_is_replaced_by_the_next_sound_one() -> None:
    async def work(deployment: Deployment) -> None:
        await deployment.start(gateways=2, targets=1)
        deployment.store.put("op/config", add_field(configuration(2), nest(5000)))
        await deployment.wait_until_all_heard()
        assert (await deployment.call("/plain/a")).status == 200
        await deployment.configure(3, None)
        assert (await deployment.call("/plain/a")).status == 200

    run_in_virtual_time(work)


@pytest.mark.parametrize(
    "prefix", ["gp/live/host/", "gp/live/data/", "gp/live/known-data/", "gp/live/held/"]
)
def test_nested_entry_among_live_hosts_hides_no_other_row(prefix: str) -> None:
    async def work(deployment: Deployment) -> None:
        await deployment.start(gateways=2, targets=1)
        row = msgspec.json.encode(
            HostPresence(HostName("a"), Incarnation("a:1"), "zone-a", "127.0.0.1:9")
        )
        deployment.store.put(f"{prefix}{'0' * 16}", add_field(row, nest(5000)))
        deployment.store.put("gp/live/versions", nest(5000))
        deployment.store.put("gp/live/known-data/a", row)
        await restart_all(deployment)
        for gateway in deployment.gateways:
            assert set(gateway.hosts.hosts) == {"host-0", "host-1"}
            assert set(gateway.data_hosts.known) == {"a"}
        assert (await deployment.submit("job", 3)).status == 202
        assert len(await deployment.read_all_results("job", gateway=1)) == 3

    run_in_virtual_time(work)


READ_PREFIXES = ("servers/", "op/", "gp/live/host/", "gp/live/data/", "gp/live/", "gp/job/")
"""Prefixes below which gateways read all rows."""


def put_keys_that_are_no_text(deployment: Deployment, count: int) -> None:
    """Write rows, each of which has half of a surrogate pair in its key."""
    entry = deployment.targets[0].entry()
    for prefix in READ_PREFIXES:
        for number in range(count):
            for key in (f"{prefix}\ud83d{number:03d}", f"{prefix}0{number:03d}\udc00"):
                deployment.store.put(key, entry)


@pytest.mark.parametrize("count", [1, 2 * PAGE_ITEMS + 1])
def test_keys_that_are_no_text_hide_no_other_row(count: int) -> None:
    # After a restart no host read any target, and no call was served.
    async def work(deployment: Deployment) -> None:
        await deployment.start(gateways=2, targets=3)
        put_keys_that_are_no_text(deployment, count)
        await restart_all(deployment)
        await check_targets_run(deployment, deployment.targets)
        assert (await deployment.submit("job", 3)).status == 202
        assert len(await deployment.read_all_results("job", gateway=1)) == 3

    run_in_virtual_time(work)


def test_job_of_a_lost_host_is_taken_over_beside_keys_that_are_no_text() -> None:
    async def work(deployment: Deployment) -> None:
        await deployment.start(gateways=3, targets=2, event_interval_s=0.2)
        assert (await deployment.submit("job", 3)).status == 202
        put_keys_that_are_no_text(deployment, 1)
        await deployment.kill(deployment.gateways[0])
        results = await deployment.read_all_results("job", gateway=1)
        assert len(results) == 3

    run_in_virtual_time(work)


def test_changes_behind_keys_that_are_no_text_are_in_force() -> None:
    # The watch failed at the same change again and again; each change took a read of all keys.
    async def work(deployment: Deployment) -> None:
        await deployment.start(gateways=2, targets=1)
        await deployment.wait_until_all_heard()
        before = deployment.store.calls.get("/api/kv-range", 0)
        for number in range(10):
            put_keys_that_are_no_text(deployment, 1)
            await deployment.configure(2 + number, None)
            await asyncio.sleep(0.2)
        await deployment.add_target(TargetStandin("new"))
        await asyncio.sleep(1.0)
        for gateway in deployment.gateways:
            current = gateway.configuration.current
            assert current is not None and current.version == 11
            assert "new" in gateway.targets.by_id
        # Proofs of the views read a few ranges in this time.
        assert deployment.store.calls["/api/kv-range"] - before < 40

    run_in_virtual_time(work)


@pytest.mark.parametrize("fields", [{"value": "%%%%"}, {"rev": "7"}, {"key_path": None}], ids=str)
def test_rows_of_answers_with_a_bad_field_hide_no_other_row(fields: dict[str, Any]) -> None:
    async def work(deployment: Deployment) -> None:
        await deployment.start(gateways=2, targets=3)
        for prefix in READ_PREFIXES:
            deployment.store.put(f"{prefix}0", deployment.targets[0].entry())
            deployment.store.replaced_fields[f"{prefix}0"] = fields
        await restart_all(deployment)
        await check_targets_run(deployment, deployment.targets)
        assert (await deployment.submit("job", 3)).status == 202
        assert len(await deployment.read_all_results("job", gateway=1)) == 3

    run_in_virtual_time(work)


@pytest.mark.parametrize("size", [27_000, 700_000])
def test_target_with_a_large_field_that_is_not_read_gets_calls(size: int) -> None:
    # The row was set aside for its size: no call was served, from the first start on.
    async def work(deployment: Deployment) -> None:
        await deployment.start(gateways=2, targets=3)
        for target in deployment.targets:
            field = msgspec.json.encode(["x" * (size // 1000)] * 1000)
            deployment.store.put(f"servers/{target.name}", add_field(target.entry(), field))
        await restart_all(deployment)
        await check_targets_run(deployment, deployment.targets)
        rows = deployment.gateways[0].watchers.views["targets"].items.values()
        assert all(len(row.value) < 400 for row in rows)
        # Changes of such a row are in force, too.
        gone = deployment.targets[0]
        entry = gone.entry().replace(b'"ready"', b'"draining"')
        deployment.store.put(f"servers/{gone.name}", add_field(entry, field))
        await asyncio.sleep(1.0)
        for gateway in deployment.gateways:
            assert gateway.targets.by_id[gone.name].listed.state is ListedState.DRAINING

    run_in_virtual_time(work)


def test_presence_under_a_name_of_its_own_replaces_no_other_host() -> None:
    # Every host took the live owner of jobs for replaced, and ran its items again.
    async def work(deployment: Deployment) -> None:
        await deployment.start(gateways=2, targets=1, event_interval_s=0.2)
        own = deployment.gateways[0].own
        claimed = HostPresence(own.host, Incarnation(f"{own.host}:0"), "zone-a", "127.0.0.1:9")
        assert (await deployment.submit("job", 3)).status == 202
        for prefix in ("gp/live/host/", "gp/live/data/", "gp/live/known-data/"):
            deployment.store.put(f"{prefix}other", msgspec.json.encode(claimed))
        rows = await deployment.read_all_results("job", gateway=1)
        assert [row["state"] for row in rows] == ["complete"] * 3
        assert max(deployment.targets[0].ran.values()) == 1
        for gateway in deployment.gateways:
            assert gateway.hosts.hosts[own.host].incarnation == own.incarnation
            assert not gateway.data_hosts.known

    run_in_virtual_time(work)


def test_calls_are_not_answered_by_a_listed_address_that_is_no_target() -> None:
    # A gateway's own port for other hosts answered 404, which callers do not send again.
    async def work(deployment: Deployment) -> None:
        await deployment.start(gateways=2, targets=2)
        settings = deployment.gateways[0].settings
        entry = msgspec.json.decode(deployment.targets[0].entry())
        entry["addr"] = f"{settings.address}:{settings.peer_port}"
        deployment.store.put("servers/other", msgspec.json.encode(entry))
        await deployment.wait_until_all_heard()
        for number in range(40):
            assert (await deployment.call("/plain/a", gateway=number % 2)).status == 200

    run_in_virtual_time(work)


@pytest.mark.parametrize("name", ["a\r\nb", "a\x00b", "\u00e9", "\u2028", " a"])
def test_entry_whose_name_fits_no_header_gets_no_call(name: str) -> None:
    # Calls drawn to it failed by an exception.
    async def work(deployment: Deployment) -> None:
        await deployment.start(gateways=1, targets=1)
        for number in range(8):
            deployment.store.put(f"servers/{name}{number}", deployment.targets[0].entry())
        await restart_all(deployment)
        for _ in range(20):
            assert (await deployment.call("/plain/a")).status == 200

    run_in_virtual_time(work)


def test_header_of_a_caller_that_is_not_ascii_is_passed_on() -> None:
    # The call was answered 500.
    async def work(deployment: Deployment) -> None:
        await deployment.start(gateways=1, targets=1)
        answer = await deployment.call("/plain/a", **{"x-name": "caf\u00e9"})
        assert answer.status == 200

    run_in_virtual_time(work)


UNSENDABLE: dict[str, dict[str, Any]] = {
    "line end in a header": {"headers": {"x-a": "1\r\nx-b: 2"}},
    "space in a header's name": {"headers": {"x a": "1"}},
    "header that is no text": {"headers": {"x-a": "\u2028"}},
    "line end in the path": {"path": "/night/a\r\nx: y"},
    "another length": {"headers": {"content-length": "5"}},
    "another framing": {"headers": {"transfer-encoding": "chunked"}},
    "line end in the id": {"id": "a\r\nb"},
}


@pytest.mark.parametrize("name", UNSENDABLE)
def test_item_that_cannot_be_sent_is_refused(name: str) -> None:
    # It was accepted, and tried over and over for ever.
    async def work(deployment: Deployment) -> None:
        await deployment.start(gateways=1, targets=1)
        rows = [job_item("job", 0) | UNSENDABLE[name], job_item("job", 1)]
        body = msgspec.json.encode({"items": rows})
        assert (await deployment.call("/night/job", body=body, request_id="job")).status == 400

    run_in_virtual_time(work)


@pytest.mark.parametrize("name", UNSENDABLE)
def test_accepted_item_that_cannot_be_sent_ends(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    # A program of an earlier version has accepted it.
    monkeypatch.setattr(jobs, "find_request_fault", lambda *_: "")

    async def work(deployment: Deployment) -> None:
        await deployment.start(gateways=1, targets=1)
        rows = [job_item("job", 0) | UNSENDABLE[name], job_item("job", 1)]
        body = msgspec.json.encode({"items": rows})
        assert (await deployment.call("/night/job", body=body, request_id="job")).status == 202
        found = await deployment.read_all_results("job")
        assert sorted(row["state"] for row in found) == ["complete", "dead"]

    run_in_virtual_time(work)

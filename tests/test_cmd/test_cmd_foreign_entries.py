"""Gateway programs that start while an entry of another writer stands in the store."""

from __future__ import annotations

import asyncio
from pathlib import Path

from bench.platform.store import PlatformStoreStandin
from bench.platform.target import TargetStandin
from gradepoint.wire.addresses import split_address
from gradepoint.wire.http_client import HttpClient
from tests.support.platform import HOST, configuration
from tests.support.programs import Program

GATEWAYS = 2
CALLS = 20
NESTED_FIELD = b',"other":' + b"[" * 5000 + b"]" * 5000 + b"}"


async def count_served(program: Program) -> int:
    """Return how many of :data:`CALLS` calls to a gateway are served."""
    http = HttpClient()
    address = split_address(str(program.settings["callers_address"]))
    served = 0
    for number in range(CALLS):
        fields = [("host", HOST), ("x-attempt-id", f"id-{number}"), ("x-time-left-ms", "4000")]
        response = await http.send(address, "POST", "/plain/a", b"prompt", fields)
        await response.read()
        served += response.status == 200
    http.close()
    return served


async def start_all(programs: list[Program]) -> None:
    """Start programs at the same time, and wait until all are ready."""
    for program in programs:
        program.start()
    waits = (asyncio.to_thread(program.wait_for_event, "host_ready") for program in programs)
    await asyncio.gather(*waits)


def check_restart(tmp_path: Path, key: str, suffix: bytes) -> None:
    """Check that all calls are served after a restart of all programs beside an entry.

    :param key: key of the entry.
    :param suffix: end of its value, in place of the bracket that closes the entry of a target.
    """

    async def work() -> None:
        store, target = PlatformStoreStandin(), TargetStandin("t0")
        address = await store.start()
        await target.start()
        store.put("op/config", configuration(1))
        store.put("servers/t0", target.entry())
        for number in range(GATEWAYS):
            folder = tmp_path / f"host-{number}"
            folder.mkdir()
            settings = {"host": f"host-{number}"}
            programs.append(Program("gateway", folder, address, settings))
        await start_all(programs)
        store.put(key, target.entry()[:-1] + suffix)
        for program in programs:
            program.kill()
        await start_all(programs)
        assert [await count_served(program) for program in programs] == [CALLS] * GATEWAYS
        for server in (store.server, target.server):
            server.abort()

    programs: list[Program] = []
    try:
        asyncio.run(work())
    finally:
        for program in programs:
            program.kill()


def test_programs_restarted_beside_a_nested_target_entry_serve_calls(tmp_path: Path) -> None:
    # After the restart no program was ready, for as long as the entry stood.
    check_restart(tmp_path, "servers/other", NESTED_FIELD)


def test_programs_restarted_beside_a_key_that_is_no_text_serve_calls(tmp_path: Path) -> None:
    # After the restart no program was ready, for as long as the entry stood.
    check_restart(tmp_path, "servers/\ud83d", b"}")

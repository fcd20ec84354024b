"""The fault soak: a short seeded run, the seeds that once failed, and its own parts."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path as FilePath

import pytest

from bench.platform.target import TargetStandin, whole_stream
from bench.soak.fleet import GatewayProcess
from bench.soak.ledger import Ledger
from bench.soak.organisations import RATE, WINDOW_S, Organisations
from bench.soak.proxy import Path, Proxy
from bench.soak.run import Soak
from gradepoint.util import hashing
from tests.support.soak_hosts import LoopDataHost, LoopGateway
from tests.support.virtual_network import NetworkLoop, SeededTokens, run_on_network

FAILED_SEEDS: tuple[int, ...] = (6, 9, 418)
"""Seeds that once broke a promise; each with its cause in docs/findings.md."""

HARM_SEEDS = (602, 621, 632)
"""Seeds of short soaks with a request that ends its targets; each broke a promise once."""

ORGANISATION_SEEDS = (801, 802, 803)
"""Seeds of short soaks whose callers have keys and quotas."""

SUSPENSION_SEEDS = (701, 702)
"""Seeds of short soaks in which hosts are suspended."""


def suspend_host(gateway: GatewayProcess, seconds: float) -> None:
    """Suspend the host of a gateway on the test's loop."""
    assert isinstance(gateway, LoopGateway)
    gateway.loop.suspend(gateway.full_life, seconds)


def play(
    seed: int,
    folder: FilePath,
    patch: pytest.MonkeyPatch,
    *,
    with_harm: bool = False,
    organisations: Organisations | None = None,
    suspend: Callable[[GatewayProcess, float], None] | None = None,
) -> Soak:
    """Play a short soak in virtual time, with the gateways and data hosts on its loop."""
    patch.setattr(hashing, "secrets", SeededTokens(seed))

    async def main() -> Soak:
        soak = Soak(
            seed,
            folder,
            faults_s=5.0,
            gateways=2,
            callers=4,
            with_harm=with_harm,
            organisations=organisations,
            suspend=suspend,
            make_gateway=LoopGateway,
            make_data_host=LoopDataHost,
        )
        await soak.run()
        return soak

    return run_on_network(main(), seed)


def test_a_connection_delays_what_comes_in_a_pause_and_leaves_nothing_out() -> None:
    """A paused program got the events that a target sent after the pause, and not those sent in it,
    which no connection does; the caller's answer then lacked events 1 and 2.
    """

    async def main() -> bytes:
        loop = asyncio.get_running_loop()
        assert isinstance(loop, NetworkLoop)
        writers: list[asyncio.StreamWriter] = []
        server = await asyncio.start_server(
            lambda _, writer: writers.append(writer), "127.0.0.1", 0
        )
        port = server.sockets[0].getsockname()[1]
        reader, _ = await asyncio.open_connection("127.0.0.1", port)
        for number in range(9):
            if number == 3:
                loop.silent.add(port)
            if number == 6:
                loop.silent.discard(port)
            writers[0].write(b"%d" % number)
            await asyncio.sleep(0.02)
        return await reader.readexactly(9)

    assert run_on_network(main(), 1) == b"012345678"


@pytest.mark.parametrize("seed", [5, *range(30, 35), *FAILED_SEEDS])
def test_a_short_soak_breaks_no_promise(
    seed: int, tmp_path: FilePath, monkeypatch: pytest.MonkeyPatch
) -> None:
    soak = play(seed, tmp_path, monkeypatch)
    assert not soak.ledger.broken, f"to play it again: seed {seed}"
    assert sum(soak.done.values()) > 0
    assert soak.ledger.accepted


def test_a_soak_of_one_seed_is_the_same_each_time(
    tmp_path: FilePath, monkeypatch: pytest.MonkeyPatch
) -> None:
    runs = [play(7, tmp_path / str(number) / "soak", monkeypatch) for number in range(2)]
    for run in runs:
        assert run.ledger.outcomes == runs[0].ledger.outcomes
        assert run.ledger.listed == runs[0].ledger.listed
        assert run.done == runs[0].done


def make_ledger() -> Ledger:
    """Return a ledger of one target."""
    return Ledger([TargetStandin("t0")], events=3)


def test_the_ledger_finds_what_breaks_a_promise() -> None:
    ledger = make_ledger()
    whole = whole_stream("r", 3)
    ledger.note_call("stream", "r", 200, whole, cut=False)
    ledger.note_call("resume", "r", 200, whole[:20], cut=True)
    assert not ledger.broken
    ledger.note_call("stream", "r", 200, whole[:-30], cut=False)
    ledger.note_call("resume", "r", 200, whole[5:], cut=True)
    ledger.note_call("plain", "r", 404, b"", cut=False)
    assert len(ledger.broken) == 3


def test_the_ledger_compares_promises_with_runs() -> None:
    ledger = make_ledger()
    ledger.note_call("single", "refused", 503, b"", cut=False)
    ledger.note_call("single", "twice", 502, b"", cut=False)
    assert not ledger.close()
    ledger.targets[0].ran.update({"refused": 1, "twice": 2})
    assert len(ledger.close()) == 2


def test_the_ledger_keeps_results_and_versions() -> None:
    ledger = make_ledger()
    row = {"id": "i", "state": "dead", "message": ""}
    ledger.note_results("job", 0, [row])
    ledger.note_results("job", 0, [row])
    ledger.note_version("life", 4, 200)
    ledger.note_version("other life", 3, 404)
    assert not ledger.broken
    ledger.note_results("job", 1, [row])
    ledger.note_results("job", 0, [{**row, "id": "j"}])
    ledger.note_version("life", 3, 404)
    assert len(set(ledger.broken)) == 3


def test_the_proxy_passes_holds_back_and_resets() -> None:
    async def main() -> None:
        async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while data := await reader.read(100):
                writer.write(data)

        server = await asyncio.start_server(echo, "127.0.0.1", 0)
        proxy = Proxy(server.sockets[0].getsockname())
        await proxy.start("127.0.0.1")
        reader, writer = await asyncio.open_connection("127.0.0.1", proxy.port)
        writer.write(b"one")
        assert await reader.readexactly(3) == b"one"
        for path in (Path.SILENCE, Path.ONE_WAY):
            proxy.set_path(path)
            writer.write(b"two")
            with pytest.raises(TimeoutError):
                async with asyncio.timeout(0.1):
                    await reader.readexactly(3)
            proxy.set_path(Path.PASS)
            assert await reader.readexactly(3) == b"two"
        proxy.set_path(Path.RESET)
        with pytest.raises((ConnectionResetError, asyncio.IncompleteReadError)):
            await reader.readexactly(1)
        await proxy.stop()
        server.close()

    asyncio.run(main())


def test_a_host_that_is_started_twice_leaves_no_process_behind(tmp_path: FilePath) -> None:
    gateway = GatewayProcess("host", "127.0.0.1", tmp_path, Proxy(("127.0.0.1", 1)))
    gateway.start()
    first = gateway.process
    gateway.start()
    assert first is not None and first.poll() is not None
    gateway.reap()
    assert not gateway.alive


@pytest.mark.parametrize("seed", HARM_SEEDS)
def test_a_short_soak_with_a_harmful_request_breaks_no_promise(
    seed: int, tmp_path: FilePath, monkeypatch: pytest.MonkeyPatch
) -> None:
    soak = play(seed, tmp_path / "soak", monkeypatch, with_harm=True)
    assert not soak.ledger.broken
    assert soak.harm is not None and max(map(len, soak.harm.ends.values())) >= 3


@pytest.mark.parametrize("with_harm", [False, True])
@pytest.mark.parametrize("seed", SUSPENSION_SEEDS)
def test_a_short_soak_with_suspended_hosts_breaks_no_promise(
    seed: int, with_harm: bool, tmp_path: FilePath, monkeypatch: pytest.MonkeyPatch
) -> None:
    soak = play(seed, tmp_path / "soak", monkeypatch, with_harm=with_harm, suspend=suspend_host)
    assert not soak.ledger.broken
    assert soak.done["suspension"] > 0


@pytest.mark.parametrize("suspends", [False, True])
@pytest.mark.parametrize("seed", ORGANISATION_SEEDS)
def test_a_short_soak_of_organisations_tells_targets_the_truth_and_holds_quotas(
    seed: int, suspends: bool, tmp_path: FilePath, monkeypatch: pytest.MonkeyPatch
) -> None:
    organisations = Organisations()
    soak = play(
        seed,
        tmp_path / "soak",
        monkeypatch,
        organisations=organisations,
        suspend=suspend_host if suspends else None,
    )
    assert not soak.ledger.broken
    # The quota is reached where hosts do not stand still for most of the run.
    assert suspends or organisations.most > RATE * WINDOW_S / 2
    assert soak.ledger.accepted

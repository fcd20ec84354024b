"""End-to-end tests: all programs in one process, and the examples as separate processes."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest
from openai import AsyncOpenAI

from bench.loadgen import LoadRun
from bench.processes import ProcessTier
from bench.traces import Kind, TraceLine
from gradepoint.cmd.local import wait_ready
from gradepoint.standins.engine import expected_tokens
from gradepoint.standins.tier import LOCAL_CALLER_KEY, LocalTier, make_engines


def run_with_tier(folder: Path, work: Callable[[LocalTier], Awaitable[None]]) -> None:
    """Run *work* against a local deployment of two hosts and two engines."""

    async def main() -> None:
        tier = LocalTier(folder, ["a", "b"], make_engines(2, []))
        await tier.start()
        await wait_ready(tier)
        try:
            await work(tier)
        finally:
            await tier.stop()

    asyncio.run(main())


def test_public_client_does_online_and_batch_work(tmp_path: Path) -> None:
    async def work(tier: LocalTier) -> None:
        url = f"{tier.hosts[1].entry_url}/v1"
        async with AsyncOpenAI(base_url=url, api_key=LOCAL_CALLER_KEY) as client:
            names = {model.id for model in (await client.models.list()).data}
            assert {"maker-lm", "maker-lm@v2", "maker-lm:title-tag"} <= names
            chat = await client.chat.completions.create(
                model="maker-lm", max_tokens=4, messages=[{"role": "user", "content": "hi"}]
            )
            wanted = "".join(expected_tokens("maker-lm@v1", "user: hi", 4))
            assert chat.choices[0].message.content == wanted
            text = ""
            async for event in await client.completions.create(
                model="maker-lm:title-tag", prompt="bowl", max_tokens=5, stream=True
            ):
                text += event.choices[0].text
            assert text == "".join(expected_tokens("maker-lm@v1:title-tag", "bowl", 5))
            await check_batch(client)

    run_with_tier(tmp_path, work)


async def check_batch(client: AsyncOpenAI) -> None:
    """Run a job of 200 items, one of which names an unknown model."""
    rows = [
        {
            "custom_id": f"i{index}",
            "method": "POST",
            "url": "/v1/completions",
            "body": {
                "model": "maker-lm" if index != 7 else "no-such-model",
                "prompt": f"p{index}",
                "max_tokens": 3,
            },
        }
        for index in range(200)
    ]
    data = "\n".join(json.dumps(row) for row in rows).encode()
    file = await client.files.create(file=("lot.jsonl", data), purpose="batch")
    again = await client.files.create(file=("lot.jsonl", data), purpose="batch")
    assert file.id == again.id
    job = await client.batches.create(
        input_file_id=file.id, endpoint="/v1/completions", completion_window="24h"
    )
    resent = await client.batches.create(
        input_file_id=file.id, endpoint="/v1/completions", completion_window="24h"
    )
    assert resent.id == job.id
    while job.status == "in_progress":
        await asyncio.sleep(0.05)
        job = await client.batches.retrieve(job.id)
    assert job.status == "completed"
    assert job.request_counts is not None and job.request_counts.failed == 1
    assert [row.id for row in (await client.batches.list()).data] == [job.id]
    assert job.output_file_id and job.error_file_id
    output = (await client.files.content(job.output_file_id)).text.splitlines()
    names = [json.loads(line)["custom_id"] for line in output]
    assert names == [f"i{index}" for index in range(200) if index != 7]
    errors = (await client.files.content(job.error_file_id)).text.splitlines()
    assert [json.loads(line)["error"]["code"] for line in errors] == ["unknown_model"]


@pytest.mark.parametrize(
    ("example", "model", "hosts"), [("kasitoo-turg", "maker-lm", 6), ("lanternby", "card-llm", 9)]
)
def test_example_tier_of_processes_serves(
    example: str, model: str, hosts: int, tmp_path: Path
) -> None:
    tier = ProcessTier(example, tmp_path / "run")
    assert len(tier.hosts()) == hosts
    try:
        tier.start()
        service = "orders" if example == "kasitoo-turg" else "cards"
        run = LoadRun(tier.entry_urls(), tier.standins["caller_key"], model, f"{model}@v1", service)
        lines = [TraceLine(t=0.0, kind=Kind.ONLINE) for _ in range(2 * hosts)]
        lines += [TraceLine(t=0.0, kind=Kind.SERVICE, repeatable=False, keyed=True)]
        lines += [TraceLine(t=0.0, kind=Kind.BATCH_JOB, items=60)]
        ledger = asyncio.run(run.run(lines))
        assert ledger.clean
        assert ledger.outcomes["complete"] == 2 * hosts + 1
    finally:
        tier.stop()


def test_runs_of_an_example_at_the_same_time_have_addresses_of_their_own(tmp_path: Path) -> None:
    tiers = [ProcessTier("kasitoo-turg", tmp_path / name) for name in ("a", "b")]
    try:
        assert tiers[0].subnet != tiers[1].subnet
        for tier in tiers:
            documents = [tier.read("config.json"), tier.read("standins.json")]
            assert all(b"127.0." not in text and tier.subnet.encode() in text for text in documents)
            assert all(url.startswith(f"http://{tier.subnet}") for url in tier.entry_urls())
    finally:
        for tier in tiers:
            tier.stop()

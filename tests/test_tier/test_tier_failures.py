"""Failures of targets, hosts and services, over real sockets against the stand-ins.

Guards against lost or duplicate work, and against wrong outcomes, when a process is stopped, a
connection is cut or a reply is lost.
"""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

import msgspec
from openai import APIStatusError, AsyncOpenAI

from gradepoint.config.document import TargetState
from gradepoint.standins.engine import expected_tokens
from gradepoint.standins.faults import EngineFaults, KvFaults
from gradepoint.standins.tier import LOCAL_CALLER_KEY, LocalTier
from tests.support.tier import Answer, Caller, run_tier, stream_text, until

COMPLETIONS = "/v1/completions"


def body(prompt: str, tokens: int = 12, *, stream: bool = False) -> dict[str, object]:
    """Return the body of a completion request."""
    return {"model": "maker-lm", "prompt": prompt, "max_tokens": tokens, "stream": stream}


def expected_text(prompt: str, tokens: int = 12) -> str:
    """Return the expected text of a completion."""
    return "".join(expected_tokens("maker-lm@v1", prompt, tokens))


async def submit(caller: Caller, url: str, items: int, name: str) -> str:
    """Upload a batch file, create a job for it and return the id of the job."""
    rows = [
        {"custom_id": f"i{n}", "method": "POST", "url": COMPLETIONS, "body": body(f"{name} {n}", 8)}
        for n in range(items)
    ]
    form = b'--b\r\nContent-Disposition: form-data; name="purpose"\r\n\r\nbatch\r\n--b\r\n'
    form += b'Content-Disposition: form-data; name="file"; filename="f"\r\n\r\n'
    form += "\n".join(json.dumps(row) for row in rows).encode() + b"\r\n--b--\r\n"
    file = await caller.send(
        url + "/v1/files", "POST", form, content_type="multipart/form-data; boundary=b"
    )
    assert file.status == 200, file.body
    job = await caller.send(
        url + "/v1/batches",
        "POST",
        {"input_file_id": file.json["id"], "endpoint": COMPLETIONS, "completion_window": "24h"},
    )
    assert job.status == 200, job.body
    return str(job.json["id"])


async def results(caller: Caller, url: str, job_id: str) -> dict[str, str]:
    """Wait for a job and return the text of each item; fails if an item has two results."""

    async def ended() -> bool:
        answer = await caller.send(f"{url}/v1/batches/{job_id}")
        return answer.status == 200 and answer.json["status"] != "in_progress"

    await until(ended, 60.0)
    job = (await caller.send(f"{url}/v1/batches/{job_id}")).json
    output = await caller.send(f"{url}/v1/files/{job['output_file_id']}/content")
    texts: dict[str, str] = {}
    for line in output.body.splitlines():
        row = json.loads(line)
        assert row["custom_id"] not in texts
        texts[row["custom_id"]] = row["response"]["body"]["choices"][0]["text"]
    return texts


def check_all(texts: dict[str, str], items: int, name: str) -> None:
    """Check that every item has the expected text."""
    assert texts == {f"i{n}": expected_text(f"{name} {n}", 8) for n in range(items)}


def test_stream_cut_by_its_target_resumes_without_lost_or_repeated_tokens(tmp_path: Path) -> None:
    async def work(tier: LocalTier, caller: Caller) -> None:
        for engine in tier.engines:
            engine.faults = EngineFaults(cut_after_tokens=5)
        answer = await caller.send(
            tier.hosts[0].entry_url + COMPLETIONS, "POST", body("cut", 30, stream=True)
        )
        assert stream_text(answer) == expected_text("cut", 30)
        assert answer.outcome == "complete"

    run_tier(tmp_path, work)


def test_stream_of_a_stopped_target_continues_at_another_target(tmp_path: Path) -> None:
    async def work(tier: LocalTier, caller: Caller) -> None:
        sent = asyncio.ensure_future(
            caller.send(
                tier.hosts[0].entry_url + COMPLETIONS, "POST", body("kill", 120, stream=True)
            )
        )

        async def running() -> bool:
            return any(engine.model.running for engine in tier.engines)

        await until(running)
        await asyncio.sleep(0.05)
        for engine in tier.engines:
            if engine.model.running:
                await engine.stop()
        answer = await sent
        assert stream_text(answer) == expected_text("kill", 120)

    run_tier(tmp_path, work)


def test_job_survives_the_loss_of_its_host_right_after_it_was_accepted(tmp_path: Path) -> None:
    async def work(tier: LocalTier, caller: Caller) -> None:
        job_id = await submit(caller, tier.hosts[1].entry_url, 60, "lost host")
        await tier.hosts[1].abort()
        check_all(await results(caller, tier.hosts[2].entry_url, job_id), 60, "lost host")

    run_tier(tmp_path, work, data_hosts=frozenset({0, 1, 2}))


def test_resend_to_another_host_is_the_same_job(tmp_path: Path) -> None:
    async def work(tier: LocalTier, caller: Caller) -> None:
        ids = await asyncio.gather(
            *(submit(caller, host.entry_url, 40, "resent") for host in tier.hosts)
        )
        assert len(set(ids)) == 1
        check_all(await results(caller, tier.hosts[0].entry_url, ids[0]), 40, "resent")
        ran = sum(engine.ran.get("resent 7", 0) for engine in tier.engines)
        assert ran == 1

    run_tier(tmp_path, work)


def test_job_survives_lost_replies_and_an_outage_of_the_key_value_service(tmp_path: Path) -> None:
    async def work(tier: LocalTier, caller: Caller) -> None:
        tier.kv.faults = KvFaults(lose_answers=2)
        job_id = await submit(caller, tier.hosts[0].entry_url, 60, "outage")
        tier.kv.faults = KvFaults(down=True)
        refused = await caller.send(f"{tier.hosts[0].entry_url}/v1/batches/{job_id}")
        assert (refused.status, refused.json["error"]["code"]) == (503, "service_unavailable")
        online = await caller.send(tier.hosts[0].entry_url + COMPLETIONS, "POST", body("on"))
        assert online.json["choices"][0]["text"] == expected_text("on")
        await asyncio.sleep(0.5)
        tier.kv.faults = KvFaults()
        check_all(await results(caller, tier.hosts[0].entry_url, job_id), 60, "outage")

    run_tier(tmp_path, work)


def test_results_stay_readable_after_the_loss_of_a_data_host(tmp_path: Path) -> None:
    async def work(tier: LocalTier, caller: Caller) -> None:
        job_id = await submit(caller, tier.hosts[0].entry_url, 40, "copy")
        check_all(await results(caller, tier.hosts[0].entry_url, job_id), 40, "copy")
        lost = next(host for host in tier.hosts[1:] if host.store is not None)
        await lost.abort()
        check_all(await results(caller, tier.hosts[0].entry_url, job_id), 40, "copy")

        async def noticed() -> bool:
            return len(tier.hosts[0].batch.fleet.data_hosts()) == 1

        await until(noticed)
        form = (
            b'--b\r\nContent-Disposition: form-data; name="purpose"\r\n\r\nuser_data\r\n--b'
            b'\r\nContent-Disposition: form-data; name="file"; filename="f"\r\n\r\nx\r\n'
            b"--b--\r\n"
        )
        refused = await caller.send(
            tier.hosts[0].entry_url + "/v1/files",
            "POST",
            form,
            content_type="multipart/form-data; boundary=b",
        )
        assert (refused.status, refused.json["error"]["code"]) == (503, "storage_insufficient")
        assert refused.headers["retry-after"]

    run_tier(tmp_path, work)


def test_not_repeatable_call_sent_to_all_hosts_at_the_same_time_runs_once(tmp_path: Path) -> None:
    async def work(tier: LocalTier, caller: Caller) -> None:
        async def redeem(host: int) -> Answer:
            return await caller.send(
                f"{tier.hosts[host].entry_url}/services/cards/redeem?card=1",
                "POST",
                idempotency_key="card-1",
                gradepoint_not_repeatable="true",
            )

        tier.service.delay_s = 0.1
        first = await asyncio.gather(*(redeem(host) for host in range(3)))
        assert sorted(answer.outcome for answer in first) == ["complete", "unknown", "unknown"]
        again = await asyncio.gather(*(redeem(host) for host in range(3)))
        assert {answer.body for answer in again} == {
            answer.body for answer in first if answer.outcome == "complete"
        }
        assert list(tier.service.ran.values()) == [1]

    run_tier(tmp_path, work)


def test_public_client_does_not_resend_a_not_repeatable_call_of_unknown_outcome(
    tmp_path: Path,
) -> None:
    async def work(tier: LocalTier, caller: Caller) -> None:
        for engine in tier.engines:
            engine.faults = EngineFaults(killer_text="boom")
        url = f"{tier.hosts[0].entry_url}/v1"
        async with AsyncOpenAI(base_url=url, api_key=LOCAL_CALLER_KEY) as client:
            try:
                await client.completions.create(
                    model="maker-lm",
                    prompt="boom",
                    max_tokens=30,
                    extra_headers={"gradepoint-not-repeatable": "true"},
                )
                raise AssertionError("the call cannot complete")
            except APIStatusError as error:
                assert error.response.headers["gradepoint-outcome"] == "unknown"
                assert error.response.headers["x-should-retry"] == "false"
                assert "retry-after" not in error.response.headers
        assert sum(engine.ran.get("boom", 0) for engine in tier.engines) == 1

    run_tier(tmp_path, work)


def test_lost_service_reply_is_unknown_and_a_resend_does_not_run(tmp_path: Path) -> None:
    async def work(tier: LocalTier, caller: Caller) -> None:
        tier.service.lose_answers = 1
        url = f"{tier.hosts[0].entry_url}/services/cards/redeem?card=2"
        for host in (0, 1, 0):
            url = f"{tier.hosts[host].entry_url}/services/cards/redeem?card=2"
            answer = await caller.send(
                url, "POST", idempotency_key="card-2", gradepoint_not_repeatable="true"
            )
            assert answer.outcome == "unknown"
        assert list(tier.service.ran.values()) == [1]

    run_tier(tmp_path, work)


def test_cancelled_job_stops_its_streams(tmp_path: Path) -> None:
    async def work(tier: LocalTier, caller: Caller) -> None:
        url = tier.hosts[0].entry_url
        job_id = await submit(caller, url, 2000, "cancel")

        async def running() -> bool:
            return any(engine.model.running for engine in tier.engines)

        await until(running)

        async def progress_shown() -> bool:
            listed = (await caller.operate(tier.hosts[1], "GET", "/admin/jobs")).json["jobs"]
            return bool(listed[0]["request_counts"]["completed"] > 0)

        await until(progress_shown)
        answer = await caller.send(f"{url}/v1/batches/{job_id}/cancel", "POST")
        assert answer.json["status"] == "cancelled"

        async def idle() -> bool:
            busy = any(engine.model.running or engine.model.waiting for engine in tier.engines)
            return not busy and not any(host.batch.worker.shared.chunks for host in tier.hosts)

        await until(idle)
        ran = sum(sum(engine.ran.values()) for engine in tier.engines)
        assert ran < 2000
        await asyncio.sleep(0.5)
        assert sum(sum(engine.ran.values()) for engine in tier.engines) == ran

    run_tier(tmp_path, work)


def test_cancellation_notice_stops_a_job_on_all_hosts_before_the_next_poll(tmp_path: Path) -> None:
    async def work(tier: LocalTier, caller: Caller) -> None:
        url = tier.hosts[0].entry_url
        job_id = await submit(caller, url, 2000, "hint")

        async def working() -> bool:
            return bool(any(host.batch.worker.shared.chunks for host in tier.hosts))

        await until(working)

        async def skip_poll() -> None:
            """Replace the poll. Commits are postponed too, so only the notice can stop the job."""

        for host in tier.hosts:
            host.batch.worker.claimer.poll = skip_poll  # type: ignore[method-assign]
            host.batch.settings.bundle_items = 100000
            host.batch.settings.bundle_age_s = 3600.0
        await caller.send(f"{url}/v1/batches/{job_id}/cancel", "POST")

        async def stopped() -> bool:
            busy = any(engine.model.running for engine in tier.engines)
            return not busy and not await working()

        await until(stopped)
        ran = sum(sum(engine.ran.values()) for engine in tier.engines)
        assert ran < 256, "a claimed chunk ran to its end after the cancellation"

    run_tier(tmp_path, work)


def test_planned_stop_of_a_target_under_load_interrupts_no_call(tmp_path: Path) -> None:
    async def work(tier: LocalTier, caller: Caller) -> None:
        assert tier.document is not None
        stop = asyncio.Event()
        answers: list[tuple[str, Answer]] = []

        async def load(worker: int) -> None:
            number = 0
            while not stop.is_set():
                number += 1
                prompt = f"load {worker} {number}"
                url = tier.hosts[worker % 3].entry_url + COMPLETIONS
                answers.append(
                    (prompt, await caller.send(url, "POST", body(prompt, 20, stream=True)))
                )

        tasks = [asyncio.create_task(load(worker)) for worker in range(12)]
        job_id = await submit(caller, tier.hosts[0].entry_url, 200, "drain")
        targets = [
            msgspec.structs.replace(row, state=TargetState.STOPPED)
            if row.name == "runner-1"
            else row
            for row in tier.document.targets
        ]
        await tier.apply(msgspec.structs.replace(tier.document, targets=targets))

        async def stopped() -> bool:
            return tier.engines[0].stopped

        await until(stopped)
        ran = sum(tier.engines[0].ran.values())
        await asyncio.sleep(0.3)
        assert sum(tier.engines[0].ran.values()) == ran
        stop.set()
        await asyncio.gather(*tasks)
        assert all(answer.outcome == "complete" for _, answer in answers)
        assert all(stream_text(answer) == expected_text(prompt, 20) for prompt, answer in answers)
        check_all(await results(caller, tier.hosts[0].entry_url, job_id), 200, "drain")
        await tier.apply(tier.document)

        async def back() -> bool:
            return not tier.engines[0].stopped

        await until(back)

    run_tier(tmp_path, work)


def test_conflicting_applies_report_both_versions_and_status_shows_each_host(
    tmp_path: Path,
) -> None:
    async def work(tier: LocalTier, caller: Caller) -> None:
        assert tier.document is not None
        changed = [msgspec.structs.replace(tier.document, name=f"change-{n}") for n in range(3)]
        answers = await asyncio.gather(
            *(
                caller.operate(host, "POST", "/admin/config?base=1", document)
                for host, document in zip(tier.hosts, changed, strict=True)
            )
        )
        assert sorted(answer.status for answer in answers) == [200, 409, 409]
        refused = next(answer for answer in answers if answer.status == 409)
        assert "version 1" in refused.json["error"]["message"]
        assert "version 2" in refused.json["error"]["message"]

        async def everywhere() -> bool:
            status = (await caller.operate(tier.hosts[0], "GET", "/admin/status")).json
            assert "hosts" in status, status
            return all(row.get("config_version") == 2 for row in status["hosts"])

        await until(everywhere)
        audit = (await caller.operate(tier.hosts[0], "GET", "/admin/audit")).json["audit"]
        assert [row["version"] for row in audit] == [1, 2]
        reader = await caller.send(
            tier.hosts[0].admin_url + "/admin/config",
            "POST",
            tier.document,
            key="gp.operator.wrong",
        )
        assert reader.status == 401

    run_tier(tmp_path, work)


def test_rotated_key_works_beside_the_old_one_until_that_is_removed(tmp_path: Path) -> None:
    async def work(tier: LocalTier, caller: Caller) -> None:
        from gradepoint.config.keys import hash_key, make_key

        assert tier.document is not None
        new = make_key("demo")
        old_hash = tier.document.organisations[0].keys[0]
        for keys, old_works in (([old_hash, hash_key(new)], True), ([hash_key(new)], False)):
            organisation = msgspec.structs.replace(tier.document.organisations[0], keys=keys)
            version = await tier.apply(
                msgspec.structs.replace(tier.document, organisations=[organisation])
            )

            async def in_force(version: int = version) -> bool:
                return all(host.entry.fleet.config.version == version for host in tier.hosts)

            await until(in_force)
            url = tier.hosts[1].entry_url + "/v1/models"
            assert (await caller.send(url, key=new)).status == 200
            assert ((await caller.send(url)).status == 200) is old_works

    run_tier(tmp_path, work)

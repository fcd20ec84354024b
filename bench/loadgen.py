"""Load generator: sends the calls and jobs of a trace over HTTP and checks every response."""

from __future__ import annotations

import asyncio
import itertools
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from gradepoint.standins.engine import expected_tokens
from gradepoint.wire import sse
from gradepoint.wire.http_client import ConnectFailed, HttpClient, ResponseBroken

from .traces import Kind, TraceLine

POLL_S = 0.5
"""Seconds between two status reads of a job."""
JOB_TIMEOUT_S = 600.0
"""Seconds for which a job is polled before its results are read as they are."""


@dataclass
class Ledger:
    """What callers were promised and what they got.

    :ivar accepted: calls and items that were not refused; each must complete exactly once.
    :ivar wrong: completed calls and items whose text differs from the expected one.
    :ivar lost: items without a result.
    :ivar not_repeatable_twice: not-repeatable calls that ran more than once.
    :ivar ran_after_not_run: calls that ran although their outcome was ``not-run``.
    :ivar outcomes: number of calls by outcome header; ``connection`` if there was no response.
    :ivar first_token: seconds to the first token of each stream.
    :ivar call_time: seconds that each answered call took.
    :ivar not_run_prompts: prompts of calls with the outcome ``not-run``.
    """

    accepted: int = 0
    completed_once: int = 0
    duplicated: int = 0
    lost: int = 0
    wrong: int = 0
    not_repeatable_twice: int = 0
    ran_after_not_run: int = 0
    outcomes: Counter[str] = field(default_factory=Counter)
    first_token: list[float] = field(default_factory=list)
    call_time: list[float] = field(default_factory=list)
    items_done: int = 0
    not_run_prompts: set[str] = field(default_factory=set)

    @property
    def clean(self) -> bool:
        """Whether no guarantee was violated."""
        violations = (
            self.duplicated
            + self.lost
            + self.wrong
            + self.not_repeatable_twice
            + self.ran_after_not_run
        )
        return violations == 0 and self.accepted == self.completed_once


@dataclass
class LoadRun:
    """Sends one trace to some entries.

    :param model: model name that callers use.
    :param engine_model: model name at the engines; the expected text depends on it.
    :param service: name of the plain HTTP service that service calls go to.
    :param speed: factor by which the trace runs faster.
    :param on_progress: called after each finished call or job.
    """

    entry_urls: list[str]
    api_key: str
    model: str
    engine_model: str
    service: str
    speed: float = 1.0
    ledger: Ledger = field(default_factory=Ledger)
    on_progress: Callable[[], None] = lambda: None

    def __post_init__(self) -> None:
        self.http = HttpClient()
        self.entry_counter = itertools.count()
        self.headers = {
            "authorization": f"Bearer {self.api_key}",
            "content-type": "application/json",
        }

    def next_url(self) -> str:
        """Return the next entry's URL in round-robin order, like a load balancer."""
        return self.entry_urls[next(self.entry_counter) % len(self.entry_urls)]

    async def run(self, lines: list[TraceLine]) -> Ledger:
        """Send the calls and jobs of *lines* at their times; wait for all of them."""
        started = time.monotonic()
        tasks: list[asyncio.Task[None]] = []
        for number, line in enumerate(lines):
            await asyncio.sleep(max(0.0, started + line.t / self.speed - time.monotonic()))
            if line.kind is Kind.ONLINE:
                tasks.append(asyncio.create_task(self.online(line, number)))
            elif line.kind is Kind.SERVICE:
                tasks.append(asyncio.create_task(self.service_call(line, number)))
            elif line.kind is Kind.BATCH_JOB:
                tasks.append(asyncio.create_task(self.run_batch_job(line, number)))
        await asyncio.gather(*tasks)
        return self.ledger

    async def online(self, line: TraceLine, number: int) -> None:
        """Send one completion, streamed or not, and check its text."""
        prompt = f"{line.prefix} listing {number} " + "x" * (line.prompt_tokens * 2)
        body = {
            "model": self.model,
            "prompt": prompt,
            "max_tokens": line.output_tokens,
            "stream": line.stream,
        }
        headers = dict(self.headers)
        headers["gradepoint-deadline-ms"] = str(int(line.deadline_s * 1000))
        if not line.repeatable:
            headers["gradepoint-not-repeatable"] = "true"
        if line.keyed:
            headers["idempotency-key"] = f"key-{number}"
        self.ledger.accepted += 1
        started = time.monotonic()
        try:
            response = await self.http.request(
                "POST", self.next_url() + "/v1/completions", msgspec.json.encode(body), headers
            )
            if response.status == 200 and line.stream:
                text = await self._read_stream(response, started)
            else:
                raw = await response.read()
                text = _text(raw) if response.status == 200 else None
        except (ConnectFailed, ResponseBroken):
            self._record_outcome(None, "connection", "")
            return
        self.ledger.call_time.append(time.monotonic() - started)
        outcome = response.trailers.get("gradepoint-outcome") or response.headers.get(
            "gradepoint-outcome", "?"
        )
        if outcome == "not-run":
            self.ledger.not_run_prompts.add(prompt)
        expected = "".join(expected_tokens(self.engine_model, prompt, line.output_tokens))
        self._record_outcome(text, outcome, expected)

    async def _read_stream(self, response: Any, started: float) -> str | None:
        text = ""
        complete = False
        async for payload in sse.decode(response.stream()):
            if not text:
                self.ledger.first_token.append(time.monotonic() - started)
            if payload == sse.DONE:
                complete = True
                continue
            event = msgspec.json.decode(payload)
            if "error" in event:
                return None
            text += "".join(choice.get("text", "") for choice in event["choices"])
        return text if complete else None

    def _record_outcome(self, text: str | None, outcome: str, expected: str) -> None:
        self.ledger.outcomes[outcome] += 1
        if outcome == "complete":
            if text == expected:
                self.ledger.completed_once += 1
            else:
                self.ledger.wrong += 1
        else:
            # A call that did not complete counts as refused, not as accepted.
            self.ledger.accepted -= 1
        self.on_progress()

    async def service_call(self, line: TraceLine, number: int) -> None:
        """Send one call to the plain HTTP service; a not-repeatable one must run only once."""
        method = "GET" if line.repeatable else "POST"
        path = "balance" if line.repeatable else "redeem"
        url = f"{self.next_url()}/services/{self.service}/{path}?card={number}"
        headers = dict(self.headers)
        if line.keyed:
            headers["idempotency-key"] = f"service-{number}"
        self.ledger.accepted += 1
        started = time.monotonic()
        try:
            response = await self.http.request(method, url, b"", headers)
            body = await response.read()
        except (ConnectFailed, ResponseBroken):
            self._record_outcome(None, "connection", "")
            return
        self.ledger.call_time.append(time.monotonic() - started)
        outcome = response.headers.get("gradepoint-outcome", "?")
        ran = msgspec.json.decode(body).get("count", 0) if outcome == "complete" else 0
        if not line.repeatable and ran > 1:
            self.ledger.not_repeatable_twice += 1
        self._record_outcome("" if response.status == 200 else None, outcome, "")

    async def run_batch_job(self, line: TraceLine, number: int) -> None:
        """Submit a batch job, wait until it ends and check every result."""
        prompts = {
            f"item-{index}": f"lot {number} item {index} " + "y" * (line.prompt_tokens * 2)
            for index in range(line.items)
        }
        rows = [
            {
                "custom_id": name,
                "method": "POST",
                "url": "/v1/completions",
                "body": {"model": self.model, "prompt": prompt, "max_tokens": line.output_tokens},
            }
            for name, prompt in prompts.items()
        ]
        job = await self.submit(rows, f"lot-{number}")
        self.ledger.accepted += line.items
        job = await self.wait_job(job["id"])
        results = await self.results(job)
        seen = Counter(row["custom_id"] for row in results)
        for row in results:
            prompt = prompts[row["custom_id"]]
            expected = "".join(expected_tokens(self.engine_model, prompt, line.output_tokens))
            got = (row.get("response") or {}).get("body", {})
            text = got.get("choices", [{}])[0].get("text") if isinstance(got, dict) else None
            if seen[row["custom_id"]] > 1:
                self.ledger.duplicated += 1
            elif text != expected:
                self.ledger.wrong += 1
            else:
                self.ledger.completed_once += 1
        self.ledger.lost += len(set(prompts) - set(seen))
        self.ledger.items_done += len(seen)
        self.on_progress()

    async def submit(self, rows: list[dict[str, Any]], key: str) -> dict[str, Any]:
        """Upload an input file and create a batch job, retrying at other entries."""
        data = b"\n".join(msgspec.json.encode(row) for row in rows) + b"\n"
        boundary = "gradepoint-bench"
        form = (
            (
                f'--{boundary}\r\nContent-Disposition: form-data; name="purpose"\r\n\r\nbatch\r\n'
                f'--{boundary}\r\nContent-Disposition: form-data; name="file"; '
                f'filename="lot.jsonl"\r\n\r\n'
            ).encode()
            + data
            + f"\r\n--{boundary}--\r\n".encode()
        )
        headers = {**self.headers, "content-type": f"multipart/form-data; boundary={boundary}"}
        uploaded = await self.send_with_retries("POST", "/v1/files", form, headers)
        body = {
            "input_file_id": uploaded["id"],
            "endpoint": "/v1/completions",
            "completion_window": "24h",
        }
        return await self.send_with_retries(
            "POST",
            "/v1/batches",
            msgspec.json.encode(body),
            {**self.headers, "idempotency-key": key},
        )

    async def wait_job(self, job_id: str) -> dict[str, Any]:
        """Poll a job until it ends or :data:`JOB_TIMEOUT_S` have passed."""
        deadline = time.monotonic() + JOB_TIMEOUT_S
        while time.monotonic() < deadline:
            job = await self.send_with_retries("GET", f"/v1/batches/{job_id}", b"", self.headers)
            if job["status"] != "in_progress":
                return job
            await asyncio.sleep(POLL_S)
        return job

    async def results(self, job: dict[str, Any]) -> list[dict[str, Any]]:
        """Return the rows of a job's output and error files."""
        rows: list[dict[str, Any]] = []
        for name in ("output_file_id", "error_file_id"):
            if job.get(name):
                path = f"/v1/files/{job[name]}/content"
                raw = await self.send_with_retries("GET", path, b"", self.headers, decode=False)
                rows += [msgspec.json.decode(line) for line in raw.splitlines()]
        return rows

    async def send_with_retries(
        self, method: str, path: str, body: bytes, headers: dict[str, str], *, decode: bool = True
    ) -> Any:
        """Send a repeatable request to one entry after another until it gets a 200.

        Raises :exc:`RuntimeError` for a client error that a retry would not cure.
        """
        pause = 0.1
        while True:
            try:
                response = await self.http.request(
                    method, self.next_url() + path, body, headers, timeout_s=120.0
                )
                raw = await response.read()
                if response.status == 200:
                    return msgspec.json.decode(raw) if decode else raw
                if response.status < 500 and response.status not in (408, 409, 429):
                    raise RuntimeError(f"{method} {path}: {response.status} {raw[:300]!r}")
            except (ConnectFailed, ResponseBroken):
                pass
            await asyncio.sleep(pause)
            pause = min(2.0, pause * 2)


def _text(raw: bytes) -> str:
    text: str = msgspec.json.decode(raw)["choices"][0]["text"]
    return text


def percentile(values: list[float], share: float) -> float:
    """Return the percentile at *share* (0 to 1); 0.0 for an empty list."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]

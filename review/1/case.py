"""Case 1: results that an outage of the store holds up outgrow one value, and are never listed."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

from review.deployment import Deployment, batch_route, make_items, run_case
from review.runner import whole_text

JOB = "7c41e09b52d6a3f8"
ITEMS = 200
"""The most items that a batch job may have."""
EVENTS, SIZE, EVENT_MS = 268, 55, 9.0
"""Events of one item and bytes of one event, as of the class night-translate."""
DOWN_S = 6.0
FINISH_S = 18.0
CALM_S = 6.0
LONGEST_RUN_S = 40.0


async def play(deployment: Deployment, trouble: bool) -> int:
    """Hand in a job, let the store be down for a while, and read the job once all items ran."""
    arguments = ["--events", str(EVENTS), "--size", str(SIZE), "--event-ms", str(EVENT_MS)]
    await deployment.start([batch_route()], [arguments] * 6)
    items = make_items(JOB, ITEMS, (350, 680))
    ids = {str(item["id"]) for item in items}
    if await deployment.submit(JOB, items) != 202:
        return 2
    await asyncio.sleep(1.0)
    if trouble:
        deployment.note(f"the store is down for {DOWN_S} s: it answers 503 (busy)")
        deployment.store.set_down(True)
        await asyncio.sleep(DOWN_S)
        deployment.store.set_down(False)
        deployment.note("the store is back")
    until = time.monotonic() + LONGEST_RUN_S
    while deployment.count_finished(ids) < ITEMS and time.monotonic() < until:
        await asyncio.sleep(0.5)
    done = deployment.count_finished(ids)
    deployment.note(f"runners have sent {done} of {ITEMS} items to their end")
    if done < ITEMS:
        return 2
    until = time.monotonic() + FINISH_S + CALM_S
    listed: list[dict[str, str]] | None = None
    while time.monotonic() < until:
        await asyncio.sleep(1.0)
        listed = await deployment.read_all(JOB, 1)
        deployment.note(f"read: {'no answer' if listed is None else len(listed)} listed")
        if listed is not None and len(listed) == ITEMS:
            break
    for reason in sorted({text for _, text in deployment.store.refused}):
        deployment.note(f"the store refused a write with 413: {reason}")
    deployment.note(f"writes refused with 413: {len(deployment.store.refused)}")
    if listed is None:
        deployment.note("LOST: the job can't be read")
        return 1
    wrong = [row for row in listed if row["message"] != whole_text(row["id"], EVENTS, SIZE)]
    if len(listed) < ITEMS:
        deployment.note(f"LOST: {ITEMS - len(listed)} items are neither complete nor dead")
    deployment.note(f"{len(listed)} of {ITEMS} items are listed, {len(wrong)} with a wrong text")
    return int(len(listed) < ITEMS or bool(wrong))


run_case(Path(__file__).resolve().parent, play)

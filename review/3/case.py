"""Case 3: a job with an item above ``value_bytes`` is accepted, and never entered or listed."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

from review.deployment import Deployment, batch_route, make_items, run_case
from review.runner import whole_text

JOB = "7c41e09b52d6a3f8"
EVENTS, SIZE, EVENT_MS = 268, 55, 9.0
LARGE_BODY = 1_200_000
"""Bytes of the body; the request has 1.6 MB, below ``body_bytes`` (4 MiB)."""
USUAL_BODY = 790_000
"""Largest body of the class night-translate in the site file."""
FINISH_S = 18.0
CALM_S = 6.0


async def play(deployment: Deployment, trouble: bool) -> int:
    """Hand in a job of one item, and read it until it is listed or its time is over."""
    arguments = ["--events", str(EVENTS), "--size", str(SIZE), "--event-ms", str(EVENT_MS)]
    await deployment.start([batch_route()], [arguments] * 6)
    items = make_items(JOB, 1, (350, 680), LARGE_BODY if trouble else USUAL_BODY)
    deployment.note(f"the item's body has {LARGE_BODY if trouble else USUAL_BODY} bytes")
    status = await deployment.submit(JOB, items)
    if status != 202:
        # Refused: nothing is promised then, so that nothing can be lost.
        return 0 if status in (413, 429, 503) else 2
    until = time.monotonic() + FINISH_S + CALM_S
    listed: list[dict[str, str]] | None = None
    while time.monotonic() < until:
        await asyncio.sleep(2.0)
        listed = await deployment.read_all(JOB, 1)
        deployment.note(f"read: {'no answer' if listed is None else len(listed)} listed")
        if listed:
            break
    done = deployment.count_finished({str(items[0]["id"])})
    deployment.note(f"runners have sent {done} of 1 items to their end")
    for reason in sorted({text for _, text in deployment.store.refused}):
        deployment.note(f"the store refused a write with 413: {reason}")
    deployment.note(f"writes refused with 413: {len(deployment.store.refused)}")
    if not listed:
        deployment.note("LOST: the item is neither complete nor dead")
        return 1
    return int(listed[0]["message"] != whole_text(listed[0]["id"], EVENTS, SIZE))


run_case(Path(__file__).resolve().parent, play)

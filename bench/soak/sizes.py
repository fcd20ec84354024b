"""Sizes of a soak's deployment, jobs and texts, from below to above the limits of its store."""

from __future__ import annotations

import base64
import random
from collections import Counter
from typing import TYPE_CHECKING

import msgspec

from gradepoint.kv.limits import KvLimits
from gradepoint.wire.http_client import ConnectFailed, HttpClient, ResponseBroken

if TYPE_CHECKING:
    from collections.abc import Iterable

    from gradepoint.errors import KvRejected

VALUE_BYTES = (16 << 10, 64 << 10, 256 << 10)
"""Sizes of the largest value that a store takes."""
SETTING_SHARES = (0.5, 0.99, 1.0, 1.01, 2.0)
"""Sizes of that value in the hosts' settings, as shares of the true one."""
SIZE_SHARES = (0.001, 0.1, 0.69, 0.71, 0.99, 1.0, 1.01, 2.5)
"""Sizes of bodies and texts, as shares of the largest value."""
MAX_SUBMISSION_BYTES = 600_000
"""Most bytes of bodies in one submission; base64 adds a third to them."""
MAX_ITEMS = 200
READ_TIMEOUT_S = 5.0


class Sizes:
    """The sizes that one seed draws.

    :ivar limits: limits of the store.
    :ivar settings: settings of every program, beside its own.
    :ivar data_bytes: size of the data of each event of the targets.
    :ivar bodies: bodies of the items of each submitted job.
    """

    def __init__(self, seed: int, events: int) -> None:
        # A generator of its own leaves the other draws of the seed as they are.
        self.rng = random.Random(f"{seed} sizes")
        value_bytes = self.rng.choice(VALUE_BYTES)
        self.limits = KvLimits(value_bytes)
        self.settings = {"store_value_bytes": int(value_bytes * self.rng.choice(SETTING_SHARES))}
        self.data_bytes = max(1, int(value_bytes * self.rng.choice(SIZE_SHARES)) // events)
        self.bodies: dict[str, list[bytes]] = {}

    def draw_bodies(self, job: str) -> list[bytes]:
        """Draw the number and the sizes of a job's items; return and keep their bodies."""
        count = self.rng.choice((1, self.rng.randint(1, 6), self.rng.randint(1, MAX_ITEMS)))
        left = MAX_SUBMISSION_BYTES
        bodies = []
        for _ in range(count):
            size = int(self.limits.value_bytes * self.rng.choice(SIZE_SHARES))
            size = max(1, min(size, left // 2))
            left -= size
            bodies.append(self.rng.randbytes(size))
        self.bodies[job] = bodies
        return bodies

    async def find_wrong_bodies(
        self, http: HttpClient, callers: tuple[str, int], job: str, headers: list[tuple[str, str]]
    ) -> list[str]:
        """Read the first and the last item of a job; return a message for each wrong body."""
        bodies = self.bodies[job]
        wrong = []
        for index in sorted({0, len(bodies) - 1}):
            target = f"/api/items/{job}?id={job}.{index}"
            try:
                response = await http.send(
                    callers, "GET", target, b"", headers, timeout_s=READ_TIMEOUT_S, fresh=True
                )
                body = await response.read()
            except (ConnectFailed, ResponseBroken):
                continue
            if response.status == 200 and body != bodies[index]:
                wrong.append(f"{job}: item {index} has a wrong body")
        return wrong


def encode_submission(job: str, bodies: list[bytes]) -> bytes:
    """Return the submission of a job whose items have these bodies."""
    rows = [
        {
            "id": f"{job}.{index}",
            "path": f"/night/{index}",
            "headers": {},
            "body": base64.b64encode(body).decode(),
            "tokens": 10,
        }
        for index, body in enumerate(bodies)
    ]
    return msgspec.json.encode({"items": rows})


def find_repeated_rejections(rejected: Iterable[KvRejected], lives: int) -> list[str]:
    """Return a message for each refused write that was sent again unchanged.

    :param lives: number of starts of all programs. Each of them may send the write once, since it
        does not know what another one was refused.
    """
    counts = Counter((error.key, error.size) for error in rejected)
    return [
        f"a write of {size} bytes to {key} was refused {count} times"
        for (key, size), count in counts.items()
        if count > lives
    ]

"""The catalogue of numbered log events.

Numbers are grouped: 1xx process, 2xx online, 3xx batch, 4xx storage, 5xx
configuration and membership, 6xx orders, 7xx platform. A number is never reused.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class Event:
    """One kind of log line.

    :param number: stable number.
    :param name: short name, also the metric label.
    :param level: loguru level name.
    :param meaning: what happened and what an operator does about it.
    """

    number: int
    name: str
    level: str
    meaning: str


CATALOGUE: dict[int, Event] = {}


def _declare(number: int, name: str, level: str, meaning: str) -> Event:
    if number in CATALOGUE:
        raise ValueError(f"event {number} is declared twice")
    event = Event(number, name, level, meaning)
    CATALOGUE[number] = event
    return event


PROGRAM_STARTED = _declare(101, "program_started", "INFO", "A program is ready to serve.")
PROGRAM_STOPPING = _declare(102, "program_stopping", "INFO", "A program was asked to stop.")
HANDLER_FAILED = _declare(103, "handler_failed", "ERROR", "A fault in gradepoint; report it.")
LOOP_PAUSED = _declare(104, "loop_paused", "WARNING", "The event loop stood still; leases dropped.")
CALL_REFUSED = _declare(201, "call_refused", "INFO", "A call was refused; see the code.")
CALL_RETRIED = _declare(202, "call_retried", "INFO", "A call goes to another target.")
CALL_UNKNOWN = _declare(203, "call_unknown", "WARNING", "A call ended with outcome unknown.")
STREAM_RESUMED = _declare(204, "stream_resumed", "INFO", "A broken stream goes on.")
TARGET_EJECTED = _declare(205, "target_ejected", "WARNING", "A target failed repeatedly.")
ANSWER_NOT_KEPT = _declare(206, "answer_not_kept", "WARNING", "A keyed answer was not kept.")
JOB_ACCEPTED = _declare(301, "job_accepted", "INFO", "A batch job is durable.")
JOB_FINISHED = _declare(302, "job_finished", "INFO", "A batch job ended.")
JOB_CANCELLED = _declare(303, "job_cancelled", "INFO", "A batch job was cancelled.")
CHUNK_CLAIMED = _declare(304, "chunk_claimed", "DEBUG", "This host works on a chunk.")
CHUNK_LOST = _declare(305, "chunk_lost", "INFO", "Another host took the chunk; work dropped.")
CHUNK_COMMITTED = _declare(306, "chunk_committed", "DEBUG", "Results of a chunk count now.")
ITEM_SUSPECTED = _declare(307, "item_suspected", "WARNING", "An item ran when a target died.")
BATCH_LOOP_FAILED = _declare(308, "batch_loop_failed", "WARNING", "A batch step failed; retried.")
OBJECT_CORRUPT = _declare(401, "object_corrupt", "ERROR", "A copy failed its hash; see repair.")
OBJECT_REPAIRED = _declare(402, "object_repaired", "INFO", "An object has two copies again.")
OBJECT_COLLECTED = _declare(403, "object_collected", "DEBUG", "An unreferenced object is gone.")
CONFIG_IN_FORCE = _declare(501, "config_in_force", "INFO", "A configuration version is in force.")
CONFIG_APPLIED = _declare(502, "config_applied", "INFO", "An operator applied a version.")
CONFIG_CONFLICT = _declare(503, "config_conflict", "WARNING", "Two operators applied at once.")
MEMBER_JOINED = _declare(510, "member_joined", "INFO", "A host is live.")
MEMBER_LOST = _declare(511, "member_lost", "WARNING", "A host stopped its heartbeat.")
LEADER_ELECTED = _declare(520, "leader_elected", "INFO", "This host gives orders now.")
LEADER_RESIGNED = _declare(521, "leader_resigned", "INFO", "This host gives no more orders.")
ORDER_SENT = _declare(601, "order_sent", "INFO", "An order went to a target.")
ORDER_REFUSED = _declare(602, "order_refused", "WARNING", "A target refused an order.")
ORDER_WITHHELD = _declare(603, "order_withheld", "WARNING", "An order's lease had lapsed.")
TARGET_DRAINED = _declare(604, "target_drained", "INFO", "A target has no request in progress.")
KV_FAILING = _declare(701, "kv_failing", "WARNING", "The key-value service does not answer.")
KV_RECOVERED = _declare(702, "kv_recovered", "INFO", "The key-value service answers again.")

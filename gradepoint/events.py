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
PROGRAM_STOPPED = _declare(105, "program_stopped", "INFO", "A program ends; what was cut is told.")
LINES_LEFT_OUT = _declare(106, "lines_left_out", "WARNING", "More lines than allowed; see counts.")
TASK_FAILED = _declare(107, "task_failed", "ERROR", "Background work ended by a fault; report it.")
LOOP_FAILED = _declare(108, "loop_failed", "ERROR", "A loop met a fault and goes on; report it.")
HANDLER_FAILED = _declare(103, "handler_failed", "ERROR", "A fault in gradepoint; report it.")
LOOP_PAUSED = _declare(104, "loop_paused", "WARNING", "The event loop stood still; leases dropped.")
STOOD_STILL = _declare(
    109, "stood_still", "WARNING", "This host stood still; it looks again first."
)
CALL_REFUSED = _declare(201, "call_refused", "INFO", "A call was refused; see the code.")
CALLER_REFUSED = _declare(
    223,
    "caller_refused",
    "INFO",
    "No organisation has the call's key; see its fingerprint, and the version and its age.",
)
QUOTA_REACHED = _declare(
    222, "quota_reached", "INFO", "An organisation is beyond its quota; see the room it has."
)
CALL_RETRIED = _declare(202, "call_retried", "INFO", "A call goes to another target.")
CALL_UNKNOWN = _declare(203, "call_unknown", "WARNING", "A call ended with outcome unknown.")
STREAM_RESUMED = _declare(204, "stream_resumed", "INFO", "A broken stream goes on.")
TARGET_EJECTED = _declare(205, "target_ejected", "WARNING", "A target failed repeatedly.")
TARGET_LISTED = _declare(207, "target_listed", "INFO", "A target is listed.")
TARGET_STATE = _declare(208, "target_state", "INFO", "A listed target changed its state.")
TARGET_REPLACED = _declare(
    214, "target_replaced", "INFO", "A target has started again; its former life is forgotten."
)
TARGET_ENDED = _declare(
    215, "target_ended", "WARNING", "A target ended under the named requests of this host."
)
REQUEST_SUSPECTED = _declare(
    217, "request_suspected", "WARNING", "Targets ended under a request; it is tried alone."
)
REQUEST_HELD = _declare(
    218, "request_held", "WARNING", "A request ended its targets again and is held back."
)
REQUEST_CLEARED = _declare(
    219, "request_cleared", "INFO", "A request is served again like any other; see its standing."
)
HELD_NOT_KEPT = _declare(
    220, "held_not_kept", "WARNING", "The service did not take what is held back; hosts know it."
)
HELD_UNREADABLE = _declare(
    221, "held_unreadable", "ERROR", "A key of what is held back cannot be decoded."
)
TARGET_CLOSED = _declare(
    216, "target_closed", "WARNING", "Nothing listens at a target's address; it gets no calls."
)
TARGET_VANISHED = _declare(209, "target_vanished", "INFO", "A target's row is gone.")
CALL_SENT = _declare(213, "call_sent", "INFO", "A call was sent to the chosen target.")
CALL_ANSWERED = _declare(210, "call_answered", "INFO", "A call got its answer; see the status.")
CALL_CUT = _declare(211, "call_cut", "WARNING", "An answer broke off; the caller was cut.")
CALL_LEFT = _declare(212, "call_left", "INFO", "The caller left before its answer ended.")
ANSWER_NOT_KEPT = _declare(206, "answer_not_kept", "WARNING", "A keyed answer was not kept.")
JOB_ACCEPTED = _declare(301, "job_accepted", "INFO", "A batch job is durable.")
JOB_FINISHED = _declare(302, "job_finished", "INFO", "A batch job ended.")
JOB_CANCELLED = _declare(303, "job_cancelled", "INFO", "A batch job was cancelled.")
CHUNK_CLAIMED = _declare(304, "chunk_claimed", "DEBUG", "This host works on a chunk.")
CHUNK_LOST = _declare(305, "chunk_lost", "INFO", "Another host took the chunk; work dropped.")
CHUNK_COMMITTED = _declare(306, "chunk_committed", "DEBUG", "Results of a chunk count now.")
ITEM_SUSPECTED = _declare(307, "item_suspected", "WARNING", "An item ran when a target died.")
BATCH_LOOP_FAILED = _declare(308, "batch_loop_failed", "WARNING", "A batch step failed; retried.")
JOB_TAKEN = _declare(309, "job_taken", "INFO", "This host runs a job now.")
JOB_DROPPED = _declare(310, "job_dropped", "INFO", "This host runs a job no more; see the reason.")
JOB_SUPERSEDED = _declare(311, "job_superseded", "INFO", "Another host changed a job first.")
JOB_REFUSED = _declare(312, "job_refused", "INFO", "A job was refused and is not kept.")
JOB_UNCERTAIN = _declare(313, "job_uncertain", "WARNING", "A job may or may not be kept.")
JOB_UNREADABLE = _declare(314, "job_unreadable", "WARNING", "A job's record could not be read.")
QUOTA_UNREADABLE = _declare(
    330, "quota_unreadable", "ERROR", "A count of waiting tokens cannot be read; counted anew."
)
JOB_ENDED = _declare(315, "job_ended", "INFO", "A client ended its job.")
ITEMS_LISTED = _declare(316, "items_listed", "INFO", "Results of a job are listed for good.")
COMMIT_FAILED = _declare(317, "commit_failed", "WARNING", "A commit got no answer; tried again.")
ITEM_RETRIED = _declare(318, "item_retried", "INFO", "An item goes on elsewhere.")
ITEM_FAILED = _declare(319, "item_failed", "INFO", "A target ran an item and failed.")
ITEM_DEAD = _declare(320, "item_dead", "WARNING", "An item is listed as dead; see the reason.")
ITEM_GAVE_WAY = _declare(321, "item_gave_way", "INFO", "An item gave its slot to a caller.")
JOB_ADOPTED = _declare(322, "job_adopted", "INFO", "A job of a lost host is run here now.")
ADOPTION_FAILED = _declare(323, "adoption_failed", "WARNING", "Jobs could not be looked at.")
ITEM_STARTED = _declare(324, "item_started", "INFO", "An item was sent to a target.")
ITEM_ENDED = _declare(325, "item_ended", "INFO", "A target gave the whole text of an item.")
JOB_SPOOLED = _declare(327, "job_spooled", "INFO", "Data hosts keep a job for the service.")
JOB_ENTERED = _declare(328, "job_entered", "INFO", "A spooled job is in the service now.")
SPOOL_WAITS = _declare(329, "spool_waits", "INFO", "A spooled job could not be entered yet.")
SPOOL_LOADED = _declare(410, "spool_loaded", "INFO", "The spool of an earlier life was read.")
SPOOL_KEPT = _declare(411, "spool_kept", "INFO", "A job is on this data host's disk.")
SPOOL_REFUSED = _declare(412, "spool_refused", "WARNING", "A job could not be kept here.")
SPOOL_FORGOTTEN = _declare(413, "spool_forgotten", "INFO", "A job needs its copy no longer.")
SPOOL_UNREADABLE = _declare(414, "spool_unreadable", "ERROR", "A spooled job cannot be decoded.")
JOB_IDLE = _declare(326, "job_idle", "WARNING", "A live host does not run a job that it owns.")
OBJECT_CORRUPT = _declare(401, "object_corrupt", "ERROR", "A copy failed its hash; see repair.")
OBJECT_REPAIRED = _declare(402, "object_repaired", "INFO", "An object has two copies again.")
OBJECT_COLLECTED = _declare(403, "object_collected", "DEBUG", "An unreferenced object is gone.")
CONFIG_IN_FORCE = _declare(501, "config_in_force", "INFO", "A configuration version is in force.")
CONFIG_UNREADABLE = _declare(504, "config_unreadable", "ERROR", "A version cannot be decoded.")
TARGET_UNREADABLE = _declare(505, "target_unreadable", "ERROR", "A target's row cannot be decoded.")
ORGANISATION_UNREADABLE = _declare(
    524, "organisation_unreadable", "ERROR", "An organisation cannot be decoded; it cannot call."
)
HOST_UNREADABLE = _declare(
    523, "host_unreadable", "ERROR", "A host's row cannot be decoded; the host is not listed."
)
HOST_EMPTIED = _declare(506, "host_emptied", "INFO", "A data host to be retired holds nothing.")
HOST_READY = _declare(507, "host_ready", "INFO", "This host takes calls.")
SETTINGS_RELOADED = _declare(508, "settings_reloaded", "INFO", "The settings file was read anew.")
CONFIG_APPLIED = _declare(502, "config_applied", "INFO", "An operator applied a version.")
CONFIG_CONFLICT = _declare(503, "config_conflict", "WARNING", "Two operators applied at once.")
MEMBER_JOINED = _declare(510, "member_joined", "INFO", "A host is live.")
MEMBER_LOST = _declare(511, "member_lost", "WARNING", "A host stopped its heartbeat.")
PRESENCE_FAILING = _declare(512, "presence_failing", "WARNING", "The lease was not renewed.")
PRESENCE_LAPSED = _declare(513, "presence_lapsed", "WARNING", "The lease lapsed.")
BEAT_DROPPED = _declare(514, "beat_dropped", "WARNING", "A datagram could not be read.")
PEER_SILENT = _declare(515, "peer_silent", "WARNING", "Another host did not answer.")
WATCH_ROLE = _declare(516, "watch_role", "INFO", "This host began or ended to watch the service.")
WATCH_MISSED = _declare(
    519, "watch_missed", "WARNING", "A change came another way than by this host's watch."
)
VIEW_NOT_PROVEN = _declare(
    522, "view_not_proven", "WARNING", "The service did not say whether a view lacks a change."
)
AGGREGATORS = _declare(517, "aggregators", "INFO", "Other hosts add up the fleet's calls now.")
MEMBER_SILENT = _declare(518, "member_silent", "WARNING", "A listed host is not heard any more.")
LEADER_ELECTED = _declare(520, "leader_elected", "INFO", "This host gives orders now.")
LEADER_RESIGNED = _declare(521, "leader_resigned", "INFO", "This host gives no more orders.")
ORDER_SENT = _declare(601, "order_sent", "INFO", "An order went to a target.")
ORDER_REFUSED = _declare(602, "order_refused", "WARNING", "A target refused an order.")
ORDER_WITHHELD = _declare(603, "order_withheld", "WARNING", "An order's lease had lapsed.")
TARGET_DRAINED = _declare(604, "target_drained", "INFO", "A target has no request in progress.")
KV_FAILING = _declare(701, "kv_failing", "WARNING", "The key-value service does not answer.")
KV_RECOVERED = _declare(702, "kv_recovered", "INFO", "The key-value service answers again.")
KV_HISTORY_LOST = _declare(703, "kv_history_lost", "INFO", "Changes were forgotten; read anew.")
STORE_LOST = _declare(704, "store_lost", "WARNING", "The service does not answer this host.")
STORE_REGAINED = _declare(705, "store_regained", "INFO", "The service answers this host again.")

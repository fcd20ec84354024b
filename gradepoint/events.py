"""The catalogue of numbered log events.

Numbers are grouped: 1xx process, 2xx online, 3xx batch, 4xx storage, 5xx configuration and
membership, 6xx orders to targets, 7xx external services. A number is never reused, since log
searches and alerts refer to it.
"""

from __future__ import annotations

from .util.structs import Struct


class Event(Struct, frozen=True):
    """One kind of log event.

    :param number: stable number.
    :param name: stable short name; also a metric label.
    :param level: loguru level name.
    :param meaning: what happened and, where needed, what an operator does about it.
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
PROGRAM_STOPPED = _declare(
    105, "program_stopped", "INFO", "A program ends; the fields tell which work was cut off."
)
LINES_LEFT_OUT = _declare(
    106,
    "lines_left_out",
    "WARNING",
    "Log lines were dropped (rate limit or full buffer); see by_event.",
)
TASK_FAILED = _declare(
    107, "task_failed", "ERROR", "A background task ended with an exception; report it."
)
LOOP_FAILED = _declare(
    108,
    "loop_failed",
    "ERROR",
    "A background loop, or a step of one, raised an exception; it is run again. Report it.",
)
HANDLER_FAILED = _declare(
    103,
    "handler_failed",
    "ERROR",
    "A request handler failed through a fault in gradepoint; report it.",
)
LOOP_PAUSED = _declare(
    104, "loop_paused", "WARNING", "The event loop was blocked or suspended; leases were dropped."
)
STOOD_STILL = _declare(
    109,
    "stood_still",
    "WARNING",
    "This host was suspended or blocked; it refreshes its state first.",
)
HOST_OVERLOADED = _declare(
    110,
    "host_overloaded",
    "WARNING",
    "The event loop is late; part of the new connections are closed unread. See the shares of the "
    "time that its own parts use.",
)
HOST_RELIEVED = _declare(
    111, "host_relieved", "INFO", "The event loop keeps up again; all connections are accepted."
)
PROGRAM_ENDED = _declare(
    112, "program_ended", "INFO", "A program has stopped after the named signal; its last line."
)
PROGRAM_FAILED = _declare(
    113, "program_failed", "ERROR", "A program ends because of an unexpected error; report it."
)
FORMER_RUN_KILLED = _declare(
    114,
    "former_run_killed",
    "WARNING",
    "The former run of this program ended without a stop; look for its last lines.",
)
FORMER_RUN_LISTED = _declare(
    115,
    "former_run_listed",
    "WARNING",
    "The former run of this program is still listed: it ended without a stop, or still runs.",
)
RUN_MARKER_FAILED = _declare(
    116,
    "run_marker_failed",
    "WARNING",
    "The file that tells how a run ended cannot be read or written; the program goes on.",
)
LOOP_ERROR = _declare(
    119, "loop_error", "ERROR", "The event loop met an error that no task handles; see the reason."
)
PORT_WAITS = _declare(
    117,
    "port_waits",
    "WARNING",
    "A port cannot be opened now; the program waits for it. Look for what else has the address.",
)
PROGRAM_STARTING = _declare(
    120, "program_starting", "INFO", "A program begins to start; program_started follows."
)
PORT_OPENED = _declare(118, "port_opened", "INFO", "A port that was waited for is open.")
CALL_REFUSED = _declare(201, "call_refused", "INFO", "A call was refused; see the code.")
CALLER_REFUSED = _declare(
    223,
    "caller_refused",
    "INFO",
    "The call's key belongs to no organisation; see its fingerprint, the version and its age.",
)
QUOTA_REACHED = _declare(
    222, "quota_reached", "INFO", "An organisation exceeds its quota; see the remaining room."
)
NO_ROOM = _declare(
    240,
    "no_room",
    "INFO",
    "A call was refused for lack of room; the fields are what the decision was based on.",
)
CALL_RETURNED = _declare(
    241, "call_returned", "INFO", "A call came back that was refused for lack of room before."
)
MEMORY_USED_UP = _declare(
    250,
    "memory_used_up",
    "WARNING",
    "The memory for requests is used up and one was refused; at most once in 10 s.",
)
ANSWER_UNREAD = _declare(
    251,
    "answer_unread",
    "INFO",
    "A caller did not read its answer in time; its connection is closed.",
)
JOB_WAITS_FOR_MEMORY = _declare(
    252,
    "job_waits_for_memory",
    "WARNING",
    "A job of this host is not read yet, since memory does not suffice for it.",
)
CALL_RETRIED = _declare(202, "call_retried", "INFO", "A call is retried at another target.")
CALL_UNKNOWN = _declare(203, "call_unknown", "WARNING", "A call ended with outcome unknown.")
STREAM_RESUMED = _declare(204, "stream_resumed", "INFO", "An interrupted stream is resumed.")
STREAM_TAKEN_UP = _declare(
    224,
    "stream_taken_up",
    "INFO",
    "A caller resumes a stream; the source tells how its software version was found.",
)
TARGET_EJECTED = _declare(
    205, "target_ejected", "WARNING", "A target failed repeatedly and gets no calls for a while."
)
TARGET_LISTED = _declare(207, "target_listed", "INFO", "A target was added to the list.")
TARGET_STATE = _declare(208, "target_state", "INFO", "A listed target changed its state.")
TARGET_REPLACED = _declare(
    214,
    "target_replaced",
    "INFO",
    "A target restarted; the state of its former incarnation is discarded.",
)
TARGET_ENDED = _declare(
    215,
    "target_ended",
    "WARNING",
    "A target crashed while it ran the named requests of this host, with these prompt parts.",
)
REQUEST_SUSPECTED = _declare(
    217,
    "request_suspected",
    "WARNING",
    "Targets crashed while they ran a request, or prompts with a part; they are tried alone.",
)
REQUEST_HELD = _declare(
    218,
    "request_held",
    "WARNING",
    "A request, or a part of prompts, crashed targets again and is held back.",
)
REQUEST_CLEARED = _declare(
    219,
    "request_cleared",
    "INFO",
    "A request, or a part of prompts, is served normally again; see its standing.",
)
VERSIONS_NOT_KEPT = _declare(
    225,
    "versions_not_kept",
    "WARNING",
    "The software versions of the services could not be stored; tried again each second.",
)
VERSIONS_UNREADABLE = _declare(
    226,
    "versions_unreadable",
    "ERROR",
    "The record of the services' software versions cannot be decoded; it is replaced.",
)
HELD_NOT_KEPT = _declare(
    220,
    "held_not_kept",
    "WARNING",
    "The service did not store a change of a held request or part; hosts still share it.",
)
HELD_UNREADABLE = _declare(
    221, "held_unreadable", "ERROR", "The record of a held request or part cannot be decoded."
)
TARGET_CLOSED = _declare(
    216, "target_closed", "WARNING", "Nothing listens at a target's address; it gets no calls."
)
TARGET_VANISHED = _declare(209, "target_vanished", "INFO", "A target's record was deleted.")
CALL_SENT = _declare(213, "call_sent", "INFO", "A call was sent to the chosen target.")
CALL_ANSWERED = _declare(210, "call_answered", "INFO", "A call was answered; see the status.")
CALL_CUT = _declare(
    211, "call_cut", "WARNING", "An answer broke off, and the caller's connection was closed."
)
CALL_LEFT = _declare(212, "call_left", "INFO", "The caller disconnected before its answer ended.")
ANSWER_NOT_KEPT = _declare(
    206,
    "answer_not_kept",
    "WARNING",
    "The answer of a call with an idempotency key was not stored.",
)
JOB_ACCEPTED = _declare(301, "job_accepted", "INFO", "A batch job is stored durably.")
JOB_FINISHED = _declare(302, "job_finished", "INFO", "A batch job ended.")
JOB_CANCELLED = _declare(303, "job_cancelled", "INFO", "A batch job was cancelled.")
CHUNK_CLAIMED = _declare(304, "chunk_claimed", "DEBUG", "This host claimed a chunk.")
CHUNK_LOST = _declare(
    305, "chunk_lost", "INFO", "Another host took the chunk; the work on it is dropped."
)
CHUNK_COMMITTED = _declare(306, "chunk_committed", "DEBUG", "Results of a chunk are committed.")
ITEM_SUSPECTED = _declare(
    307, "item_suspected", "WARNING", "A target crashed while it ran the item."
)
BATCH_LOOP_FAILED = _declare(
    308, "batch_loop_failed", "WARNING", "A step of the batch loop failed; it is retried."
)
JOB_TAKEN = _declare(309, "job_taken", "INFO", "This host starts to run a job.")
JOB_DROPPED = _declare(310, "job_dropped", "INFO", "This host stops running a job; see the reason.")
JOB_SUPERSEDED = _declare(311, "job_superseded", "INFO", "Another host changed a job first.")
JOB_REFUSED = _declare(312, "job_refused", "INFO", "A job was refused and is not stored.")
JOB_UNCERTAIN = _declare(313, "job_uncertain", "WARNING", "It is unknown whether a job is stored.")
JOB_UNREADABLE = _declare(314, "job_unreadable", "WARNING", "A job's record could not be read.")
JOB_GIVEN_UP = _declare(
    336,
    "job_given_up",
    "ERROR",
    "Items or results of a job stayed unreadable; it is not run any more, and readers are refused.",
)
QUOTA_UNREADABLE = _declare(
    330,
    "quota_unreadable",
    "ERROR",
    "A count of waiting tokens cannot be decoded; it is counted again.",
)
JOB_SET_ASIDE = _declare(
    380,
    "job_set_aside",
    "ERROR",
    "The records of a batch job cannot be used; it is tried again later, after the other jobs.",
)
JOB_ENDED = _declare(315, "job_ended", "INFO", "A client ended its job.")
ITEMS_LISTED = _declare(
    316, "items_listed", "INFO", "Results of items are committed to their job's record."
)
COMMIT_FAILED = _declare(317, "commit_failed", "WARNING", "A commit got no answer; it is retried.")
ITEM_RETRIED = _declare(
    318, "item_retried", "INFO", "An attempt at an item failed; the item is retried."
)
ITEM_FAILED = _declare(319, "item_failed", "INFO", "A target ran an item and failed.")
ITEM_DEAD = _declare(320, "item_dead", "WARNING", "An item is marked as dead; see the reason.")
ITEM_GAVE_WAY = _declare(
    321, "item_gave_way", "INFO", "An item released its slot to an online call."
)
JOB_ADOPTED = _declare(322, "job_adopted", "INFO", "This host now runs a job of a lost host.")
ADOPTION_FAILED = _declare(
    323, "adoption_failed", "WARNING", "The search for jobs of lost hosts failed; it is retried."
)
ITEM_WAITS = _declare(
    339,
    "item_waits",
    "WARNING",
    "An item waits although targets have room; see reason and waits_s.",
)
ITEM_STARTED = _declare(324, "item_started", "INFO", "An item was sent to a target.")
ITEM_BEGUN_ANEW = _declare(
    331,
    "item_begun_anew",
    "INFO",
    "No target could continue an item's text, so the item begins anew at another software version.",
)
ITEM_ENDED = _declare(325, "item_ended", "INFO", "A target returned the whole text of an item.")
JOB_SPOOLED = _declare(
    327, "job_spooled", "INFO", "Data hosts store a job until the service accepts it."
)
JOB_ENTERED = _declare(328, "job_entered", "INFO", "A spooled job is stored in the service now.")
SPOOL_WAITS = _declare(
    329, "spool_waits", "INFO", "A spooled job could not be stored in the service yet."
)
ENTRY_SPLIT = _declare(
    348,
    "entry_split",
    "WARNING",
    "The service refuses several spooled jobs together; the first is sent alone.",
)
SPOOL_LOADED = _declare(
    410, "spool_loaded", "INFO", "A data host read the spooled jobs from its disk at startup."
)
SPOOL_KEPT = _declare(411, "spool_kept", "INFO", "A job is stored on this data host's disk.")
SPOOL_REFUSED = _declare(
    412, "spool_refused", "WARNING", "A job could not be stored on this data host."
)
SPOOL_FORGOTTEN = _declare(
    413, "spool_forgotten", "INFO", "The copy of a job is no longer needed and was deleted."
)
SPOOL_UNREADABLE = _declare(414, "spool_unreadable", "ERROR", "A spooled job cannot be decoded.")
STORE_ENTRY_IGNORED = _declare(
    430,
    "store_entry_ignored",
    "WARNING",
    "An entry of the store's folder is not its own and cannot be deleted.",
)
DATA_FOLDER_WAITS = _declare(
    420,
    "data_folder_waits",
    "WARNING",
    "The data folder cannot be used yet; the data host takes no jobs until it can.",
)
DATA_FOLDER_OPENED = _declare(
    421, "data_folder_opened", "INFO", "The data folder can be used after a wait."
)
SPOOL_ENTRY_IGNORED = _declare(
    422, "spool_entry_ignored", "WARNING", "An entry of the data folder is not a job's file."
)
SPOOL_FILE_FAILED = _declare(
    423,
    "spool_file_failed",
    "ERROR",
    "The file of a spooled job cannot be read or deleted now; this is tried again.",
)
COMMIT_REJECTED = _declare(
    332,
    "commit_rejected",
    "ERROR",
    "The service refuses a commit for good; its job goes on, but lists nothing until it accepts.",
)
PARTS_REDUCED = _declare(
    333,
    "parts_reduced",
    "WARNING",
    "The service refused a value; smaller ones are written. Compare the setting with its limit.",
)
RESULTS_WAIT = _declare(
    334,
    "results_wait",
    "WARNING",
    "Results that are not listed yet fill their share of memory; no further items are started.",
)
SPOOL_JOB_FAILED = _declare(
    424,
    "spool_job_failed",
    "ERROR",
    "A spooled job raised an exception; it stays on the disk and is tried again. Report it.",
)
SPOOL_REJECTED = _declare(
    415,
    "spool_rejected",
    "ERROR",
    "The service refuses a spooled job for good; it stays on the data hosts.",
)
JOB_IDLE = _declare(326, "job_idle", "WARNING", "A live host does not run a job that it owns.")
OBJECT_CORRUPT = _declare(
    401, "object_corrupt", "ERROR", "A copy failed its hash check; see object_repaired."
)
OBJECT_REPAIRED = _declare(402, "object_repaired", "INFO", "An object has two copies again.")
OBJECT_COLLECTED = _declare(403, "object_collected", "DEBUG", "An unreferenced object was deleted.")
CONFIG_IN_FORCE = _declare(501, "config_in_force", "INFO", "A configuration version is in force.")
CONFIG_UNREADABLE = _declare(
    504, "config_unreadable", "ERROR", "A configuration version cannot be decoded."
)
TARGET_UNREADABLE = _declare(
    505, "target_unreadable", "ERROR", "A target's record cannot be decoded."
)
ORGANISATION_UNREADABLE = _declare(
    524,
    "organisation_unreadable",
    "ERROR",
    "An organisation's record cannot be decoded; its calls are refused.",
)
ROW_FAILED = _declare(
    530,
    "row_failed",
    "ERROR",
    "A row of the key-value service raised an exception; the row is not used. Report it.",
)
RECORD_UNREADABLE = _declare(
    540,
    "record_unreadable",
    "ERROR",
    "A record of the key-value service cannot be decoded, or stands under the key of another; it "
    "is left out. Restore or delete it.",
)
VALUE_OMITTED = _declare(
    531,
    "value_omitted",
    "ERROR",
    "A value of the key-value service cannot be a row of this project and is not kept.",
)
HOST_UNREADABLE = _declare(
    523, "host_unreadable", "ERROR", "A host's record cannot be decoded; the host is not listed."
)
HOST_LIST_TOO_LARGE = _declare(
    532,
    "host_list_too_large",
    "WARNING",
    "The list of hosts has more bytes than this data host may take; it is not used.",
)
HOST_EMPTIED = _declare(
    506, "host_emptied", "INFO", "A data host to be retired holds no more data."
)
HOST_READY = _declare(507, "host_ready", "INFO", "This host accepts calls.")
HOST_NOT_READY = _declare(
    526,
    "host_not_ready",
    "WARNING",
    "This host accepts no calls yet, or not any more; see what is missing and since when.",
)
HOST_NOT_REACHED = _declare(
    527,
    "host_not_reached",
    "WARNING",
    "This host is ready, but the platform does not check its readiness; see the way to it.",
)
HOST_REACHED = _declare(
    528, "host_reached", "INFO", "The readiness of this host is checked again, or it is not ready."
)
SETTINGS_RELOADED = _declare(508, "settings_reloaded", "INFO", "The settings file was read again.")
CONFIG_APPLIED = _declare(502, "config_applied", "INFO", "An operator applied a version.")
CONFIG_CONFLICT = _declare(
    503, "config_conflict", "WARNING", "Two operators applied a configuration at the same time."
)
CONFIG_NOT_READ = _declare(
    509,
    "config_not_read",
    "WARNING",
    "An applied version could not be read back; this host gets it as the others do.",
)
MEMBER_JOINED = _declare(510, "member_joined", "INFO", "A host is live.")
MEMBER_LOST = _declare(
    511, "member_lost", "WARNING", "A host stopped its heartbeats or its lease ended."
)
PRESENCE_FAILING = _declare(
    512,
    "presence_failing",
    "WARNING",
    "This host's lease was not renewed or not revoked; see the reason.",
)
PRESENCE_OVERWRITTEN = _declare(
    536,
    "presence_overwritten",
    "WARNING",
    "Another writer changed or deleted keys of this host, which are written again.",
)
PRESENCE_LAPSED = _declare(513, "presence_lapsed", "WARNING", "This host's lease expired.")
DATAGRAMS_DROPPED = _declare(
    525,
    "datagrams_dropped",
    "WARNING",
    "Datagrams to other hosts were dropped because the link did not take them; at most once a "
    "second.",
)
BEAT_DROPPED = _declare(514, "beat_dropped", "WARNING", "A datagram could not be decoded.")
PEER_SILENT = _declare(515, "peer_silent", "WARNING", "Another host did not answer a request.")
WATCH_ROLE = _declare(
    516, "watch_role", "INFO", "This host started or stopped watching the service."
)
WATCH_MISSED = _declare(
    519,
    "watch_missed",
    "WARNING",
    "This host's watch missed a change that others reported; it is restarted.",
)
VIEW_NOT_PROVEN = _declare(
    522, "view_not_proven", "WARNING", "The service did not confirm whether a view is up to date."
)
VIEW_TAKEN = _declare(
    529, "view_taken", "INFO", "This host got a view that it had not read from another host."
)
AGGREGATORS = _declare(
    517, "aggregators", "INFO", "The hosts that add up the calls of the fleet changed."
)
MEMBER_SILENT = _declare(
    518, "member_silent", "WARNING", "No heartbeats arrive from a listed host."
)
LEADER_ELECTED = _declare(
    520, "leader_elected", "INFO", "This host holds the lease and gives orders now."
)
LEADER_RESIGNED = _declare(
    521, "leader_resigned", "INFO", "This host gave up or lost the lease and gives no more orders."
)
ORDER_SENT = _declare(601, "order_sent", "INFO", "An order was sent to a target.")
ORDER_REFUSED = _declare(602, "order_refused", "WARNING", "A target refused an order.")
ORDER_WITHHELD = _declare(
    603,
    "order_withheld",
    "WARNING",
    "An order was withheld because the sender's lease does not cover it.",
)
TARGET_DRAINED = _declare(604, "target_drained", "INFO", "A target has no requests in progress.")
KV_FAILING = _declare(701, "kv_failing", "WARNING", "The key-value service does not answer.")
KV_RECOVERED = _declare(702, "kv_recovered", "INFO", "The key-value service answers again.")
KV_HISTORY_LOST = _declare(
    703, "kv_history_lost", "INFO", "The service discarded changes; the prefix is read again."
)
KV_REJECTED = _declare(
    706,
    "kv_rejected",
    "ERROR",
    "The service refuses a call for good; key, size and limit say why. It is not an outage.",
)
BACKGROUND_SLOWED = _declare(
    707,
    "background_slowed",
    "INFO",
    "The service refuses calls above its rate; work of this host's own makes fewer.",
)
STORE_LOST = _declare(704, "store_lost", "WARNING", "The service does not answer this host.")
STORE_REGAINED = _declare(705, "store_regained", "INFO", "The service answers this host again.")

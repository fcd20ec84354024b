"""Finds out why the items of a host's jobs wait."""

from __future__ import annotations

from itertools import islice
from typing import TYPE_CHECKING

from .slot_sharing import count_spare_slots
from .waiting_items import ServiceRoom, WaitingGroup, WaitReason

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ..ids import ServiceName
    from .owned import OwnedJob
    from .worker import Worker


MAX_EXAMINED_ITEMS = 64
"""Most items that a report examines one by one, and one for each job: it runs in one turn."""


def list_waiting(worker: Worker, now: float) -> list[WaitingGroup]:
    """Return the waiting items of a host.

    The items of a job that have neither run here nor have a text wait alike, except for some whose
    prompts crash targets, or whose paths lead to other routes; the first one stands for them. Of
    the others, some are examined, and the last of a job stands for its rest.
    """
    groups = []
    left = MAX_EXAMINED_ITEMS
    rooms: dict[Sequence[ServiceName], ServiceRoom] = {}
    for job in worker.jobs.values():
        if job.dropped or job.done:
            continue
        waiting = job.open_items
        alike = next(waiting.list_untouched(), None) if waiting.untouched_count else None
        rest = [] if alike is None else [alike]
        examined = sorted(islice(waiting.touched, max(1, left)))
        left -= len(examined)
        for index in (*examined, *rest):
            services = _find_services(worker, job, index)
            if services not in rooms:
                rooms[services] = _find_room(worker, services, now)
            room = rooms[services]
            reason = _find_reason(worker, job, index, services, room, now)
            if index == alike:
                count, indices = waiting.untouched_count, waiting.list_untouched()
                since = job.taken_at
                groups.append(WaitingGroup(job, count, indices, reason, since, room.spare_slots))
            else:
                since = job.idle_since.get(index, job.taken_at)
                groups.append(WaitingGroup(job, 1, (index,), reason, since, room.spare_slots))
        unexamined = len(waiting.touched) - len(examined)
        if unexamined:
            last = groups[len(groups) - 1 - len(rest)]
            row = (last.reason, last.since, last.spare_slots)
            groups.append(WaitingGroup(job, unexamined, (), *row))
    return groups


def _find_services(worker: Worker, job: OwnedJob, index: int) -> tuple[ServiceName, ...]:
    """Return the services that may run an item; none while its route is not known."""
    config = worker.configuration_for(job)
    path = job.items[index].path.partition("?")[0]
    route = None if config is None else config.find_route(job.stored.state.host, path)
    return () if route is None else tuple(route.services)


def _find_room(worker: Worker, services: Sequence[ServiceName], now: float) -> ServiceRoom:
    forwarder = worker.forwarder
    targets = [t for name in services for t in forwarder.targets.candidates(name, now)]
    spare = count_spare_slots(targets, forwarder.remote_in_flight, worker.find_limit)
    return ServiceRoom(len(targets), spare, all(map(worker.must_hold_back, services)))


def _find_reason(
    worker: Worker,
    job: OwnedJob,
    index: int,
    services: Sequence[ServiceName],
    room: ServiceRoom,
    now: float,
) -> WaitReason:
    if worker.stopping:
        return WaitReason.STOPPING
    if not worker.may_start_items():
        return WaitReason.NOT_READY
    if worker.results_wait:
        return WaitReason.RESULTS
    if not services:
        return WaitReason.CONFIGURATION
    if not room.targets:
        return WaitReason.NO_TARGET
    if room.held_back:
        return WaitReason.CALLERS
    if job.not_before.get(index, 0.0) > now:
        return WaitReason.RETRY
    if not worker.crash_backoff.may_start(job.request_identity(index).suspects, now):
        return WaitReason.CRASHES
    if index in job.waiting_since:
        return WaitReason.VERSION
    return WaitReason.SHARE if room.spare_slots else WaitReason.FULL

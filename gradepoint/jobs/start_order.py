"""Order in which the items of a host's jobs start, and their weight; without visiting each item.

Items that can still end before their job is due come first, then older jobs, then lower indices.
Items without events are alike: either all of a job can end in time or none. Those with more events
have less left to do.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from ..util.structs import Struct
from .open_items import EVERY_EVENT_COUNT

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from ..gateway.configuration import Configuration
    from ..routing.item_times import ItemTimes
    from .owned import OwnedJob

TIMELY_WEIGHT = 4
"""Weight of a waiting item that can end before its job is due; hosts share the spare slots by
weight."""
LATE_WEIGHT = 1
"""Weight of a waiting item that cannot end before its job is due. It is above 0 so that such items
never starve."""


class StartableItems(Struct, frozen=True):
    """The items of a job that may start now and are all late or all timely.

    :param is_late: whether they cannot be expected to end before the job is due.
    :param min_events: smallest number of events of these items.
    :param max_events: number above their largest one.
    """

    job: OwnedJob
    is_late: bool
    min_events: int = 0
    max_events: int = EVERY_EVENT_COUNT

    def list_indices(self, after: int = -1) -> Iterator[int]:
        """Yield the indices of the items above *after*, ascending."""
        return self.job.open_items.list_startable(after, self.min_events, self.max_events)


def find_due_s(config: Configuration | None, name: str) -> float:
    """Return the seconds after which jobs of a route are due; infinite if they never are."""
    route = config.find_route_by_name(name) if config is not None else None
    return math.inf if route is None or route.due_s <= 0 else route.due_s


def list_startable_jobs(
    jobs: Iterable[OwnedJob], config: Configuration | None, now: float
) -> list[tuple[OwnedJob, float]]:
    """Return the jobs with items that may start now, and the seconds until each is due.

    Jobs that are newer than the configuration in force are never due.
    """
    found = []
    due_s: dict[tuple[str, bool], float] = {}
    for job in jobs:
        waiting, state = job.open_items, job.stored.state
        if waiting.delayed:
            waiting.release_due(now)
        if waiting.startable and not job.dropped and not state.ended:
            is_known = config is not None and config.version >= state.config_version
            key = state.route, is_known
            if key not in due_s:
                due_s[key] = find_due_s(config if is_known else None, state.route)
            found.append((job, due_s[key] - (now - job.accepted_at)))
    return found


def find_min_timely_events(job: OwnedJob, left_s: float, item_times: ItemTimes) -> int:
    """Return the number of events from which on an item can end in time, where one without any
    events cannot.

    :param left_s: seconds until the job is due.
    """
    return job.open_items.find_min_events(lambda events: item_times.can_end_in_time(events, left_s))


def order_startable(
    jobs: Iterable[tuple[OwnedJob, float]], item_times: ItemTimes
) -> list[StartableItems]:
    """Return the items that may start, in the order in which they start.

    :param jobs: jobs and the seconds until each is due.
    """
    needed_s = item_times.find_needed_s(0)
    timely, late = [], []
    for job, left_s in sorted(jobs, key=_get_creation_order):
        if left_s >= needed_s:
            timely.append(StartableItems(job, is_late=False))
            continue
        min_events = find_min_timely_events(job, left_s, item_times)
        if min_events < EVERY_EVENT_COUNT:
            timely.append(StartableItems(job, is_late=False, min_events=min_events))
        late.append(StartableItems(job, is_late=True, max_events=min_events))
    return timely + late


def _get_creation_order(row: tuple[OwnedJob, float]) -> int:
    return row[0].stored.created


def sum_weight(jobs: Iterable[tuple[OwnedJob, float]], item_times: ItemTimes) -> int:
    """Return the total weight of the items that may start now.

    :param jobs: jobs and the seconds until each is due.
    """
    needed_s = item_times.find_needed_s(0)
    weight = 0
    for job, left_s in jobs:
        waiting = job.open_items
        if left_s >= needed_s:
            weight += TIMELY_WEIGHT * len(waiting.startable)
            continue
        timely = waiting.count_with_events(find_min_timely_events(job, left_s, item_times))
        weight += TIMELY_WEIGHT * timely + LATE_WEIGHT * (len(waiting.startable) - timely)
    return weight

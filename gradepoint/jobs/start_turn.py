"""One turn in which a host starts items: what it has found so far, and where it goes on."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..util.structs import Struct, field

if TYPE_CHECKING:
    from ..ids import JobId, ServiceName, SoftwareVersion
    from .start_order import StartableItems

MAX_STARTS_PER_TURN = 64
"""Most items that start in one turn, each of which takes about 0.1 ms; the others start in the next
turn, so that calls are not held up."""
MAX_PASSED_PER_TURN = 256
"""Most items that are visited in one turn although they can't start. The next turn goes on behind
them."""


class StartPosition(Struct, frozen=True):
    """The item with which a turn begins."""

    job: JobId
    is_late: bool
    index: int


class StartTurn(Struct):
    """What one turn of starts has found so far.

    :param now: monotonic time of the turn.
    :param propagation_s: seconds until other hosts know which items this host started.
    :ivar started: number of items that were started.
    :ivar passed: number of items that were visited and did not start, although others of the job
        may.
    :ivar held_back: whether items of a service have to leave the slots to refused callers.
    :ivar without_slot: services without a spare slot; none gets free during the turn.
    :ivar closed: hosts and paths of items whose services are all without a spare slot.
    :ivar full: versions without a spare slot, and whether they have targets.
    """

    now: float
    propagation_s: float
    started: int = 0
    passed: int = 0
    held_back: dict[ServiceName, bool] = field(default_factory=dict)
    without_slot: set[ServiceName] = field(default_factory=set)
    closed: set[tuple[str, str]] = field(default_factory=set)
    full: dict[SoftwareVersion, bool] = field(default_factory=dict)

    def resume(
        self, order: list[StartableItems], position: StartPosition | None
    ) -> list[tuple[StartableItems, int]]:
        """Return the items in the order of this turn, with the index below the first one to visit.

        :param order: order in which items start.
        :param position: item to begin with; the items before it come last.
        """
        if position is not None:
            for number, items in enumerate(order):
                if (items.job.id, items.is_late) == (position.job, position.is_late):
                    rest = [(row, -1) for row in (*order[number + 1 :], *order[:number])]
                    return [(items, position.index - 1), *rest]
        return [(items, -1) for items in order]

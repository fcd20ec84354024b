"""Max-min fair shares of organisations and limits by rank, without I/O and without a clock.

Demands and room are in slots: a call that is in flight uses one, and a stream of refused calls
would use its rate times the mean time of a call.
"""

from __future__ import annotations

import heapq
import math
from typing import TYPE_CHECKING

from ..util.structs import Struct

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from ..ids import OrganisationNumber

PERCENT = 100
MAX_SHARES = 32
"""Organisations with a share in one digest: about 200 bytes, whatever the number of organisations.
Of 3,900 organisations with Zipf sizes, fewer are above the fair level."""
MAX_DEMANDS = 32
"""Organisations in one host's report: several times the calls that one host has in flight."""
MIN_SHARE_PERCENT = 1
"""Smallest share of a limited organisation. It is above 0, so that no organisation is shut out."""
SHARES_FROM_OCCUPANCY = 0.9
"""Calls in flight per slot from which organisations are limited. Below it, a limited organisation's
call would be refused while targets have room. ``python -m bench.share_replay`` with one and with
three hot organisations of 83: against no shares, calls of the others are worth 0.025 more and all
calls 0.005 to 0.008 less; without this threshold it is 0.033 more and 0.011 to 0.017 less."""
RANK_STEP = 0.1
"""Part of the room by which the limit of each rank is lower than that of the rank before."""
MAX_RANK_STEPS = 3
"""Ranks from this one on have the same limit, so that seven tenths of the room stay open to calls
of any rank."""


def find_level(demands: Iterable[float], room: float) -> float:
    """Return the max-min fair level.

    It is the largest level for which the sum of ``min(demand, level)`` is at most the room.

    :param demands: demand of each organisation in slots.
    :param room: slots to divide.
    :return: the level in slots; infinite if all demands fit.
    """
    ordered = sorted(demands)
    left = max(0.0, room)
    for index, demand in enumerate(ordered):
        level = left / (len(ordered) - index)
        if demand > level:
            return level
        left -= demand
    return math.inf


def compute_shares(
    demands: Mapping[OrganisationNumber, float], room: float
) -> dict[OrganisationNumber, int]:
    """Return the percentage of its new calls that each organisation above the fair level may send.

    :param demands: demand of each organisation in slots.
    :param room: slots to divide.
    :return: at most :data:`MAX_SHARES` organisations, those furthest above the level.
    """
    level = find_level(demands.values(), room)
    above = [(demand, number) for number, demand in demands.items() if demand > level]
    return {
        number: max(MIN_SHARE_PERCENT, math.floor(level / demand * PERCENT))
        for demand, number in heapq.nlargest(MAX_SHARES, above)
    }


def select_largest_demands(
    demands: Mapping[OrganisationNumber, int],
) -> dict[OrganisationNumber, int]:
    """Return the :data:`MAX_DEMANDS` largest demands, without those of zero."""
    positive = [(demand, number) for number, demand in demands.items() if demand > 0]
    return {number: demand for demand, number in heapq.nlargest(MAX_DEMANDS, positive)}


class EvenAdmission(Struct):
    """Admits a percentage of the calls of one organisation, evenly spaced.

    :param phase: per cent accumulated towards the next admitted call, from 0 to 99. Hosts start
        with different phases: an organisation has few calls at each of many hosts, and with equal
        phases the first of them would be refused at all hosts.
    """

    phase: int

    def admits(self, percent: int) -> bool:
        """Whether the next call is admitted, at a share of *percent*."""
        self.phase += percent
        if self.phase < PERCENT:
            return False
        self.phase -= PERCENT
        return True


def compute_rank_room(room: float, rank: int) -> float:
    """Return the part of the room that calls of a rank may use in a shortage.

    :param room: slots of all calls.
    :param rank: 0 for the most urgent calls and for returning calls.
    """
    return room * (1 - RANK_STEP * min(max(0, rank), MAX_RANK_STEPS))

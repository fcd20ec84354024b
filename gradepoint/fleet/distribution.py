"""Selection of the hosts that watch the configuration in the key-value service.

A few hosts of each failure domain watch it; all others learn of a new version through
gossip. The load on the service therefore grows with the number of failure domains, not
with the number of hosts. See docs/design/configuration.md for the alternatives considered.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..util.hashing import rank

if TYPE_CHECKING:
    from collections.abc import Sequence

    from .messages import Member

WATCHERS_PER_DOMAIN = 2
"""Hosts of each failure domain that watch."""

ANNOUNCE_FANOUT = 4
"""Random peers that a host pings at once when a version comes into force on it."""


def select_watchers(live: Sequence[Member], purpose: str = "config") -> list[str]:
    """Return the names of the hosts that watch.

    Hosts that know the same live members compute the same result.

    :param purpose: part of the ranking key, so that different purposes select different hosts.
    """
    domains: dict[str, list[str]] = {}
    for member in live:
        domains.setdefault(member.failure_domain, []).append(member.host)
    chosen: list[str] = []
    for domain, hosts in sorted(domains.items()):
        chosen.extend(rank(f"{purpose}:{domain}", hosts)[:WATCHERS_PER_DOMAIN])
    return chosen

"""Who watches the configuration in the key-value service, and how news spreads.

A few hosts of each failure domain hold a watch; all others hear of a new version from
their peers. So the calls on the service grow with the number of failure domains, not
with the fleet. See docs/design/configuration.md for the ways weighed.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..util.hashing import rank

if TYPE_CHECKING:
    from collections.abc import Sequence

    from .messages import Member

WATCHERS_PER_DOMAIN = 2
ANNOUNCE_FANOUT = 4


def watchers(live: Sequence[Member], purpose: str = "config") -> list[str]:
    """Return the hosts that watch, the same at every host with the same members."""
    domains: dict[str, list[str]] = {}
    for member in live:
        domains.setdefault(member.failure_domain, []).append(member.host)
    chosen: list[str] = []
    for domain, hosts in sorted(domains.items()):
        chosen.extend(rank(f"{purpose}:{domain}", hosts)[:WATCHERS_PER_DOMAIN])
    return chosen

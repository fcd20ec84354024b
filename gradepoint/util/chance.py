"""Generators of random choices."""

from __future__ import annotations

import random

SEED_BITS = 64


def new_rng() -> random.Random:
    """Return a generator seeded by the module's own one.

    A program seeds that from the system's entropy; a run in virtual time from its seed, so that it
    makes the same choices each time.
    """
    return random.Random(random.getrandbits(SEED_BITS))

"""Random number generators."""

from __future__ import annotations

import random

SEED_BITS = 64


def new_rng() -> random.Random:
    """Return a generator that is seeded from the global generator of :mod:`random`.

    In a program the global generator is seeded with the system's entropy. A run in virtual time
    seeds it with the seed of the run, which makes all random choices of the run reproducible.
    """
    return random.Random(random.getrandbits(SEED_BITS))

"""Measures the cost of target choice by number of targets: ``python -m bench.decision_cost``."""

from __future__ import annotations

import random
import sys
import timeit

from gradepoint.config.document import Target
from gradepoint.routing.choice import TargetView, choose_subset, choose_target

ROUNDS = 2000


def main() -> int:
    """Print the microseconds of a choice and the milliseconds of choosing a new subset."""
    rng = random.Random(1)
    print("| candidates | choice with prefix µs | choice without µs |")
    print("|---|---|---|")
    for count in (4, 8, 16, 41, 100):
        views = [
            TargetView(
                f"t{n}", 48, f"d{n % 5}", in_flight=rng.randrange(8), first_token_s=rng.random()
            )
            for n in range(count)
        ]
        costs = [
            timeit.timeit(
                lambda views=views, prefix=prefix: choose_target(views, prefix, 0.0, rng, 64),
                number=ROUNDS,
            )
            / ROUNDS
            * 1e6
            for prefix in ("p", "")
        ]
        print(f"| {count} | {costs[0]:.1f} | {costs[1]:.1f} |")
    targets = [Target(f"t{n}", f"http://10.0.0.1:{n + 1}", f"d{n % 5}", ["m"]) for n in range(860)]
    spent = timeit.timeit(lambda: choose_subset("daemon", targets, 8), number=20) / 20 * 1e3
    print(f"subset of 8 out of 860 targets, once a version and model: {spent:.2f} ms")
    return 0


if __name__ == "__main__":
    sys.exit(main())

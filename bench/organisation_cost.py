"""Measures the processor time of finding a caller's organisation and checking its quota.

``python -m bench.organisation_cost``. Each figure is the lowest of five rounds of 20,000 calls.
"""

from __future__ import annotations

import time
from collections.abc import Callable

from gradepoint.gateway.organisations import Organisation, Organisations, digest_key
from gradepoint.ids import OrganisationName, OrganisationNumber
from gradepoint.platform.headers import PlatformDialect
from gradepoint.routing.host_quotas import HostQuotas, RoomReport
from gradepoint.routing.quotas import Quota, QuotaTerms, compute_allowance

ROUNDS = 5
TIMES = 20_000
HEADERS = [
    (b"host", b"calls.example"),
    (b"x-attempt-id", b"9c41d07be2a35f68"),
    (b"x-credential", b"key-7-1"),
    (b"x-time-left-ms", b"5000"),
    (b"x-model", b"m"),
    (b"x-token-counts", b"450,192"),
]


def measure_us(work: Callable[[], object]) -> float:
    """Return the processor time of one call of *work* in microseconds."""
    rounds = []
    for _ in range(ROUNDS):
        begun = time.process_time()
        for _ in range(TIMES):
            work()
        rounds.append((time.process_time() - begun) / TIMES * 1e6)
    return min(rounds)


def main() -> None:
    """Print the costs with 73 and 3,900 organisations."""
    dialect, allowance = (
        PlatformDialect(),
        compute_allowance(Quota(1.0, 1.0), QuotaTerms(5.0, 0.1, 20.0)),
    )
    head = dialect.read_call(HEADERS)
    print(f"read the headers {measure_us(lambda: dialect.read_call(HEADERS)):.2f} us")
    for count in (73, 3900):
        known = Organisations(
            tuple(
                Organisation(
                    OrganisationName(f"o{number}"),
                    tuple(digest_key(f"key-{number}-{key}".encode()) for key in range(2)),
                    Quota(1.0, 1.0),
                )
                for number in range(count)
            )
        )
        found = known.find(b"key-7-1")
        assert found is not None
        number = found.number
        full = HostQuotas(lambda: [RoomReport({}, 0.0, 0.0)], lambda: True, lambda: 51, lambda: 0.5)
        tight = RoomReport({number: -5.0}, 0.0, 0.0)
        refusing = HostQuotas(lambda word=tight: [word], lambda: True, lambda: 51, lambda: 0.5)

        def grant(full: HostQuotas = full, number: OrganisationNumber = number) -> None:
            full.admit(number, allowance, 0.0)
            full.take_back(number, 0.0)

        print(
            f"{count} organisations: find {measure_us(lambda k=known: k.find(b'key-7-1')):.2f} us,"
            f" made-up key {measure_us(lambda k=known: k.find(b'made-up')):.2f} us,"
            f" claim {measure_us(lambda: dialect.set_caller(head, OrganisationName('o7'))):.2f} us,"
            f" grant and take back {measure_us(grant):.2f} us,"
            f" refuse {measure_us(lambda r=refusing, n=number: r.admit(n, allowance, 0.0)):.2f} us"
        )


if __name__ == "__main__":
    main()

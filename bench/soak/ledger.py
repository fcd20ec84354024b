"""Compares what callers observed with what targets ran: the guarantees that a soak checks."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from ..platform.target import (
    EVENT_DATA_BYTES,
    FIRST_VERSION,
    TargetStandin,
    complete_stream,
    event_data,
    plain_response,
)

NOT_RUN_STATUSES = (408, 421, 429, 503)


@dataclass
class Ledger:
    """Record of a soak's calls and jobs; finds violations of the guarantees given to callers.

    :param events: number of events in each complete stream.
    :param versions: software versions of the targets.
    :param data_bytes: size of the data of each event.
    :ivar violations: a message for each violated guarantee.
    :ivar outcomes: number of calls by kind and status; ``cut`` stands for a truncated response.
    :ivar told_not_run: the requests of :attr:`at_most_once` whose response says that they have not
        run. No target may have run them.
    :ivar at_most_once: ids of requests that may run at most once.
    :ivar accepted: number of items of each job that was accepted with 202.
    :ivar results: result rows of each job by position, as first read. They may never change.
    :ivar served_version: highest configuration version each incarnation of a gateway has served.
    """

    targets: list[TargetStandin]
    events: int
    versions: tuple[str, ...] = (FIRST_VERSION,)
    data_bytes: int = EVENT_DATA_BYTES
    violations: list[str] = field(default_factory=list)
    outcomes: Counter[str] = field(default_factory=Counter)
    told_not_run: set[str] = field(default_factory=set)
    at_most_once: set[str] = field(default_factory=set)
    accepted: dict[str, int] = field(default_factory=dict)
    results: dict[str, dict[int, dict[str, str]]] = field(default_factory=dict)
    served_version: dict[str, int] = field(default_factory=dict)

    def record_call(self, kind: str, request_id: str, status: int, body: bytes, cut: bool) -> None:
        """Record the end of a call and check its response.

        :param kind: name of the call's route.
        :param cut: whether the response was visibly truncated, so that the caller knows that it is
            incomplete. A truncated body must still be a prefix of the expected one.
        """
        self.outcomes[f"{kind} {'cut' if cut else status}"] += 1
        if kind in ("single", "stream"):
            self.at_most_once.add(request_id)
            if status in NOT_RUN_STATUSES:
                self.told_not_run.add(request_id)
        if b"request_held" in body:
            self.violations.append(f"{request_id}: a harmless request is held back")
        if status in (400, 401, 403, 404, 413, 431):
            self.violations.append(f"{request_id}: a valid request got status {status}")
        if status != 200:
            return
        if kind in ("single", "plain"):
            expected = [plain_response(request_id)]
        else:
            expected = [
                complete_stream(request_id, self.events, version, size=self.data_bytes)
                for version in self.versions
            ]
        if cut and not any(whole.startswith(body) for whole in expected):
            self.violations.append(f"{request_id}: a truncated response has wrong bytes")
        if not cut and body not in expected:
            self.violations.append(f"{request_id}: a response that looks complete is not")

    def record_resumption(
        self, begun: tuple[str, bytes], request_id: str, first: int, body: bytes, cut: bool
    ) -> None:
        """Check the response to a caller who resumed a stream.

        :param begun: id of the call that began the stream, and the bytes that it brought.
        :param first: number of the event after the last one that the caller had.
        """
        began = {
            version
            for version in self.versions
            if complete_stream(begun[0], self.events, version, size=self.data_bytes).startswith(
                begun[1]
            )
        }
        rests = {
            version: complete_stream(
                request_id, self.events, version, first=first, size=self.data_bytes
            )
            for version in self.versions
        }
        went_on = {
            version
            for version, rest in rests.items()
            if rest == body or (cut and rest.startswith(body))
        }
        if not went_on:
            self.violations.append(f"{request_id}: a resumed stream has wrong bytes")
        elif not began & went_on:
            self.violations.append(f"{request_id}: a stream was resumed at another version")

    def record_version(self, incarnation: str, version: int, status: int) -> None:
        """Record the response of one process to a request whose route exists since *version*.

        A process that has served a version must not fall back to an older one.
        """
        if status in (200, 500, 502, 504):
            self.served_version[incarnation] = max(version, self.served_version.get(incarnation, 0))
        elif status == 404 and version <= self.served_version.get(incarnation, 0):
            self.violations.append(f"{incarnation}: version {version} is no longer in force")

    def record_results(self, job: str, position: int, rows: list[dict[str, str]]) -> None:
        """Record result rows read from *position* on, and check that no known row has changed."""
        known = self.results.setdefault(job, {})
        for offset, row in enumerate(rows):
            if known.setdefault(position + offset, row) != row:
                self.violations.append(f"{job}: position {position + offset} changed")
            texts = [
                "\n".join(
                    event_data(row["id"], number, version, self.data_bytes)
                    for number in range(self.events)
                )
                for version in self.versions
            ]
            if row["state"] == "complete" and row["message"] not in texts:
                self.violations.append(f"{job}: {row['id']} is complete with a wrong text")
        ids = [row["id"] for row in known.values()]
        if len(set(ids)) != len(ids):
            self.violations.append(f"{job}: an item is listed at two positions")

    def record_missing(self, job: str, problem: str) -> None:
        """Record that an accepted job or some of its items are missing."""
        self.violations.append(f"{job}: {problem}")

    def close(self) -> list[str]:
        """Compare the calls with the runs at the targets; return every violation of the soak."""
        ran: Counter[str] = sum((target.ran for target in self.targets), start=Counter())
        for request_id in self.at_most_once:
            if ran[request_id] > 1:
                self.violations.append(f"{request_id}: ran {ran[request_id]} times")
        for request_id in self.told_not_run:
            if ran[request_id]:
                self.violations.append(f"{request_id}: was reported as not run, but ran")
        return self.violations

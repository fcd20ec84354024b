"""What callers saw, compared with what targets ran: the promises that a soak checks."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from ..platform.target import TargetStandin, event_data, plain_answer, whole_stream

PROMISES_NOT_RUN = (408, 421, 429, 503)


@dataclass
class Ledger:
    """Everything seen so far; :attr:`broken` lists broken promises.

    :param events: events of each whole stream.
    :ivar promised: requests told that they have not run, which may not be repeated.
    :ivar accepted: jobs that got a 202, with their items.
    :ivar listed: results of each job, by position.
    """

    targets: list[TargetStandin]
    events: int
    broken: list[str] = field(default_factory=list)
    outcomes: Counter[str] = field(default_factory=Counter)
    promised: set[str] = field(default_factory=set)
    single: set[str] = field(default_factory=set)
    accepted: dict[str, int] = field(default_factory=dict)
    listed: dict[str, dict[int, dict[str, str]]] = field(default_factory=dict)
    served_version: dict[str, int] = field(default_factory=dict)

    def note_call(self, kind: str, request_id: str, status: int, body: bytes, cut: bool) -> None:
        """Take a call's end.

        :param kind: name of its route.
        :param cut: the answer visibly broke off.
        """
        self.outcomes[f"{kind} {'cut' if cut else status}"] += 1
        if kind in ("single", "stream"):
            self.single.add(request_id)
            if status in PROMISES_NOT_RUN:
                self.promised.add(request_id)
        if b"request_held" in body:
            self.broken.append(f"{request_id}: a good request is held back")
        if status in (400, 401, 403, 404, 413, 431):
            self.broken.append(f"{request_id}: a proper request got {status}")
        if status != 200:
            return
        plain = kind in ("single", "plain")
        whole = plain_answer(request_id) if plain else whole_stream(request_id, self.events)
        if cut and not whole.startswith(body):
            self.broken.append(f"{request_id}: a cut answer has other bytes")
        if not cut and body != whole:
            self.broken.append(f"{request_id}: an answer that looks whole is not")

    def note_version(self, life: str, version: int, status: int) -> None:
        """Take the answer of one process to a request that exists from *version* on."""
        if status in (200, 500, 502, 504):
            self.served_version[life] = max(version, self.served_version.get(life, 0))
        elif status == 404 and version <= self.served_version.get(life, 0):
            self.broken.append(f"{life}: version {version} is not in force any more")

    def note_results(self, job: str, position: int, rows: list[dict[str, str]]) -> None:
        """Take a read of a job's results."""
        known = self.listed.setdefault(job, {})
        for offset, row in enumerate(rows):
            if known.setdefault(position + offset, row) != row:
                self.broken.append(f"{job}: position {position + offset} changed")
            text = "\n".join(event_data(row["id"], number) for number in range(self.events))
            if row["state"] == "complete" and row["message"] != text:
                self.broken.append(f"{job}: {row['id']} is complete with another text")
        ids = [row["id"] for row in known.values()]
        if len(set(ids)) != len(ids):
            self.broken.append(f"{job}: an item stands at two positions")

    def note_missing(self, job: str, what: str) -> None:
        """Take note that something promised is not there."""
        self.broken.append(f"{job}: {what}")

    def close(self) -> list[str]:
        """Compare with what the targets ran; return every broken promise."""
        ran: Counter[str] = sum((target.ran for target in self.targets), start=Counter())
        for request_id in self.single:
            if ran[request_id] > 1:
                self.broken.append(f"{request_id}: ran {ran[request_id]} times")
        for request_id in self.promised:
            if ran[request_id]:
                self.broken.append(f"{request_id}: was told that it has not run, and ran")
        return self.broken

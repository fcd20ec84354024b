"""Decision which requests are held back, and the messages that hosts exchange about it."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

import msgspec
import pytest

from gradepoint.ids import SuspectKey, TargetNumber
from gradepoint.routing.suspects import (
    ANSWERED_S,
    CRASH_LIFETIME_S,
    HELD_CRASHES,
    MAX_RECORDS,
    MAX_REPORTED,
    REPEAT_GAP_S,
    Standing,
    Suspects,
    SuspectsMessage,
    Trial,
)

SYNC_DELAY_S = REPEAT_GAP_S + 0.7
"""Seconds after its start until a host of this model has received the suspected requests."""
KEY = SuspectKey(1)
OTHER = SuspectKey(2)


def note_crash_of(
    suspects: Suspects, incarnation: int, now: float, trial: Trial = Trial.NONE
) -> None:
    """Record the crash of a target that ran :data:`KEY`."""
    suspects.note_crash(TargetNumber(incarnation), [(KEY, trial)], now)


def make_held(suspects: Suspects, key: SuspectKey, now: float = 1.0) -> None:
    """Record crashes and trials until a request is held back."""
    for number in range(HELD_CRASHES):
        trial = Trial.NONE if number < 2 else Trial.ALONE
        suspects.note_crash(TargetNumber(1000 * key + number), [(key, trial)], now)


def test_request_is_suspected_then_tried_then_held_back() -> None:
    suspects = Suspects()
    standings = []
    for incarnation, trial in enumerate([Trial.NONE, Trial.NONE, Trial.ALONE, Trial.ALONE]):
        note_crash_of(suspects, incarnation, float(incarnation), trial)
        standings.append(suspects.find_standing(KEY, float(incarnation)))
    assert standings == [Standing.SEEN, Standing.SUSPECTED, Standing.SUSPECTED, Standing.HELD]


@pytest.mark.parametrize("crashes", [3, 4, 8])
def test_crashes_without_a_trial_do_not_hold_a_request_back(crashes: int) -> None:
    # A request that many callers send at once runs on every target that another request crashes.
    suspects = Suspects()
    for incarnation in range(crashes):
        note_crash_of(suspects, incarnation, 0.0)
    assert suspects.find_standing(KEY, 0.0) is Standing.SUSPECTED


def test_one_trial_beside_other_calls_is_not_enough() -> None:
    suspects = Suspects()
    for incarnation in range(4):
        note_crash_of(
            suspects, incarnation, 0.0, Trial.ACCOMPANIED if incarnation == 3 else Trial.NONE
        )
    assert suspects.find_standing(KEY, 0.0) is Standing.SUSPECTED
    note_crash_of(suspects, 4, 0.0, Trial.ACCOMPANIED)
    assert suspects.find_standing(KEY, 0.0) is Standing.HELD


def test_one_complete_answer_clears_a_request() -> None:
    suspects = Suspects()
    for incarnation in range(3):
        note_crash_of(suspects, incarnation, 0.0)
    suspects.note_answer(KEY, 1.0)
    assert suspects.find_standing(KEY, 1.0) is Standing.CLEAR


def test_request_answered_just_before_is_not_blamed() -> None:
    suspects = Suspects()
    suspects.note_answer(KEY, 0.0)
    for incarnation in range(4):
        note_crash_of(suspects, incarnation, ANSWERED_S / 2)
    assert suspects.find_standing(KEY, ANSWERED_S / 2) is Standing.CLEAR
    # New weights may make a harmless request harmful, so an answer protects only for a while.
    note_crash_of(suspects, 9, ANSWERED_S + 1.0)
    assert suspects.find_standing(KEY, ANSWERED_S + 1.0) is Standing.SEEN


def test_held_request_is_tried_again_after_its_crashes_expire() -> None:
    suspects = Suspects()
    for incarnation in range(HELD_CRASHES):
        note_crash_of(suspects, incarnation, incarnation * 10.0, Trial.ALONE)
    assert suspects.find_standing(KEY, CRASH_LIFETIME_S - 1.0) is Standing.HELD
    assert suspects.find_standing(KEY, CRASH_LIFETIME_S + 1.0) is Standing.SUSPECTED
    note_crash_of(suspects, 9, CRASH_LIFETIME_S + 2.0, Trial.ALONE)
    assert suspects.find_standing(KEY, CRASH_LIFETIME_S + 2.0) is Standing.HELD
    suspects.forget(10 * CRASH_LIFETIME_S)
    assert not suspects.records


def test_crash_is_revoked_if_the_target_answers_later() -> None:
    suspects = Suspects()
    for incarnation in range(3):
        note_crash_of(suspects, incarnation, 0.0)
    suspects.note_alive(TargetNumber(1), 1.0)
    suspects.note_alive(TargetNumber(2), 1.0)
    assert suspects.find_standing(KEY, 1.0) is Standing.SEEN
    # Another host's report of the same crash does not count again.
    other = Suspects()
    note_crash_of(other, 1, 0.0)
    suspects.receive(other.make_own_message(0.0), 0.0, 1.0)
    assert suspects.find_standing(KEY, 1.0) is Standing.SEEN


def test_stored_crashes_count_once_after_a_restart() -> None:
    suspects = Suspects()
    note_crash_of(suspects, 0, 0.0)
    kept = [(TargetNumber(0), Trial.NONE), (TargetNumber(1), Trial.ALONE)]
    suspects.restore(KEY, kept, 1.0)
    suspects.restore(KEY, kept, 2.0)
    assert len(suspects.records[KEY].crashes) == 2
    assert suspects.find_standing(KEY, 2.0) is Standing.SUSPECTED


def test_flood_of_other_requests_does_not_evict_a_held_one() -> None:
    suspects = Suspects()
    make_held(suspects, KEY)
    for incarnation in range(4):
        note_crash_of(suspects, 100 + incarnation, 1.0, Trial.ALONE)
    for number in range(2 * MAX_RECORDS):
        suspects.note_crash(TargetNumber(number), [(SuspectKey(10 + number), Trial.NONE)], 2.0)
    assert len(suspects.records) <= MAX_RECORDS
    assert suspects.find_standing(KEY, 3.0) is Standing.HELD


def test_messages_are_bounded_and_rotate_through_suspected_requests() -> None:
    sender, receiver = Suspects(), Suspects()
    keys = [SuspectKey(number) for number in range(1, 3 * MAX_REPORTED)]
    for key in keys:
        make_held(sender, key)
    now = 100.0
    largest = 0
    for _ in range(8):
        now += REPEAT_GAP_S
        message = sender.make_relay_message(now)
        largest = max(largest, len(msgspec.msgpack.encode(message)))
        receiver.receive(message, 0.0, now)
    assert largest <= 2048
    assert set(receiver.find(Standing.HELD, now)) == set(keys)
    assert not sender.make_relay_message(now + 0.1).suspects


def test_each_of_many_observations_is_reported_soon() -> None:
    # A burst of crashes has more suspects than one message, and each may be the cause.
    sender, receiver = Suspects(), Suspects()
    keys = [SuspectKey(number) for number in range(3 * MAX_REPORTED)]
    for number, key in enumerate(keys):
        sender.note_crash(TargetNumber(number), [(key, Trial.NONE)], 0.0)
    for number in range(3):
        receiver.receive(sender.make_own_message(0.1 * number), 0.0, 0.1 * number)
    assert set(receiver.find(Standing.SEEN, 1.0)) == set(keys)


def test_common_part_is_not_recorded_while_requests_with_it_are_answered() -> None:
    suspects = Suspects()
    suspects.note_answer(KEY, 0.0)
    note_crash_of(suspects, 1, ANSWERED_S / 2)
    assert not suspects.records


def test_answer_of_another_host_clears_a_common_part() -> None:
    crashed, answered = Suspects(), Suspects()
    for incarnation in range(3):
        note_crash_of(crashed, incarnation, 1.0)
    answered.note_answer(KEY, 0.5)
    answered.receive(crashed.make_own_message(1.1), 0.0, 1.1)
    crashed.receive(answered.make_own_message(1.2), 0.0, 1.2)
    assert answered.find_standing(KEY, 1.2) is Standing.CLEAR
    assert crashed.find_standing(KEY, 1.2) is Standing.CLEAR


@pytest.mark.parametrize(("writing_s", "standing"), [(0.5, "SUSPECTED"), (0.7, "CLEAR")])
def test_part_is_cleared_by_an_answer_written_for_longer_than_the_crashed_ones(
    writing_s: float, standing: str
) -> None:
    suspects = Suspects()
    for incarnation, age_s in enumerate([0.1, 0.15]):
        suspects.note_crash(TargetNumber(incarnation), [(KEY, Trial.NONE)], 1.0, {KEY: age_s})
    suspects.note_writing({KEY: writing_s, OTHER: 9.0}, 1.5)
    assert suspects.find_standing(KEY, 1.5).name == standing


def test_written_answer_proves_nothing_where_the_ages_of_crashed_requests_are_unknown() -> None:
    suspects = Suspects()
    suspects.restore(KEY, [(TargetNumber(1), Trial.NONE), (TargetNumber(2), Trial.NONE)], 1.0)
    suspects.note_writing({KEY: 60.0}, 1.5)
    assert suspects.find_standing(KEY, 1.5) is Standing.SUSPECTED


def test_answers_to_requests_with_a_cleared_part_are_not_reported() -> None:
    first, second = Suspects(), Suspects()
    note_crash_of(first, 1, 0.0)
    for step in range(1, 200):
        now = 0.1 * step
        for suspects in (first, second):
            suspects.note_answer(KEY, now)
            suspects.forget(now)
        second.receive(first.make_own_message(now), 0.0, now)
        first.receive(second.make_relay_message(now), 0.0, now)
    assert not first.records and not second.records


def make_held_together(suspects: Suspects) -> None:
    """Record crashes of targets that always ran both :data:`KEY` and :data:`OTHER`."""
    for incarnation in range(HELD_CRASHES):
        trial = Trial.NONE if incarnation < 2 else Trial.ALONE
        suspects.note_crash(TargetNumber(incarnation), [(KEY, trial), (OTHER, trial)], 1.0)


def test_suspects_that_always_come_together_are_held_together() -> None:
    suspects = Suspects()
    make_held_together(suspects)
    verdict = suspects.judge([KEY, OTHER], 2.0)
    assert verdict.standing is Standing.HELD
    assert set(verdict.keys) == {KEY, OTHER}


@pytest.mark.parametrize("harmful", [True, False])
def test_trial_decides_between_suspects_that_came_together(harmful: bool) -> None:
    suspects = Suspects()
    make_held_together(suspects)
    assert suspects.judge([OTHER], 2.0).standing is Standing.SUSPECTED
    if harmful:
        suspects.note_crash(TargetNumber(9), [(OTHER, Trial.ALONE)], 2.0)
        assert suspects.judge([OTHER], 2.0).standing is Standing.HELD
    else:
        suspects.note_answer(OTHER, 2.0)
        assert suspects.judge([OTHER], 2.0).standing is Standing.CLEAR
        assert suspects.judge([KEY], 2.0).standing is Standing.HELD


def test_crashes_explained_by_a_held_suspect_do_not_count_against_its_neighbours() -> None:
    suspects = Suspects()
    make_held(suspects, KEY)
    neighbour = SuspectKey(3)
    for incarnation in suspects.records[KEY].crashes:
        suspects.note_crash(incarnation, [(neighbour, Trial.NONE)], 1.0)
    assert suspects.find_standing(neighbour, 1.0) is Standing.SUSPECTED
    assert suspects.judge([neighbour], 1.0).standing is Standing.CLEAR
    for incarnation in range(2):
        suspects.note_crash(TargetNumber(incarnation), [(neighbour, Trial.NONE)], 1.0)
    assert suspects.judge([neighbour], 1.0).standing is Standing.SUSPECTED
    # Once the held one is cleared, it explains nothing any more.
    suspects.note_answer(KEY, 1.1)
    suspects.note_crash(TargetNumber(9), [(neighbour, Trial.ALONE)], 1.2)
    assert suspects.judge([neighbour], 1.2).standing is Standing.HELD


@dataclass
class ClusterModel:
    """Hosts that observe crashes and answers and exchange messages in any order.

    :ivar in_transit: messages with delivery time and receiver.
    :ivar sends: times that the harmful request was sent.
    :ivar sends_after_restart: times that hosts sent it that had just started and had not been told
        of it.
    :ivar harmless_sent: harmless calls sent.
    :ivar harmless_refused: harmless calls that were held back.
    :ivar started_at: time of each host's last restart.
    """

    rng: random.Random
    hosts: list[Suspects]
    now: float = 0.0
    incarnation: int = 0
    sends: int = 0
    sends_after_restart: int = 0
    restarts: int = 0
    harmless_sent: int = 0
    harmless_refused: int = 0
    in_transit: list[tuple[float, int, SuspectsMessage]] = field(default_factory=list)
    started_at: dict[int, float] = field(default_factory=dict)

    def restart(self) -> None:
        """Restart a host, which loses all it knows."""
        number = self.rng.randrange(len(self.hosts))
        self.hosts[number] = Suspects()
        self.started_at[number] = self.now
        self.restarts += 1

    def exchange_messages(self) -> None:
        """Exchange messages between all hosts: delayed, reordered, and one in ten lost."""
        for host in self.hosts:
            for message in (host.make_own_message(self.now), host.make_relay_message(self.now)):
                for to in range(len(self.hosts)):
                    if self.rng.random() > 0.1:
                        at = self.now + self.rng.uniform(0.0, 0.5)
                        self.in_transit.append((at, to, message))

    def deliver(self) -> None:
        """Deliver the messages that are due."""
        due = [row for row in self.in_transit if row[0] <= self.now]
        self.in_transit = [row for row in self.in_transit if row[0] > self.now]
        self.rng.shuffle(due)
        for _, to, message in due:
            self.hosts[to].receive(message, self.rng.uniform(-0.02, 0.02), self.now)

    def send_harmful(self, key: SuspectKey) -> None:
        """Send the harmful request through a random host, beside harmless ones."""
        number = self.rng.randrange(len(self.hosts))
        host = self.hosts[number]
        standing = host.find_standing(key, self.now)
        if standing is Standing.HELD:
            return
        if self.now - self.started_at.get(number, -SYNC_DELAY_S) < SYNC_DELAY_S:
            self.sends_after_restart += 1
        else:
            self.sends += 1
        self.incarnation += 1
        tried = standing is Standing.SUSPECTED
        requests = [(key, Trial.ALONE if tried else Trial.NONE)]
        if not tried:
            requests += [(self.draw_harmless(), Trial.NONE) for _ in range(self.rng.randint(0, 7))]
        host.note_crash(TargetNumber(self.incarnation), requests, self.now)

    def draw_harmless(self) -> SuspectKey:
        """Return a harmless request; low keys are drawn more often, so that requests repeat."""
        return SuspectKey(1000 + min(self.rng.randrange(400), self.rng.randrange(400)))

    def send_harmless(self) -> None:
        """Send a harmless request; two in a hundred run on a target that crashes for another
        reason."""
        host = self.rng.choice(self.hosts)
        key = self.draw_harmless()
        self.harmless_sent += 1
        standing = host.find_standing(key, self.now)
        if standing is Standing.HELD:
            self.harmless_refused += 1
        elif self.rng.random() < 0.02:
            self.incarnation += 1
            trial = Trial.ALONE if standing is Standing.SUSPECTED else Trial.NONE
            host.note_crash(TargetNumber(self.incarnation), [(key, trial)], self.now)
        else:
            host.note_answer(key, self.now)


@pytest.mark.parametrize("seed", range(20))
def test_only_harmful_requests_are_held_back_in_any_message_order(seed: int) -> None:
    rng = random.Random(seed)
    model = ClusterModel(rng, [Suspects() for _ in range(5)])
    for step in range(4000):
        model.now += 0.01
        model.deliver()
        if step % 20 == 0:
            model.exchange_messages()
        if step % 25 == 0:
            model.send_harmful(KEY)
        model.send_harmless()
        if rng.random() < 0.002:
            model.restart()
    # Hosts learn of a crash within 0.7 s here; the request is sent three more times in that time.
    assert model.sends <= HELD_CRASHES + 3
    assert model.sends_after_restart <= 2 * model.restarts
    assert model.harmless_refused <= model.harmless_sent / 1000


@pytest.mark.parametrize("seed", range(30))
def test_standings_do_not_depend_on_message_order(seed: int) -> None:
    rng = random.Random(seed)
    senders = [Suspects() for _ in range(4)]
    now = 0.0
    for incarnation in range(40):
        now += rng.uniform(0.0, 0.3)
        key = rng.choice([KEY, OTHER])
        if rng.random() < 0.2:
            rng.choice(senders).note_answer(key, now)
        # Several hosts may run the same request on one target.
        for sender in rng.sample(senders, rng.randint(1, 2)):
            sender.note_crash(TargetNumber(incarnation), [(key, rng.choice(list(Trial)))], now)
    messages = [sender.make_own_message(now) for sender in senders] * 2
    found = []
    for _ in range(3):
        rng.shuffle(messages)
        receiver = Suspects()
        for message in messages:
            receiver.receive(message, 0.0, now)
        found.append([receiver.find_standing(key, now) for key in (KEY, OTHER)])
    assert found[0] == found[1] == found[2]


class PartModel(ClusterModel):
    """Requests that never repeat, and share only parts of their prompts.

    :ivar tried: harmless requests that were sent as trials.
    """

    tried = 0

    def draw_suspects(self, *parts: SuspectKey) -> list[SuspectKey]:
        """Return the suspects of a new request: itself, a system prompt and one of 40 documents."""
        document = 500 + min(self.rng.randrange(40), self.rng.randrange(40))
        own = SuspectKey(10**6 + self.rng.randrange(10**9))
        return [own, SuspectKey(499), SuspectKey(document), *parts]

    def send_harmful(self, key: SuspectKey) -> None:
        """Send a request with the harmful part through a random host, beside harmless ones."""
        host = self.rng.choice(self.hosts)
        suspects = self.draw_suspects(key)
        standing = host.judge(suspects, self.now).standing
        if standing is Standing.HELD:
            return
        self.sends += 1
        self.incarnation += 1
        is_trial = standing is Standing.SUSPECTED
        ran = [(suspect, Trial.ALONE if is_trial else Trial.NONE) for suspect in suspects]
        if not is_trial:
            for _ in range(self.rng.randint(0, 7)):
                ran += [(suspect, Trial.NONE) for suspect in self.draw_suspects()]
        host.note_crash(TargetNumber(self.incarnation), ran, self.now)

    def send_harmless(self) -> None:
        """Send a harmless request; one in a hundred runs on a target that crashes for another
        reason."""
        host = self.rng.choice(self.hosts)
        suspects = self.draw_suspects()
        self.harmless_sent += 1
        standing = host.judge(suspects, self.now).standing
        if standing is Standing.HELD:
            self.harmless_refused += 1
            return
        is_trial = standing is Standing.SUSPECTED
        self.tried += is_trial
        if self.rng.random() < 0.01:
            self.incarnation += 1
            ran = [(suspect, Trial.ALONE if is_trial else Trial.NONE) for suspect in suspects]
            host.note_crash(TargetNumber(self.incarnation), ran, self.now)
        else:
            for suspect in suspects:
                host.note_answer(suspect, self.now)


@pytest.mark.parametrize("seed", range(20))
def test_only_harmful_parts_are_held_back_in_any_message_order(seed: int) -> None:
    rng = random.Random(seed)
    model = PartModel(rng, [Suspects() for _ in range(5)])
    for step in range(4000):
        model.now += 0.01
        model.deliver()
        if step % 20 == 0:
            model.exchange_messages()
        if step % 25 == 0:
            model.send_harmful(KEY)
        model.send_harmless()
    # Hosts learn of a crash within 0.7 s here; three more requests with the part come in that time.
    assert model.sends <= HELD_CRASHES + 3
    assert model.harmless_refused <= model.harmless_sent / 1000
    assert model.tried <= model.harmless_sent / 50

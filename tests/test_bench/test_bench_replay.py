"""Short replays in virtual time with fixed seeds, checked against the documented outcomes."""

from __future__ import annotations

import dataclasses

import pytest

from bench.replay.results import Figures, run_baseline, run_policy
from bench.replay.scenarios import make_scenarios

SCALE = 0.2
SCENARIOS = make_scenarios(SCALE)


def run(name: str, policy: str = "gradepoint") -> Figures:
    """Replay one scenario and compare it with its run without batch."""
    scenario = SCENARIOS[name]
    return run_policy(scenario, policy, 1, run_baseline(scenario, 1))


@pytest.mark.parametrize(
    ("name", "between", "slack"),
    [
        ("kasitoo-bursts", 1.05, 0.7),
        # Lanternby has a high tail preference, so its batch leaves more slots unused.
        ("lanternby-bursts", 1.05, 0.4),
        ("kasitoo-reports-late", 1.07, 0.7),
    ],
)
def test_online_calls_meet_their_latency_objectives_during_bursts(
    name: str, between: float, slack: float
) -> None:
    """Batch must neither delay online calls beyond these bounds nor leave too much slack unused."""
    figures = run(name)
    assert figures.first_token_attainment >= 0.95
    assert figures.between_attainment >= 0.95
    assert figures.harm_p99_between_tokens <= between
    assert figures.slack_used >= slack
    assert not figures.refused


def test_gradepoint_policy_harms_less_than_a_fixed_window_and_uses_more_slack() -> None:
    ours, fixed = run("kasitoo-bursts"), run("kasitoo-bursts", "fixed-window")
    assert ours.slack_used > fixed.slack_used
    assert ours.harm_p99_first_token < fixed.harm_p99_first_token


def test_tail_preference_trades_slack_for_online_tail_latency() -> None:
    rows = []
    for preference in (0.0, 1.0):
        scenario = SCENARIOS["kasitoo-steady"]
        shape = dataclasses.replace(scenario.shape, tail_preference=preference)
        scenario = dataclasses.replace(scenario, shape=shape)
        rows.append(run_policy(scenario, "gradepoint", 1, run_baseline(scenario, 1)))
    throughput, tail = rows
    assert throughput.slack_used > tail.slack_used + 0.2
    assert throughput.harm_p95_first_token > tail.harm_p95_first_token + 0.05
    assert throughput.harm_p50_first_token > tail.harm_p50_first_token + 0.05


def test_loss_of_a_failure_domain_does_not_amplify_the_load() -> None:
    figures = run("lanternby-domain-lost")
    assert figures.retry_amplification <= 1.1


def test_flooding_organisation_waits_longer_than_the_others() -> None:
    assert run("kasitoo-flood").fairness > 1.5


def test_replay_with_the_same_seed_is_reproducible() -> None:
    scenario = dataclasses.replace(SCENARIOS["kasitoo-bursts"], seconds=6.0)
    runs = [run_policy(scenario, "gradepoint", 3, run_baseline(scenario, 3)) for _ in range(2)]
    assert runs[0] == runs[1]

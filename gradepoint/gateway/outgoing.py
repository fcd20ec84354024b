"""Composition of the datagrams that a gateway sends to other hosts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..peers.datagrams import DATAGRAM_FORMAT, Heartbeat, Report, number_target
from ..util.clock import monotonic
from .answer_progress import count_events
from .configuration import NO_VERSION

if TYPE_CHECKING:
    from .app import Gateway


def make_heartbeat(gateway: Gateway) -> Heartbeat:
    """Return the heartbeat of this host."""
    current = gateway.configuration.current
    watchers = gateway.watchers
    watching = watchers.watching
    return Heartbeat(
        format=DATAGRAM_FORMAT,
        incarnation=gateway.own.incarnation,
        config_version=current.version if current else NO_VERSION,
        reaches_store=gateway.kv.reaches_store,
        watching=watching,
        views=watchers.revisions() if watching else {},
        jobs=[*gateway.worker.announced_job_numbers(), *gateway.intake.announced_job_numbers()],
        proven=watchers.list_proofs(),
        proofs=watchers.proofs.count,
        capacity=gateway.capacity,
    )


def make_report(gateway: Gateway, number: int) -> Report:
    """Return the report of this host to the aggregators.

    It contains calls and items in flight, waiting work, results of calls, suspected requests,
    trials, granted calls, the events of running answers since the last report and, in a shortage,
    the demands of organisations. Items count as in flight at their targets too, so that they are
    subtracted from the calls there.

    :param number: sequence number of the report.
    """
    worker, targets, now = gateway.worker, gateway.targets, monotonic()
    items = {number_target(name): count for name, count in worker.in_flight().items()}
    calls = {
        number: target.in_flight - items.get(number, 0)
        for number, target in targets.by_number.items()
        if target.in_flight
    }
    return Report(
        format=DATAGRAM_FORMAT,
        incarnation=gateway.own.incarnation,
        number=number,
        calls=calls,
        items=items,
        waiting=worker.sum_waiting_weight(),
        results=targets.recent_results(),
        suspects=gateway.suspicion.make_own_message(),
        trials=gateway.suspicion.list_own_trials(),
        grants=gateway.quotas.host.find_recent_grants(now),
        paces=count_events(gateway.forwarder.answers, now),
        demands=gateway.share_limits.find_demands(),
        refused=gateway.admission.memory.list_reported(now),
        newest_jobs={
            number_target(name): created for name, created in worker.find_newest_jobs().items()
        },
    )

"""OpenTelemetry metrics of one program, shown as a Prometheus text page.

The libraries are loaded when the page is first asked for. They take 0.12 s of processor time and
8 MB, by ``python -X importtime`` and the resident set; a host that has just been killed serves
its first call earlier by that, and one whose page nobody reads does without.
"""

from __future__ import annotations

import asyncio
import importlib
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable

LIBRARIES = (
    "opentelemetry.metrics",
    "opentelemetry.sdk.metrics._internal.point",
    "opentelemetry.sdk.metrics._internal.aggregation",
    "opentelemetry.sdk.metrics",
    "opentelemetry.sdk.metrics.export",
    "http.server",
    "prometheus_client",
    "opentelemetry.exporter.prometheus",
)
"""Modules in the order in which they are loaded, so that calls go on between them."""

Labels = tuple[tuple[str, str], ...]


@dataclass
class LateCounter:
    """A counter that counts by itself until the library's is there.

    :ivar pending: counts by labels that the library's counter does not have yet.
    """

    name: str
    description: str = ""
    unit: str = ""
    pending: dict[Labels, int] = field(default_factory=dict)
    counter: Any = None

    def add(self, amount: int, labels: dict[str, str] | None = None) -> None:
        """Count *amount* more."""
        if self.counter is not None:
            self.counter.add(amount, labels)
            return
        key = tuple(sorted((labels or {}).items()))
        self.pending[key] = self.pending.get(key, 0) + amount

    def connect(self, meter: Any) -> None:
        """Hand over to a counter of *meter*."""
        self.counter = meter.create_counter(self.name, self.unit, self.description)
        for labels, amount in self.pending.items():
            self.counter.add(amount, dict(labels))
        self.pending.clear()


@dataclass
class LateHistogram:
    """A histogram that keeps what it records until the library's is there.

    Programs that record with every call connect their metrics as they start.
    """

    name: str
    unit: str
    pending: list[float] = field(default_factory=list)
    histogram: Any = None

    def record(self, value: float) -> None:
        """Take a value."""
        if self.histogram is None:
            self.pending.append(value)
        else:
            self.histogram.record(value)

    def connect(self, meter: Any) -> None:
        """Hand over to a histogram of *meter*."""
        self.histogram = meter.create_histogram(self.name, self.unit)
        for value in self.pending:
            self.histogram.record(value)
        self.pending.clear()


@dataclass
class LateGauge:
    """Values that are read whenever the page is shown.

    :ivar read: returns them by labels; set by the part that has them.
    """

    name: str
    unit: str
    read: Callable[[], dict[Labels, float]] = dict

    def connect(self, meter: Any) -> None:
        """Have *meter* read them."""
        from opentelemetry.metrics import Observation

        def observe(_: Any) -> list[Any]:
            return [Observation(value, dict(labels)) for labels, value in self.read().items()]

        meter.create_observable_gauge(self.name, [observe], self.unit)


class Metrics:
    """Counters, histograms and gauges shared by the parts of one process."""

    def __init__(self) -> None:
        self.calls = LateCounter("gradepoint_calls", "Answers by outcome")
        self.refusals = LateCounter("gradepoint_refusals", "By reason")
        self.retries = LateCounter("gradepoint_retries", "By reason")
        self.suspects = LateCounter("gradepoint_suspects", "Requests by new standing")
        self.held_calls = LateCounter("gradepoint_held_calls", "Calls answered as held back")
        self.kv_calls = LateCounter("gradepoint_kv_calls", "By kind")
        self.kv_failures = LateCounter("gradepoint_kv_failures", "By kind")
        self.items = LateCounter("gradepoint_batch_items", "By result")
        self.commits = LateCounter("gradepoint_batch_commits", "By result")
        self.objects = LateCounter("gradepoint_objects", "By operation")
        self.orders = LateCounter("gradepoint_orders", "By kind and result")
        self.control_bytes = LateCounter("gradepoint_control_bytes", unit="By")
        self.call_time = LateHistogram("gradepoint_call_time", "s")
        self.view_age = LateGauge("gradepoint_view_age", "s")
        self.connected = False

    def connect(self) -> None:
        """Hand everything over to the library, once."""
        if self.connected:
            return
        self.connected = True
        from opentelemetry.exporter.prometheus import PrometheusMetricReader
        from opentelemetry.sdk.metrics import MeterProvider

        meter = MeterProvider(metric_readers=[PrometheusMetricReader()]).get_meter("gradepoint")
        for instrument in vars(self).values():
            if isinstance(instrument, LateCounter | LateHistogram | LateGauge):
                instrument.connect(meter)


_shared: list[Metrics] = []


def shared() -> Metrics:
    """Return the process's metrics, created at first use."""
    if not _shared:
        _shared.append(Metrics())
    return _shared[0]


async def render() -> bytes:
    """Return the Prometheus text page."""
    if not shared().connected:
        for name in LIBRARIES:
            importlib.import_module(name)
            await asyncio.sleep(0)
        shared().connect()
    from prometheus_client import REGISTRY, generate_latest

    return bytes(generate_latest(REGISTRY))

"""OpenTelemetry metrics of one program, exposed as a Prometheus text page.

The metrics libraries are imported when the page is first requested. Importing them takes 0.12 s
of processor time (``python -X importtime``) and 8 MB of resident memory. Deferring the import
lets a restarted host serve its first call sooner, and saves the cost altogether where nobody
reads the page. Until then the instruments below buffer their values.
"""

from __future__ import annotations

import asyncio
import importlib
from typing import TYPE_CHECKING, Any

from ..util.memory import read_peak_memory_bytes
from ..util.structs import Struct, field
from . import loop_time

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
"""Modules in import order; :func:`render` yields to the event loop between two imports, so that
calls are not delayed by all of them together."""

Labels = tuple[tuple[str, str], ...]
"""Names and values of labels, sorted by name."""


class BufferedCounter(Struct):
    """Counter that buffers its counts until it is connected to a meter.

    :param name: name of the metric.
    :param description: description of the metric.
    :param unit: unit of the metric.
    :ivar pending: counts by labels that are not yet passed to *counter*.
    :ivar counter: counter of the metrics library, or None before :meth:`connect`.
    """

    name: str
    description: str = ""
    unit: str = ""
    pending: dict[Labels, int] = field(default_factory=dict)
    counter: Any = None

    def add(self, amount: int, labels: dict[str, str] | None = None) -> None:
        """Increase the counter by *amount*."""
        if self.counter is not None:
            self.counter.add(amount, labels)
            return
        key = tuple(sorted((labels or {}).items()))
        self.pending[key] = self.pending.get(key, 0) + amount

    def connect(self, meter: Any) -> None:
        """Create the counter in *meter* and pass the buffered counts to it."""
        self.counter = meter.create_counter(self.name, self.unit, self.description)
        for labels, amount in self.pending.items():
            self.counter.add(amount, dict(labels))
        self.pending.clear()


class BufferedHistogram(Struct):
    """Histogram that buffers its values until it is connected to a meter.

    The buffer is unbounded, so programs that record a value with every call connect their
    metrics at startup.

    :param name: name of the metric.
    :param unit: unit of the metric.
    :ivar pending: values that are not yet passed to *histogram*.
    :ivar histogram: histogram of the metrics library, or None before :meth:`connect`.
    """

    name: str
    unit: str
    pending: list[float] = field(default_factory=list)
    histogram: Any = None

    def record(self, value: float) -> None:
        """Record a value."""
        if self.histogram is None:
            self.pending.append(value)
        else:
            self.histogram.record(value)

    def connect(self, meter: Any) -> None:
        """Create the histogram in *meter* and pass the buffered values to it."""
        self.histogram = meter.create_histogram(self.name, self.unit)
        for value in self.pending:
            self.histogram.record(value)
        self.pending.clear()


class CallbackGauge(Struct):
    """Gauge whose values are read by a callback for each request of the metrics page.

    :param name: name of the metric.
    :param unit: unit of the metric.
    :ivar read: returns the values by labels; set by the component that owns them.
    """

    name: str
    unit: str
    read: Callable[[], dict[Labels, float]] = dict

    def connect(self, meter: Any) -> None:
        """Register the gauge in *meter*."""
        from opentelemetry.metrics import Observation

        def observe(_: Any) -> list[Any]:
            return [Observation(value, dict(labels)) for labels, value in self.read().items()]

        meter.create_observable_gauge(self.name, [observe], self.unit)


class Metrics:
    """Instruments shared by the components of one process.

    :ivar connected: whether the instruments are connected to the metrics library.
    """

    def __init__(self) -> None:
        self.starts = BufferedCounter(
            "gradepoint_program_starts", "Starts of the program, by how its former run ended"
        )
        self.peak_memory = CallbackGauge(
            "gradepoint_peak_memory", "By", lambda: {(): read_peak_memory_bytes()}
        )
        self.calls = BufferedCounter("gradepoint_calls", "Answers by outcome")
        self.answer_ends = BufferedCounter(
            "gradepoint_answer_ends", "Answers of targets by framing and end"
        )
        self.refusals = BufferedCounter("gradepoint_refusals", "By reason")
        self.organisation_refusals = BufferedCounter(
            "gradepoint_organisation_refusals", "Refused calls by reason and organisation"
        )
        self.admission_refusals = BufferedCounter("gradepoint_admission_refusals", "By reason")
        self.admission_waits = BufferedCounter("gradepoint_admission_waits", "By how they ended")
        self.admission_returns = BufferedCounter("gradepoint_admission_returns", "By outcome")
        self.retries = BufferedCounter("gradepoint_retries", "By reason")
        self.resumed_streams = BufferedCounter(
            "gradepoint_resumed_streams", "Streams that callers resume, by source of their version"
        )
        self.suspects = BufferedCounter("gradepoint_suspects", "Requests by new standing")
        self.held_calls = BufferedCounter("gradepoint_held_calls", "Calls answered as held back")
        self.kv_calls = BufferedCounter("gradepoint_kv_calls", "By kind")
        self.kv_failures = BufferedCounter("gradepoint_kv_failures", "By kind")
        self.kv_rejections = BufferedCounter("gradepoint_kv_rejections", "By kind")
        self.unreadable_rows = BufferedCounter(
            "gradepoint_unreadable_rows", "Reads of rows that cannot be used, by event"
        )
        self.items = BufferedCounter("gradepoint_batch_items", "By result")
        self.commits = BufferedCounter("gradepoint_batch_commits", "By result")
        self.objects = BufferedCounter("gradepoint_objects", "By operation")
        self.orders = BufferedCounter("gradepoint_orders", "By kind and result")
        self.dropped_datagrams = BufferedCounter("gradepoint_dropped_datagrams", "By reason")
        self.control_bytes = BufferedCounter("gradepoint_control_bytes", unit="By")
        self.refused_connections = BufferedCounter(
            "gradepoint_refused_connections", "Connections closed unread by an overloaded host"
        )
        self.memory_refusals = BufferedCounter(
            "gradepoint_memory_refusals", "Reservations of memory that did not fit, by purpose"
        )
        self.reserved_memory = CallbackGauge("gradepoint_reserved_memory", "By")
        self.call_time = BufferedHistogram("gradepoint_call_time", "s")
        self.loop_time = CallbackGauge(
            "gradepoint_loop_time", "s", lambda: loop_time.shared().read_total_s()
        )
        self.longest_turn = CallbackGauge(
            "gradepoint_longest_turn", "s", lambda: loop_time.shared().read_longest_s()
        )
        self.failing_loops = CallbackGauge("gradepoint_loop_failing", "s")
        self.not_ready = CallbackGauge("gradepoint_not_ready", "s")
        self.unentered_jobs = CallbackGauge("gradepoint_unentered_jobs", "1")
        self.oldest_unentered_job = CallbackGauge("gradepoint_oldest_unentered_job", "s")
        self.creations = BufferedCounter(
            "gradepoint_job_creations", "Attempts to store a job in the service, by result"
        )
        self.view_age = CallbackGauge("gradepoint_view_age", "s")
        self.view_rows = CallbackGauge("gradepoint_view_rows", "1")
        self.view_stored = CallbackGauge("gradepoint_view_stored", "By")
        self.target_pace = CallbackGauge("gradepoint_target_pace", "1")
        self.target_delay = CallbackGauge("gradepoint_target_delay", "s")
        self.waiting_items = CallbackGauge("gradepoint_waiting_items", "1")
        self.oldest_waiting_item = CallbackGauge("gradepoint_oldest_waiting_item", "s")
        self.connected = False

    def connect(self) -> None:
        """Connect all instruments to the metrics library; does nothing after the first call."""
        if self.connected:
            return
        self.connected = True
        from opentelemetry.exporter.prometheus import PrometheusMetricReader
        from opentelemetry.sdk.metrics import MeterProvider

        meter = MeterProvider(metric_readers=[PrometheusMetricReader()]).get_meter("gradepoint")
        for instrument in vars(self).values():
            if isinstance(instrument, BufferedCounter | BufferedHistogram | CallbackGauge):
                instrument.connect(meter)


_shared: list[Metrics] = []


def shared() -> Metrics:
    """Return the metrics of this process, created at first use."""
    if not _shared:
        _shared.append(Metrics())
    return _shared[0]


async def render() -> bytes:
    """Return the Prometheus text page, after connecting the metrics if needed."""
    if not shared().connected:
        for name in LIBRARIES:
            importlib.import_module(name)
            await asyncio.sleep(0)
        shared().connect()
    from prometheus_client import REGISTRY, generate_latest

    return bytes(generate_latest(REGISTRY))

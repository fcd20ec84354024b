"""OpenTelemetry metrics of one program, shown as a Prometheus text page."""

from __future__ import annotations

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.sdk.metrics import MeterProvider
from prometheus_client import REGISTRY, generate_latest


class Metrics:
    """Counters and histograms shared by the parts of one process."""

    def __init__(self) -> None:
        provider = MeterProvider(metric_readers=[PrometheusMetricReader()])
        meter = provider.get_meter("gradepoint")
        self.calls = meter.create_counter("gradepoint_calls", description="Answers by outcome")
        self.refusals = meter.create_counter("gradepoint_refusals", description="By reason")
        self.retries = meter.create_counter("gradepoint_retries", description="By reason")
        self.kv_calls = meter.create_counter("gradepoint_kv_calls", description="By kind")
        self.kv_failures = meter.create_counter("gradepoint_kv_failures", description="By kind")
        self.items = meter.create_counter("gradepoint_batch_items", description="By result")
        self.commits = meter.create_counter("gradepoint_batch_commits", description="By result")
        self.objects = meter.create_counter("gradepoint_objects", description="By operation")
        self.orders = meter.create_counter("gradepoint_orders", description="By kind and result")
        self.control_bytes = meter.create_counter("gradepoint_control_bytes", unit="By")
        self.first_token = meter.create_histogram("gradepoint_first_token", unit="s")
        self.call_time = meter.create_histogram("gradepoint_call_time", unit="s")


_shared: list[Metrics] = []


def shared() -> Metrics:
    """Return the process's metrics, created at first use."""
    if not _shared:
        _shared.append(Metrics())
    return _shared[0]


def render() -> bytes:
    """Return the Prometheus text page."""
    return bytes(generate_latest(REGISTRY))

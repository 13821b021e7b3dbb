"""Counters and latency histograms of a process."""

from __future__ import annotations

import resource
from collections import Counter

import msgspec
from hdrh.histogram import HdrHistogram

from dalemast import clock

__all__ = ["HistogramSummary", "Metrics", "MetricsDump"]

# Bounds of the recorded latencies, in microseconds.
LOWEST_US = 1
HIGHEST_US = 600_000_000
SIGNIFICANT_DIGITS = 2
PERCENTILES = (50.0, 90.0, 99.0, 99.9)


class HistogramSummary(msgspec.Struct, frozen=True, kw_only=True):
    """Latency distribution of one stage and account, in milliseconds."""

    stage: str
    account: str
    count: int
    mean_ms: float
    max_ms: float
    percentiles_ms: dict[str, float]


class MetricsDump(msgspec.Struct, frozen=True, kw_only=True):
    """All metrics of a process."""

    uptime_s: float
    processor_s: float
    resident_bytes: int
    counters: dict[str, int]
    latencies: tuple[HistogramSummary, ...]


class Metrics:
    """The counters and latency histograms of one process."""

    def __init__(self) -> None:
        self._counters: Counter[str] = Counter()
        self._histograms: dict[tuple[str, str], HdrHistogram] = {}
        self._started_at = clock.monotonic()

    def count(self, name: str, amount: int = 1) -> None:
        """Increase a counter."""
        self._counters[name] += amount

    def get_count(self, name: str) -> int:
        """Return the value of a counter."""
        return self._counters[name]

    def record(self, stage: str, account: str, seconds: float) -> None:
        """Record a latency of a stage for an account."""
        key = (stage, account)
        histogram = self._histograms.get(key)
        if histogram is None:
            histogram = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
            self._histograms[key] = histogram
        histogram.record_value(min(max(int(seconds * 1e6), LOWEST_US), HIGHEST_US))

    def dump(self) -> MetricsDump:
        """Return the current values of all metrics."""
        usage = resource.getrusage(resource.RUSAGE_SELF)
        return MetricsDump(
            uptime_s=round(clock.monotonic() - self._started_at, 3),
            processor_s=round(usage.ru_utime + usage.ru_stime, 3),
            resident_bytes=get_resident_bytes(),
            counters=dict(sorted(self._counters.items())),
            latencies=tuple(
                _summarise(stage, account, histogram)
                for (stage, account), histogram in sorted(self._histograms.items())
            ),
        )


def get_resident_bytes() -> int:
    """Return the resident memory of this process, in bytes."""
    with open("/proc/self/statm") as file:
        pages = int(file.read().split()[1])
    return pages * resource.getpagesize()


def _summarise(stage: str, account: str, histogram: HdrHistogram) -> HistogramSummary:
    return HistogramSummary(
        stage=stage,
        account=account,
        count=histogram.get_total_count(),
        mean_ms=round(histogram.get_mean_value() / 1000, 3),
        max_ms=round(histogram.get_max_value() / 1000, 3),
        percentiles_ms={
            f"p{percentile:g}": round(histogram.get_value_at_percentile(percentile) / 1000, 3)
            for percentile in PERCENTILES
        },
    )

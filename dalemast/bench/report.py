"""From records and counters to the figures of one run."""

from __future__ import annotations

import math
import statistics
from collections import Counter
from collections.abc import Sequence

import msgspec

from dalemast.bench.clairvoyant import get_response_times
from dalemast.bench.load import JobRecord

__all__ = ["Figures", "Usage", "get_figures", "get_quantile"]


class Usage(msgspec.Struct, frozen=True, kw_only=True):
    """What the processes used over a run. Processor times are seconds, by role."""

    seconds: float
    entry_processor_s: float
    agent_processor_s: float
    counters: dict[str, int]
    started: int
    duplicate_starts: int
    platform_reads: int
    platform_writes: int
    ticket_requests: int


class Figures(msgspec.Struct, frozen=True, kw_only=True):
    """The figures of one run, as a line of build/bench.jsonl.

    Ratios are response time over the ideal; ``schedule_p99`` is the 99th percentile of ours over
    that of the clairvoyant list schedule, and the cost is the difference for the same job, in
    milliseconds. Shares are parts of one.
    """

    scenario: str
    variant: str
    repeat: int
    jobs: int
    complete: int
    ratio_p50: float
    ratio_p99: float
    ratio_p999: float
    bare_ratio_p50: float
    bare_ratio_p99: float
    schedule_p99: float
    cost_ms_p50: float
    cost_ms_p99: float
    late: int
    refused: int
    failed: int
    refusal_ms_p99: float
    wasted_share: float
    wasted_byte_share: float
    caller_wasted_share: float
    messages_per_job: float
    duplicate_starts: int
    partial_answers: int
    entry_ms_per_task: float
    agent_ms_per_task: float
    goodput: float
    codes: dict[str, int]
    frames: dict[str, int]
    p99_ms_by_account: dict[str, float]


REFUSALS = frozenset({"E1401", "E1402", "E1403", "E1202", "E1502", "E1501"})


def get_quantile(values: Sequence[float], quantile: float) -> float:
    """Return a quantile by the nearest rank, NaN of nothing."""
    if not values:
        return math.nan
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, math.ceil(quantile * len(ordered)) - 1)]


def get_figures(
    *,
    scenario: str,
    variant: str,
    repeat: int,
    records: Sequence[JobRecord],
    usage: Usage,
    slots: int,
    window: tuple[float, float] | None = None,
) -> Figures:
    """Work out the figures of a run; ``window`` bounds the arrivals that the ratios count."""
    counted = [r for r in records if window is None or window[0] <= r.arrival.at_s < window[1]]
    complete = [record for record in counted if record.is_complete]
    ratios = [record.response_s / record.ideal_s for record in complete]
    bare = [record.response_s / record.arrival.longest_s for record in complete]
    refused = [record for record in counted if record.code in REFUSALS]
    schedule = _get_schedule(records, slots)
    costs = [(r.response_s - schedule[id(r)]) * 1000 for r in complete]
    ours = get_quantile([record.response_s for record in complete], 0.99)
    theirs = get_quantile([schedule[id(record)] for record in complete], 0.99)
    tasks = max(usage.started, 1)
    work_s = sum(sum(record.arrival.run_s) for record in complete)
    return Figures(
        scenario=scenario,
        variant=variant,
        repeat=repeat,
        jobs=len(counted),
        complete=len(complete),
        ratio_p50=_round(get_quantile(ratios, 0.50)),
        ratio_p99=_round(get_quantile(ratios, 0.99)),
        ratio_p999=_round(get_quantile(ratios, 0.999)),
        bare_ratio_p50=_round(get_quantile(bare, 0.50)),
        bare_ratio_p99=_round(get_quantile(bare, 0.99)),
        schedule_p99=_round(ours / theirs if theirs else math.nan),
        cost_ms_p50=_round(get_quantile(costs, 0.50)),
        cost_ms_p99=_round(get_quantile(costs, 0.99)),
        late=sum(record.is_late for record in counted),
        refused=len(refused),
        failed=len(counted) - len(complete) - len(refused),
        refusal_ms_p99=_round(
            get_quantile([(r.response_s - r.link_s) * 1000 for r in refused], 0.99)
        ),
        wasted_share=_round(_get_wasted_share(usage, "frames")),
        wasted_byte_share=_round(_get_wasted_share(usage, "bytes")),
        caller_wasted_share=_round(_get_caller_waste(records, usage)),
        messages_per_job=_round(_count_messages(usage) / max(len(records), 1)),
        duplicate_starts=usage.duplicate_starts,
        partial_answers=sum(_is_partial(record) for record in records),
        entry_ms_per_task=_round(usage.entry_processor_s * 1000 / tasks),
        agent_ms_per_task=_round(usage.agent_processor_s * 1000 / tasks),
        goodput=_round(work_s / (slots * _get_span(counted))),
        frames={
            name: count
            for name, count in sorted(usage.counters.items())
            if name.startswith(("frames.", "tasks.", "forwards."))
        },
        codes=dict(Counter(record.code for record in counted if record.code)),
        p99_ms_by_account=_get_account_p99(complete),
    )


def _get_span(records: Sequence[JobRecord]) -> float:
    """Return the seconds from the first arrival to the last answer."""
    if not records:
        return math.inf
    first = min(record.arrival.at_s for record in records)
    return max(record.arrival.at_s + record.response_s for record in records) - first


def _round(value: float) -> float:
    return round(value, 4)


def _is_partial(record: JobRecord) -> bool:
    wanted = len(record.arrival.run_s) if record.is_complete else 0
    return record.answers != wanted


def _get_schedule(records: Sequence[JobRecord], slots: int) -> dict[int, float]:
    """Return each job's response time under the clairvoyant schedule, by the record's id."""
    ordered = sorted(records, key=lambda record: record.arrival.at_s)
    times = get_response_times([record.arrival for record in ordered], slots=slots)
    return {
        id(record): time_s + record.link_s for time_s, record in zip(times, ordered, strict=True)
    }


def _count_messages(usage: Usage) -> int:
    counters = usage.counters
    return sum(value for name, value in counters.items() if _is_frame(name))


def _is_frame(name: str) -> bool:
    return name in (
        "frames.sent.starts",
        "frames.sent.other",
        "frames.received.answers",
        "frames.received.other",
    )


def _get_wasted_share(usage: Usage, kind: str) -> float:
    """Return the part of the traffic inside that carried neither a task that ran nor an answer.

    A start that was refused is wasted as much as its refusal.
    """
    counters = usage.counters
    useful = counters.get(f"{kind}.sent.starts", 0) + counters.get(f"{kind}.received.answers", 0)
    wasted = counters.get(f"{kind}.sent.other", 0) + counters.get(f"{kind}.received.other", 0)
    if kind == "frames":
        refused = counters.get("frames.received.refusals", 0)
        useful -= refused
        wasted += refused + 2 * counters.get("forwards.sent", 0)
    total = useful + wasted
    return wasted / total if total else 0.0


def _get_caller_waste(records: Sequence[JobRecord], usage: Usage) -> float:
    """Return the part of the messages on callers' links beyond one request and one answer a job."""
    sends = sum(max(record.sends, 1) for record in records)
    total = 2 * (sends + usage.ticket_requests)
    return 1.0 - 2 * len(records) / total if total else 0.0


def _get_account_p99(complete: Sequence[JobRecord]) -> dict[str, float]:
    accounts = sorted({record.arrival.account for record in complete})
    return {
        account: _round(
            1000
            * get_quantile([r.response_s for r in complete if r.arrival.account == account], 0.99)
        )
        for account in accounts
    }


def get_spread(values: Sequence[float]) -> tuple[float, float, float]:
    """Return the smallest, the median and the largest of some values."""
    return min(values), statistics.median(values), max(values)

"""Histories whose callers cancel their jobs, drawn from seeds beside the faults of other draws."""

from __future__ import annotations

import random
from dataclasses import replace

from tests.histories.base import Cancel, Fault, HangUp, History, JobPlan
from tests.histories.draw import (
    LONG_RUN_S,
    draw_crash_history,
    draw_cut_history,
    draw_history,
    draw_load_history,
    draw_restart_history,
    draw_split_history,
    draw_suspended_history,
)

__all__ = ["draw_cancel_history"]

DRAWS = (
    draw_history,
    draw_history,
    draw_cut_history,
    draw_cut_history,
    draw_split_history,
    draw_suspended_history,
    draw_restart_history,
    draw_load_history,
    draw_crash_history,
)
"""The draws of the other faults, each with the same probability."""
LONG_SHARE = 0.6
"""Share of the jobs that go on for longer than a cancelled job may."""
WIDE_SHARE = 0.3
"""Share of the jobs with more tasks than the workers can run at a time."""
WIDE_TASKS = 10
AT_ONCE_S = (0.001, 0.03)
"""Range of the time from a submission to a cancellation that may overtake it."""
LATER_S = (0.03, 3.0)
NEAR_S = (-0.6, 0.6)
"""Range of the time from another fault to a cancellation."""
RESUBMITTED_S = (-1.3, 1.0)
"""Range of the time from a cancellation to a hang-up, after which the caller resubmits."""
CHECKED_S = 9.0
"""Duration after the last cancellation: the time to acknowledge it, and to check what runs on."""


def draw_cancel_history(seed: int) -> History:
    """Return a history with cancellations at drawn entries and times, beside all other faults.

    Some callers also hang up or resubmit the job, before its cancellation is acknowledged or after.
    """
    rng = random.Random(f"cancellations {seed}")
    history = rng.choice(DRAWS)(seed)
    entries = max(history.entries, rng.choice((1, 2, 3, 3)))
    jobs = tuple(_lengthen(rng, job) for job in history.jobs)
    faults = list(history.faults)
    moments = [fault.at_s for fault in faults]
    cancelled = rng.sample(range(len(jobs)), rng.randint(1, min(2, len(jobs))))
    for job in cancelled:
        faults += _draw_cancellation(rng, job, jobs[job], moments, entries=entries)
    last_at = max(fault.at_s for fault in faults if isinstance(fault, Cancel))
    return replace(
        history,
        entries=entries,
        jobs=jobs,
        faults=tuple(faults),
        duration_s=max(history.duration_s, last_at + CHECKED_S),
    )


def _lengthen(rng: random.Random, job: JobPlan) -> JobPlan:
    """Return a job that goes on for long, has many tasks, or is left as it is."""
    if any(crash_s is not None for crash_s in job.crash_s):
        return job
    run_s = (LONG_RUN_S,) * len(job.run_s) if rng.random() < LONG_SHARE else job.run_s
    if rng.random() < WIDE_SHARE:
        run_s = (run_s * WIDE_TASKS)[:WIDE_TASKS]
    return replace(job, run_s=run_s, crash_s=(None,) * len(run_s) if job.crash_s else ())


def _draw_cancellation(
    rng: random.Random, number: int, job: JobPlan, moments: list[float], *, entries: int
) -> list[Fault]:
    """Draw the cancellation of one job, and what else its caller does."""
    at_s = job.at_s + rng.uniform(*rng.choice((AT_ONCE_S, LATER_S, LATER_S)))
    if moments and rng.random() < 0.4:
        at_s = max(job.at_s, rng.choice(moments) + rng.uniform(*NEAR_S))
    cancel = Cancel(
        job=number, at_s=at_s, entry=rng.randrange(entries), resubmits=rng.random() < 0.5
    )
    faults: list[Fault] = [cancel]
    if rng.random() < 0.4:
        hangs_up_at = at_s + rng.uniform(*RESUBMITTED_S)
        faults.append(HangUp(job=number, at_s=hangs_up_at, is_noticed=rng.random() < 0.3))
    if rng.random() < 0.1:
        other_at = job.at_s + rng.uniform(*LATER_S)
        faults.append(replace(cancel, at_s=other_at, is_other_queue=True))
    return faults

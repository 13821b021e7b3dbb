"""What waits at all entries: this entry's own jobs, and the others' words with their ages.

It answers callers who compete for too little room at many entries: one that knows its own jobs
alone takes room that more urgent jobs wait for elsewhere, and expects to begin what others will
begin before it.

A word is hearsay and never the whole truth. It is used while it is renewed, fades when it is not,
and goes with the link that it came by. One that can't be true is not used at all.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

from dalemast.core.scheduling.estimates import RunTimes
from dalemast.core.scheduling.jobs import Job
from dalemast.core.scheduling.load import QueuedDemand
from dalemast.core.workloads import JobRequest

__all__ = [
    "FULL_WEIGHT_INTERVALS",
    "LIFETIME_INTERVALS",
    "MAX_ENTRIES",
    "MAX_NAME_LENGTH",
    "MAX_ROWS",
    "DemandTracker",
    "PeerDemand",
    "summarize_waiting",
]

MIN_RENEWAL_INTERVAL_S = 0.2
"""Pause between renewals of a word until :meth:`DemandTracker.set_renewal_interval` says more."""
FULL_WEIGHT_INTERVALS = 1.5
"""Pauses between renewals for which a word counts in full: one of them may be late by a half."""
LIFETIME_INTERVALS = 3.0
"""Pauses after which a word that was not renewed is dropped. An entry that falls silent is given up
after 2.5 of them, and its word goes with its link; this is for a word that goes stale on a link
that works."""
MAX_ROWS = 32
"""Rows of one word, each a service and a priority; deployments have a few."""
MAX_ENTRIES = 256
"""Entries whose words are kept; several times as many as the target's size needs."""
MAX_NAME_LENGTH = 255
"""Characters of the name of a service or a data centre."""
MOST_JOBS = 1_000_000
MOST_CORE_S = 1_000_000.0
"""Core-seconds of a row: the work of 7,700 workers of 16 cores in 8 s. More than that does not wait
at one entry and can still be on time."""


@dataclass(frozen=True, kw_only=True, slots=True)
class PeerDemand:
    """What another entry has told, and how long ago in seconds."""

    entry: str
    age_s: float
    demand: tuple[QueuedDemand, ...]


class DemandTracker:
    """What waits at the other entries, by incarnation. Times are the steady clock, in seconds."""

    def __init__(self) -> None:
        self._told: dict[str, tuple[float, tuple[QueuedDemand, ...]]] = {}
        self._pause_s = MIN_RENEWAL_INTERVAL_S

    def __len__(self) -> int:
        return len(self._told)

    def set_renewal_interval(self, pause_s: float) -> None:
        """Set the pause after which entries renew their words; it grows with their number."""
        self._pause_s = max(pause_s, MIN_RENEWAL_INTERVAL_S)

    def record(self, entry: str, words: tuple[QueuedDemand, ...], now: float) -> bool:
        """Take in all that waits at an entry; return False if it can't be true and is not used."""
        self._told.pop(entry, None)
        if not _is_plausible(words):
            return False
        if len(self._told) >= MAX_ENTRIES:
            self.sweep(now)
        if words and len(self._told) < MAX_ENTRIES:
            self._told[entry] = (now, words)
        return True

    def forget(self, entry: str) -> None:
        """Note that an entry is out of reach: what waits there may have been answered."""
        self._told.pop(entry, None)

    def sweep(self, now: float) -> list[str]:
        """Drop the words that have faded, and return whose they were."""
        faded = [
            entry for entry, (told_at, _) in self._told.items() if not self._weigh(told_at, now)
        ]
        for entry in faded:
            del self._told[entry]
        return faded

    def get_core_s_ahead(self, service: str, priority: int, now: float) -> float:
        """Return the core-seconds that wait elsewhere for a service and are at least as urgent."""
        return sum(
            weight * word.core_s
            for weight, word in self._weigh_words(service, now)
            if word.priority <= priority
        )

    def get_core_s_ahead_by_data_centre(
        self, service: str, priority: int, now: float
    ) -> dict[str, float]:
        """Return what :meth:`get_ahead` does, by the data centre where it waits."""
        waiting: dict[str, float] = {}
        for weight, word in self._weigh_words(service, now):
            if word.priority <= priority:
                core_s = waiting.get(word.data_centre, 0.0) + weight * word.core_s
                waiting[word.data_centre] = core_s
        return waiting

    def list_peer_demand(self, now: float) -> list[PeerDemand]:
        """Return what each entry has told."""
        return [
            PeerDemand(entry=entry, age_s=now - told_at, demand=words)
            for entry, (told_at, words) in self._told.items()
        ]

    def _weigh_words(self, service: str, now: float) -> Iterable[tuple[float, QueuedDemand]]:
        """Return the words on a service, each with the share that still counts."""
        for told_at, words in self._told.values():
            weight = self._weigh(told_at, now)
            if weight:
                yield from ((weight, word) for word in words if word.service == service)

    def _weigh(self, told_at: float, now: float) -> float:
        """Return the share of a word that counts at its age, from 1 down to 0."""
        pauses = (now - told_at) / self._pause_s
        left = (LIFETIME_INTERVALS - pauses) / (LIFETIME_INTERVALS - FULL_WEIGHT_INTERVALS)
        return min(max(left, 0.0), 1.0)


def summarize_waiting(
    jobs: Iterable[Job], run_times: RunTimes, *, now: float
) -> tuple[QueuedDemand, ...]:
    """Return what waits here, the most urgent first; the data centre is left to who hears it.

    Only jobs that can still be on time count: nobody should wait for the others.
    """
    totals: dict[tuple[int, str], tuple[int, float]] = {}
    for job in jobs:
        if job.has_begun or not job.waiting or now > job.latest_start:
            continue
        queue = job.request.queue
        key = (queue.priority, queue.service)
        count, core_s = totals.get(key, (0, 0.0))
        totals[key] = (count + 1, core_s + _expect_core_s(job.request, run_times))
    return tuple(
        QueuedDemand(
            service=service,
            priority=priority,
            data_centre="",
            jobs=min(count, MOST_JOBS),
            core_s=min(core_s, MOST_CORE_S),
        )
        for (priority, service), (count, core_s) in sorted(totals.items())[:MAX_ROWS]
    )


def _expect_core_s(request: JobRequest, run_times: RunTimes) -> float:
    """Return what a job's tasks are expected to take, in core-seconds.

    Callers may declare anything. A job whose work is no number, or more than can be true of a whole
    entry, counts for nothing, so that the word on the others is still believed.
    """
    name = request.queue.name
    core_s = sum(
        step.count
        * step.resources.cpu
        / 1000
        * run_times.expect(queue=name, declared_s=step.estimate_s)
        for step in request.steps
    )
    return core_s if 0.0 <= core_s <= MOST_CORE_S else 0.0


def _is_plausible(words: tuple[QueuedDemand, ...]) -> bool:
    """Tell whether a word can be true as a whole."""
    rows = {(word.service, word.priority) for word in words[: MAX_ROWS + 1]}
    if len(words) > MAX_ROWS or len(rows) < len(words):
        return False
    return all(_is_sound(word) for word in words)


def _is_sound(word: QueuedDemand) -> bool:
    """Tell whether a row is within its bounds; what is no number is not."""
    if not 0 < len(word.service) <= MAX_NAME_LENGTH or len(word.data_centre) > MAX_NAME_LENGTH:
        return False
    if not math.isfinite(word.core_s) or not 0.0 <= word.core_s <= MOST_CORE_S:
        return False
    return word.priority >= 0 and 0 <= word.jobs <= MOST_JOBS

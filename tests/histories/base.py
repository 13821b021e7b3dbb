"""Histories: jobs, faults and outcomes. Times are virtual seconds.

Moments (``at_s``) are relative to the arrival of the first job, when the fleet is up and connected.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

__all__ = [
    "MAX_HIDDEN_S",
    "CallEffect",
    "CallFault",
    "Cancel",
    "Cut",
    "Drop",
    "Fault",
    "Freeze",
    "HangUp",
    "History",
    "JobPlan",
    "Kill",
    "Leave",
    "Outcome",
    "Resize",
    "Silence",
    "Suspend",
]

MAX_HIDDEN_S = 1.0
"""Maximum time for which a hidden crash cuts a worker off after its restart."""


class CallEffect(enum.Enum):
    """A faulty outcome of a call to a worker, as the platform permits."""

    LOST = "lost"
    """The call is never executed or answered."""
    DONE_UNANSWERED = "done unanswered"
    """The call is executed at once but never answered."""
    DONE_LATE = "done late"
    """The call is executed later, possibly after newer calls, and never answered."""
    ANSWERED_LATE = "answered late"
    """The call is executed at once; its answer arrives later, possibly after newer ones."""
    REJECTED = "rejected"
    """The worker is unhealthy: it answers 503 and does nothing."""
    NO_ROOM = "refused for room"
    """The worker refuses the call for lack of capacity, unless the run is already active."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Freeze:
    """A process is paused; data that arrives meanwhile waits in its sockets."""

    process: str
    at_s: float
    for_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Suspend:
    """A host is suspended with all its processes; its monotonic clock does not count the time."""

    process: str
    at_s: float
    for_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Kill:
    """A process is killed, and a new incarnation of it starts ``for_s`` later."""

    process: str
    at_s: float
    for_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Cut:
    """Packets from one host to another are held back; the connections stay open."""

    sender: str
    receiver: str
    at_s: float
    for_s: float
    is_both_ways: bool = True


@dataclass(frozen=True, kw_only=True, slots=True)
class Silence:
    """Open connections between two hosts stop passing data permanently; new ones work."""

    first: str
    second: str
    at_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Drop:
    """The connections between two hosts are reset, as by a device on the network path."""

    first: str
    second: str
    at_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class CallFault:
    """Calls of one kind to a worker fail for a while, ``max_calls`` of them at most.

    ``kind`` is start, stop or hold (a poll). ``delay_s`` is the delay of the late effects.
    """

    worker: str
    kind: str
    effect: CallEffect
    at_s: float
    for_s: float
    delay_s: float = 0.0
    max_calls: int = 1_000


@dataclass(frozen=True, kw_only=True, slots=True)
class Resize:
    """The capacity of a worker changes; its next report includes the new one."""

    worker: str
    at_s: float
    cpu: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Leave:
    """A worker gives notice that it leaves in ``notice_s`` at the earliest.

    It ends ``stays_s`` after that, or with ``is_withdrawn`` withdraws the notice at that time.
    """

    worker: str
    at_s: float
    notice_s: float
    stays_s: float = 0.0
    is_withdrawn: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class HangUp:
    """A caller loses its connection and resubmits its job.

    ``is_noticed`` is whether the entry notices that the connection ended.
    """

    job: int
    at_s: float
    is_noticed: bool = True


@dataclass(frozen=True, kw_only=True, slots=True)
class Cancel:
    """A caller cancels its job at an entry, and repeats that at any entry until it is acknowledged.

    With ``is_other_queue`` it names another queue than the job's, so that nothing is cancelled.
    With ``resubmits`` it goes on to resubmit the job afterwards, as if it had not cancelled it.
    """

    job: int
    at_s: float
    entry: int = 0
    is_other_queue: bool = False
    resubmits: bool = False


Fault = (
    Freeze | Suspend | Kill | Cut | Silence | Drop | CallFault | Resize | Leave | HangUp | Cancel
)


@dataclass(frozen=True, kw_only=True, slots=True)
class JobPlan:
    """A job of one step. ``run_s`` has the run time of each task.

    ``crash_s`` has, for each task, the time from its start to the crash of its worker, or None for
    a task that does not crash it; it is empty if none does.
    """

    at_s: float
    run_s: tuple[float, ...]
    entry: int = 0
    cpu: int = 1000
    crash_s: tuple[float | None, ...] = ()
    priority: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class History:
    """One history. ``seed`` determines packet delays and other small times.

    ``idle_s`` is how long the fleet is idle before the first job; ``clock_rates`` has
    the relative speed of each worker's clock.
    """

    seed: int
    jobs: tuple[JobPlan, ...]
    faults: tuple[Fault, ...]
    entries: int = 1
    clock_rates: tuple[float, ...] = (1.0, 1.0)
    cpu: int = 4000
    idle_s: float = 1.0
    duration_s: float = 6.0
    keeps_ids: bool = False
    """Whether a restarted worker keeps its id, so that only the time of birth distinguishes its
    incarnations; its counters and its clock restart with each of them."""
    crash_downtime_s: float = 2.5
    """Downtime of a worker that has been crashed by a task or has left."""
    hidden_crash_share: float = 0.0
    """Share of the crashes by tasks that the agent does not notice: nothing passes between it and
    the worker until the worker is back, and up to :data:`MAX_HIDDEN_S` longer."""
    preempts: bool = False
    """Whether urgent jobs preempt others, with the bounds on lost work nearly disabled."""
    plans_departures: bool = False
    """Whether runs are moved off workers that leave."""
    enables_all_decisions: bool = False
    """Whether all decisions under load are enabled."""


@dataclass(kw_only=True, slots=True)
class Outcome:
    """The result of a history. ``broken`` has a line for each violated guarantee."""

    broken: list[str] = field(default_factory=list)
    trace: list[str] = field(default_factory=list)
    starts: int = 0
    answers: list[str] = field(default_factory=list)
    """Class names of the answers to callers in order, then "none" for each unanswered job."""
    states: dict[int, str] = field(default_factory=dict)
    """Final states of the answered jobs by index: succeeded, failed, cancelled or refused."""
    unacknowledged: int = 0
    """Number of jobs whose cancellation was not acknowledged."""
    crashes: int = 0
    """Number of workers that were crashed by a task."""
    late_starts: int = 0
    """Maximum number of starts of one task after it has crashed three workers."""
    preemptions: int = 0
    """Number of preempted runs."""
    moves: int = 0
    """Number of runs moved off workers that leave or are slow."""

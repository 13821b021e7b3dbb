"""Histories drawn from seeds, with faults close to one another in time, and their shrinking."""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import replace

from tests.histories.base import (
    CallEffect,
    CallFault,
    Cancel,
    Cut,
    Drop,
    Fault,
    Freeze,
    HangUp,
    History,
    JobPlan,
    Kill,
    Leave,
    Outcome,
    Resize,
    Silence,
    Suspend,
)
from tests.histories.fleet import ModelFleet

__all__ = [
    "draw_crash_history",
    "draw_cut_history",
    "draw_departure_history",
    "draw_history",
    "draw_load_history",
    "draw_restart_history",
    "draw_preemption_history",
    "draw_split_history",
    "draw_suspended_history",
    "play",
    "shrink",
]

RUN_S = ((0.05, 0.3), (0.5, 2.0), (3.0, 6.0))
"""Ranges of run times: from short tasks to those that last longer than a fault."""
FAULT_S = ((0.03, 0.45), (0.4, 1.0), (1.0, 2.5))
"""Ranges of fault durations: shorter than timeouts, about the time until lost runs count as ended,
and longer."""
LATE_S = ((0.01, 0.1), (0.1, 0.6), (0.6, 2.0))
"""Ranges of delays of calls and answers; the platform permits up to seconds."""
OFFSET_S = ((0.0, 0.01), (0.0, 0.1), (-0.2, 0.5))
"""Ranges of the offset of a fault from another event."""
REACTION_DELAYS_S = (0.0, 0.45, 0.9, 1.17, 1.3)
"""Delays after which the system reacts to a fault: timeout, loss of runs, resubmission."""
CALL_EFFECTS = {
    "start": tuple(CallEffect),
    "stop": (
        CallEffect.LOST,
        CallEffect.DONE_UNANSWERED,
        CallEffect.DONE_LATE,
        CallEffect.ANSWERED_LATE,
    ),
    "hold": (CallEffect.LOST, CallEffect.DONE_LATE, CallEffect.ANSWERED_LATE),
}
IDLE_S = 30.0
"""Long enough for a slow clock to fall behind by the duration of a lease."""
SLOW_RATE = 0.98
"""Lowest relative speed of a worker's clock that the platform permits."""
DURATION_S = 6.0
AGENTS = ("agent-0", "agent-1")
LONG_RUN_S = 9.0
"""Run time that is longer than every cut."""
SPLIT_DURATION_S = 12.0
"""Duration of a history with a divided network: longer than the division and a run after it."""
SPLIT_BEGINS_WITHIN_S = 0.5
"""Maximum time between the first and the last cut that divide the network."""
SPLIT_S = (1.0, 7.0)
"""Range of the durations of the cuts that divide the network."""
ONE_WAY_SHARE = 0.3
"""Share of these cuts that are one-way."""
STOPS_LOST_SHARE = 0.3
"""Share of the histories with cuts between entries in which stops are lost."""
NOTICED_SHARE = 0.25
"""Share of the hang-ups in these histories that the entry notices."""
SUSPENDED_SHARE = 0.5
"""Share of the histories in which another host is suspended besides those of frozen processes."""
SUSPENDED_S = (0.3, 0.6, 1.0, 1.4, 2.5)
DOWNTIME_S = (0.004, 0.03, 0.4, 2.5)
"""Downtimes of a restarting worker: from less than the duration of a poll up to the platform's."""
NOTICE_S = ((0.05, 0.4), (1.0, 2.5), (1.0, 2.5))
"""Ranges of the notice before a worker leaves: less than a stop and its answer may take, and about
what platforms give."""
STAYS_S = (0.0, 0.0, 0.03, 0.5, 4.0)
"""How long a worker stays after its notice has run out."""
WITHDRAWN_SHARE = 0.15
CRASHING_SHARE = 0.4
CRASH_S = (0.01, 0.1, 0.4)
"""Times from the start of a crashing task to the crash of its worker."""
CRASH_DOWNTIME_S = (0.5, 1.2, 2.5)
CRASH_WORKERS = 6
SOUND_JOBS = 8
"""Number of jobs beside the crashing ones in a history with hidden crashes."""
CRASH_FAULTS_WITHIN_S = 9.0
CRASH_DURATION_S = 14.0
LONG_AT_S = 0.3
"""Arrival of the long jobs that fill the workers in a history with preemption."""
SECOND_LONG_JOB = 2
"""Index of the second long job in a history with preemption."""
FREE_CAPACITY_SHARE = 0.4
"""Share of the load histories that leave free capacity for moves."""
PAIR_SHARE = 0.3
"""Share of call faults after which the next call fails in another way."""


def play(history: History) -> Outcome:
    """Play a history."""
    return ModelFleet(history=history).play()


def draw_history(seed: int) -> History:
    """Return the history of a seed."""
    rng = random.Random(seed)
    jobs = tuple(
        JobPlan(
            at_s=0.0 if number == 0 else rng.uniform(0.0, 1.5),
            run_s=tuple(_draw(rng, RUN_S) for _ in range(rng.randint(1, 4))),
            entry=rng.randrange(2),
        )
        for number in range(rng.choice((1, 1, 2)))
    )
    history = History(
        seed=seed,
        jobs=jobs,
        faults=(),
        entries=rng.choice((1, 1, 1, 2)),
        clock_rates=tuple(rng.choice((1.0, 1.0, SLOW_RATE)) for _ in range(2)),
        cpu=rng.choice((2000, 4000)),
        idle_s=rng.choice((1.0,) * 7 + (IDLE_S,)),
        duration_s=DURATION_S,
    )
    moments = [job.at_s for job in jobs]
    faults: list[Fault] = []
    for _ in range(rng.choice((1, 2, 2, 3, 3, 4, 4))):
        at_s = rng.choice(moments) + rng.choice(REACTION_DELAYS_S) * rng.randint(0, 1)
        at_s = min(max(at_s + _draw(rng, OFFSET_S), -0.2), 4.0)
        moments.append(at_s)
        fault = _draw_fault(rng, history, at_s)
        faults.append(fault)
        if isinstance(fault, CallFault) and rng.random() < PAIR_SHARE:
            faults.append(_draw_next_call_fault(rng, fault))
    return replace(history, faults=tuple(faults))


def draw_cut_history(seed: int) -> History:
    """Return a history with cuts between entries and hang-ups that entries do not notice."""
    rng = random.Random(f"cut entries {seed}")
    entries = [f"entry-{number}" for number in range(rng.choice((2, 2, 3)))]
    jobs = tuple(
        JobPlan(
            at_s=0.0 if number == 0 else rng.uniform(0.0, 1.5),
            run_s=tuple(rng.choice((0.3, 2.0, LONG_RUN_S)) for _ in range(rng.randint(1, 3))),
            entry=rng.randrange(len(entries)),
        )
        for number in range(rng.choice((1, 1, 2)))
    )
    faults: list[Fault] = []
    for _ in range(rng.choice((1, 1, 2, 3))):
        faults.append(_draw_cut(rng, *rng.sample(entries, 2), latest_s=1.5, longest_s=6.0))
    for _ in range(rng.choice((0, 0, 1, 2))):
        ends = rng.choice(entries), rng.choice(AGENTS)
        faults.append(_draw_cut(rng, *ends, latest_s=3.0, longest_s=4.0))
    for _ in range(rng.choice((0, 0, 1, 1, 2))):
        faults.append(_draw_process_fault(rng, entries))
    if rng.random() < STOPS_LOST_SHARE:
        worker = f"worker-{rng.randrange(2)}"
        effect, max_calls = CallEffect.LOST, rng.choice((1, 2, 1000))
        faults.append(
            CallFault(
                worker=worker, kind="stop", effect=effect, at_s=0.0, for_s=5.0, max_calls=max_calls
            )
        )
    for number, job in enumerate(jobs):
        for _ in range(rng.choice((1, 1, 2))):
            at_s = job.at_s + rng.uniform(0.02, 3.0)
            is_noticed = rng.random() < NOTICED_SHARE
            faults.append(HangUp(job=number, at_s=at_s, is_noticed=is_noticed))
    return History(
        seed=seed, jobs=jobs, faults=tuple(faults), entries=len(entries), duration_s=LONG_RUN_S
    )


def draw_split_history(seed: int) -> History:
    """Return a history in which cuts divide entries and agents into two groups.

    Callers are lost without their entries noticing, and resubmit to any entry. Processes are
    frozen, suspended or killed, and some start again within the division.
    """
    rng = random.Random(f"split {seed}")
    entries = [f"entry-{number}" for number in range(rng.choice((2, 2, 3, 3, 4)))]
    agents = [f"agent-{number}" for number in range(rng.choice((2, 2, 3)))]
    at_s = rng.uniform(-0.2, 1.0)
    faults: list[Fault] = list(_draw_split(rng, entries, agents, at_s=at_s))
    for _ in range(rng.choice((0, 0, 0, 1, 1, 2))):
        faults.append(_draw_split_process_fault(rng, [*entries, *agents], split_at_s=at_s))
    if rng.random() < STOPS_LOST_SHARE:
        worker = f"worker-{rng.randrange(len(agents))}"
        effect, max_calls = CallEffect.LOST, rng.choice((1, 2, 1000))
        faults.append(
            CallFault(
                worker=worker, kind="stop", effect=effect, at_s=0.0, for_s=8.0, max_calls=max_calls
            )
        )
    jobs = tuple(
        JobPlan(
            at_s=0.0 if number == 0 else rng.uniform(-0.2, 4.0),
            run_s=tuple(rng.choice((2.0, LONG_RUN_S)) for _ in range(rng.randint(1, 2))),
            entry=rng.randrange(len(entries)),
        )
        for number in range(rng.choice((1, 2, 4)))
    )
    for number, job in enumerate(jobs):
        for _ in range(rng.choice((1, 1, 2))):
            hang_up_at_s = job.at_s + rng.choice((rng.uniform(0.02, 1.0), rng.uniform(0.5, 5.0)))
            is_noticed = rng.random() < NOTICED_SHARE
            faults.append(HangUp(job=number, at_s=hang_up_at_s, is_noticed=is_noticed))
    return History(
        seed=seed,
        jobs=jobs,
        faults=tuple(faults),
        entries=len(entries),
        clock_rates=tuple(rng.choice((1.0, SLOW_RATE)) for _ in agents),
        duration_s=SPLIT_DURATION_S,
    )


def _draw_split(
    rng: random.Random, entries: list[str], agents: list[str], *, at_s: float
) -> Iterator[Cut]:
    """Draw cuts between all members of two groups of hosts. Each group has an entry."""
    sides = {name: rng.randrange(2) for name in [*entries, *agents]}
    first, second = rng.sample(entries, 2)
    sides[first], sides[second] = 0, 1
    if rng.random() < 0.7:
        sides[agents[0]], sides[agents[1]] = rng.sample((0, 1), 2)
    for_s = rng.uniform(*SPLIT_S)
    for one in entries:
        for other in [*entries, *agents]:
            is_pair_listed = other in entries and one >= other
            if is_pair_listed or sides[one] == sides[other]:
                continue
            sender, receiver = rng.sample((one, other), 2)
            yield Cut(
                sender=sender,
                receiver=receiver,
                at_s=at_s + rng.uniform(0.0, SPLIT_BEGINS_WITHIN_S),
                for_s=for_s + rng.uniform(0.0, 0.5),
                is_both_ways=rng.random() >= ONE_WAY_SHARE,
            )


def _draw_split_process_fault(
    rng: random.Random, processes: list[str], *, split_at_s: float
) -> Fault:
    process, at_s = rng.choice(processes), split_at_s + rng.uniform(-0.6, 4.0)
    match rng.choice(("freeze", "suspend", "kill", "start")):
        case "freeze":
            return Freeze(process=process, at_s=at_s, for_s=rng.uniform(0.1, 3.0))
        case "suspend":
            return Suspend(process=process, at_s=at_s, for_s=rng.choice(SUSPENDED_S))
        case "kill":
            return Kill(process=process, at_s=at_s, for_s=rng.uniform(0.05, 2.0))
        case _:
            # The process is down at the beginning, and starts once the network is divided.
            down_s = split_at_s + 0.9 + rng.uniform(0.0, 3.0)
            return Kill(process=process, at_s=-0.9, for_s=down_s)


def draw_suspended_history(seed: int) -> History:
    """Return a drawn history in which the freezes of processes are suspensions of their hosts.

    One more host is suspended in some of them, and in all without a frozen process.
    """
    history = draw_history(seed) if seed % 3 else draw_cut_history(seed)
    faults: list[Fault] = [
        Suspend(process=fault.process, at_s=fault.at_s, for_s=fault.for_s)
        if isinstance(fault, Freeze) and not fault.process.startswith("worker")
        else fault
        for fault in history.faults
    ]
    rng = random.Random(f"suspended {seed}")
    if rng.random() < SUSPENDED_SHARE or not any(isinstance(f, Suspend) for f in faults):
        hosts = [f"entry-{number}" for number in range(history.entries)] + list(AGENTS)
        faults.append(
            Suspend(
                process=rng.choice(hosts),
                at_s=rng.uniform(0.0, 2.0),
                for_s=rng.choice(SUSPENDED_S),
            )
        )
    return replace(history, faults=tuple(faults))


def draw_restart_history(seed: int) -> History:
    """Return a drawn history with suspended hosts and workers that restart under their ids.

    Workers are also resized, and crashed by some tasks.
    """
    rng = random.Random(f"news {seed}")
    history = draw_suspended_history(seed)
    faults = list(history.faults)
    for _ in range(rng.choice((1, 1, 2, 3))):
        worker = f"worker-{rng.randrange(2)}"
        at_s, downtime_s = rng.uniform(0.0, 3.0), rng.choice(DOWNTIME_S)
        faults.append(Kill(process=worker, at_s=at_s, for_s=downtime_s))
    for _ in range(rng.choice((0, 1, 2, 4))):
        worker = f"worker-{rng.randrange(2)}"
        cpu = rng.choice((0, 1000, 2000, 3000, 6000))
        faults.append(Resize(worker=worker, at_s=rng.uniform(-0.5, 4.0), cpu=cpu))
    jobs = tuple(
        replace(job, crash_s=tuple(rng.choice((None, None, 0.01, 0.25)) for _ in job.run_s))
        if rng.random() < CRASHING_SHARE
        else job
        for job in history.jobs
    )
    return replace(
        history,
        jobs=jobs,
        faults=tuple(faults),
        keeps_ids=True,
        crash_downtime_s=rng.choice(DOWNTIME_S),
        duration_s=LONG_RUN_S,
    )


def draw_preemption_history(seed: int) -> History:
    """Return a drawn history in which long jobs fill the workers and urgent jobs preempt them.

    Its faults are those of another drawn history, moved to the time of the stops, and some more.
    """
    rng = random.Random(f"preemption {seed}")
    drawn = (draw_history, draw_cut_history, draw_restart_history)[seed % 3](seed)
    faults = [_move_to_stops(fault, rng) for fault in drawn.faults if not isinstance(fault, HangUp)]
    slots = 2 * drawn.cpu // 1000
    urgent_at_s = [LONG_AT_S + rng.uniform(0.1, 0.9) for _ in range(rng.randint(1, 4))]
    jobs = [
        JobPlan(at_s=0.0, run_s=(0.05,) * slots, entry=rng.randrange(drawn.entries)),
        *(
            JobPlan(
                at_s=LONG_AT_S + 0.01 * number,
                run_s=(rng.uniform(1.5, 4.0),) * (slots // 2),
                entry=rng.randrange(drawn.entries),
                priority=1,
            )
            for number in range(2)
        ),
        *(
            JobPlan(
                at_s=at_s,
                run_s=(rng.uniform(0.05, 0.3),) * rng.randint(1, 3),
                entry=rng.randrange(drawn.entries),
            )
            for at_s in urgent_at_s
        ),
    ]
    for _ in range(rng.choice((0, 1, 1, 2))):
        faults.append(_draw_fault(rng, drawn, rng.choice(urgent_at_s) + rng.uniform(0.05, 0.3)))
    faults = [
        replace(f, job=rng.randrange(len(jobs))) if isinstance(f, HangUp) else f for f in faults
    ]
    return replace(
        drawn, jobs=tuple(jobs), faults=tuple(faults), preempts=True, duration_s=LONG_RUN_S
    )


def draw_crash_history(seed: int) -> History:
    """Return a history with tasks that crash their workers, mostly unnoticed by the agents.

    Owners and agents are killed, alone or together, frozen or cut off, and callers hang up. The
    crashing jobs come first.
    """
    rng = random.Random(f"hidden crashes {seed}")
    entries = [f"entry-{number}" for number in range(rng.choice((2, 3)))]
    agents = [f"agent-{number}" for number in range(CRASH_WORKERS)]
    crashing = [
        JobPlan(
            at_s=rng.uniform(0.0, 0.5),
            run_s=(1.0,) * tasks,
            crash_s=(rng.choice(CRASH_S),) * tasks,
            entry=rng.randrange(len(entries)),
        )
        for tasks in [rng.randint(1, 3) for _ in range(rng.choice((1, 1, 2)))]
    ]
    sound = [
        JobPlan(
            at_s=rng.uniform(0.0, 6.0),
            run_s=(rng.choice((0.3, 1.5)),) * rng.randint(1, 4),
            entry=rng.randrange(len(entries)),
        )
        for _ in range(SOUND_JOBS)
    ]
    faults: list[Fault] = []
    for _ in range(rng.randint(0, 8)):
        faults += _draw_crash_faults(rng, entries, agents, jobs=len(crashing))
    return History(
        seed=seed,
        jobs=(*crashing, *sound),
        faults=tuple(faults),
        entries=len(entries),
        clock_rates=(1.0,) * CRASH_WORKERS,
        duration_s=CRASH_DURATION_S,
        keeps_ids=rng.random() < 0.5,
        crash_downtime_s=rng.choice(CRASH_DOWNTIME_S),
        hidden_crash_share=rng.choice((1.0, 1.0, 0.6)),
    )


def _draw_crash_faults(
    rng: random.Random, entries: list[str], agents: list[str], *, jobs: int
) -> list[Fault]:
    """Draw a fault that may hide crashes from their owner, or two processes killed together."""
    at_s = rng.uniform(0.0, CRASH_FAULTS_WITHIN_S)
    entry, agent = rng.choice(entries), rng.choice(agents)
    process, for_s = rng.choice((entry, agent)), rng.uniform(0.1, 2.5)
    match rng.choice(("kill", "kill", "kill both", "freeze", "cut", "hang up", "hang up")):
        case "kill":
            return [Kill(process=process, at_s=at_s, for_s=for_s)]
        case "kill both":
            later_s = at_s + rng.uniform(0.0, 1.0)
            return [
                Kill(process=entry, at_s=at_s, for_s=for_s),
                Kill(process=agent, at_s=later_s, for_s=rng.uniform(0.1, 2.5)),
            ]
        case "freeze":
            return [Freeze(process=process, at_s=at_s, for_s=for_s)]
        case "cut":
            sender, receiver = rng.sample((entry, agent), 2)
            is_both_ways = rng.random() < 0.7
            return [
                Cut(
                    sender=sender,
                    receiver=receiver,
                    at_s=at_s,
                    for_s=for_s,
                    is_both_ways=is_both_ways,
                )
            ]
        case _:
            job, is_noticed = rng.randrange(jobs), rng.random() < 0.6
            return [HangUp(job=job, at_s=at_s, is_noticed=is_noticed)]


def _move_to_stops(fault: Fault, rng: random.Random) -> Fault:
    """Return a copy of a fault that occurs around the time when runs are stopped."""
    return replace(fault, at_s=LONG_AT_S + rng.uniform(0.0, 1.5))


def draw_departure_history(seed: int) -> History:
    """Return a drawn history in which one or both workers leave with notice.

    The other faults are those of :func:`draw_restart_history` or :func:`draw_history`.
    """
    rng = random.Random(f"departures {seed}")
    history = draw_restart_history(seed) if seed % 2 else draw_history(seed)
    faults = list(history.faults)
    for _ in range(rng.choice((1, 1, 2, 3))):
        leave = Leave(
            worker=f"worker-{rng.randrange(2)}",
            at_s=round(rng.uniform(0.0, 3.0), 3),
            notice_s=_draw(rng, NOTICE_S),
            stays_s=rng.choice(STAYS_S),
            is_withdrawn=rng.random() < WITHDRAWN_SHARE,
        )
        faults.append(leave)
    return replace(history, faults=tuple(faults), plans_departures=True, duration_s=LONG_RUN_S)


def draw_load_history(seed: int) -> History:
    """Return a drawn history with preemption in which workers leave around the time of the stops.

    All decisions under load are enabled, and some callers resubmit jobs that are still running.
    """
    rng = random.Random(f"load {seed}")
    history = draw_preemption_history(seed)
    if rng.random() < FREE_CAPACITY_SHARE:
        history = _drop_job(history, SECOND_LONG_JOB)
    faults = list(history.faults)
    for _ in range(rng.choice((1, 1, 2))):
        leave = Leave(
            worker=f"worker-{rng.randrange(2)}",
            at_s=round(LONG_AT_S + rng.uniform(0.05, 1.2), 3),
            notice_s=_draw(rng, NOTICE_S),
            stays_s=rng.choice(STAYS_S),
            is_withdrawn=rng.random() < WITHDRAWN_SHARE,
        )
        faults.append(leave)
    for _ in range(rng.choice((0, 0, 1))):
        at_s = LONG_AT_S + rng.uniform(0.1, 1.5)
        job = rng.randrange(len(history.jobs))
        faults.append(HangUp(job=job, at_s=at_s, is_noticed=rng.random() < NOTICED_SHARE))
    return replace(history, faults=tuple(faults), plans_departures=True, enables_all_decisions=True)


def shrink(history: History) -> History:
    """Remove the parts of a history that do not contribute to the violation."""
    kind = _get_kind(play(history))
    is_smaller = True
    while is_smaller:
        is_smaller = False
        for smaller in _make_smaller(history):
            if _get_kind(play(smaller)) == kind:
                history, is_smaller = smaller, True
                break
    return history


def _make_smaller(history: History) -> Iterator[History]:
    for number in range(len(history.faults)):
        faults = history.faults[:number] + history.faults[number + 1 :]
        yield replace(history, faults=faults)
    if len(history.jobs) > 1:
        for number in range(len(history.jobs)):
            yield _drop_job(history, number)
    for number, job in enumerate(history.jobs):
        for task in range(len(job.run_s)):
            if len(job.run_s) > 1:
                fewer = replace(job, run_s=job.run_s[:task] + job.run_s[task + 1 :])
                jobs = (*history.jobs[:number], fewer, *history.jobs[number + 1 :])
                yield replace(history, jobs=jobs)
    if history.entries > 1 and "entry-1" not in repr(history.faults):
        yield replace(history, entries=1)
    if history.idle_s > 1.0:
        yield replace(history, idle_s=1.0)
    for number, rate in enumerate(history.clock_rates):
        if rate != 1.0:
            clock_rates = (*history.clock_rates[:number], 1.0, *history.clock_rates[number + 1 :])
            yield replace(history, clock_rates=clock_rates)


def _draw_cut(
    rng: random.Random, sender: str, receiver: str, *, latest_s: float, longest_s: float
) -> Cut:
    bounds = rng.choice(((0.2, 1.5), (1.5, longest_s)))
    return Cut(
        sender=sender,
        receiver=receiver,
        at_s=rng.uniform(-0.3, latest_s),
        for_s=rng.uniform(*bounds),
        is_both_ways=rng.random() < 0.7,
    )


def _draw_process_fault(rng: random.Random, entries: list[str]) -> Fault:
    at_s, process = rng.uniform(-0.2, 3.0), rng.choice([*entries, *AGENTS])
    match rng.choice(("freeze", "freeze", "kill", "kill", "drop", "silence")):
        case "freeze":
            return Freeze(process=process, at_s=at_s, for_s=rng.uniform(0.1, 2.5))
        case "kill":
            return Kill(process=process, at_s=at_s, for_s=rng.uniform(0.1, 2.0))
        case "drop":
            return Drop(first=rng.choice(entries), second=rng.choice(AGENTS), at_s=at_s)
        case _:
            first, second = rng.sample([*entries, *AGENTS], 2)
            return Silence(first=first, second=second, at_s=at_s)


def _drop_job(history: History, dropped: int) -> History:
    """Remove a job, and the hang-ups and cancellations of its caller."""
    faults: list[Fault] = []
    for fault in history.faults:
        if isinstance(fault, (HangUp, Cancel)):
            if fault.job == dropped:
                continue
            fault = replace(fault, job=fault.job - (fault.job > dropped))
        faults.append(fault)
    jobs = history.jobs[:dropped] + history.jobs[dropped + 1 :]
    return replace(history, jobs=jobs, faults=tuple(faults))


def _get_kind(outcome: Outcome) -> str:
    """Return the kind of the first violation."""
    if not outcome.broken:
        return ""
    words = ("fault", "goes on", "refused", "without", "preempted")
    return next((word for word in words if word in outcome.broken[0]), "other")


def _draw_fault(rng: random.Random, history: History, at_s: float) -> Fault:
    worker = rng.randrange(len(history.clock_rates))
    agent, entry = f"agent-{worker}", f"entry-{rng.randrange(history.entries)}"
    kinds = ("call",) * 6 + ("freeze",) * 4 + ("cut",) * 3 + ("hang up",) * 3
    kind = rng.choice((*kinds, "drop", "drop", "silence", "kill", "kill"))
    for_s = _draw(rng, FAULT_S)
    match kind:
        case "call":
            return _draw_call_fault(rng, f"worker-{worker}", at_s, for_s)
        case "freeze":
            process = rng.choice((agent, agent, agent, entry, entry, f"worker-{worker}"))
            return Freeze(process=process, at_s=at_s, for_s=for_s)
        case "cut":
            ways = [(entry, agent), (agent, entry)] * 2
            if history.entries > 1:
                ways.append(("entry-0", "entry-1"))
            sender, receiver = rng.choice(ways)
            is_both_ways = rng.random() < 0.5
            return Cut(
                sender=sender,
                receiver=receiver,
                at_s=at_s,
                for_s=for_s,
                is_both_ways=is_both_ways,
            )
        case "hang up":
            job = rng.randrange(len(history.jobs))
            return HangUp(job=job, at_s=at_s, is_noticed=rng.random() < 0.8)
        case "drop":
            return Drop(first=entry, second=agent, at_s=at_s)
        case "silence":
            return Silence(first=entry, second=agent, at_s=at_s)
        case _:
            process = rng.choice((agent, agent, entry, f"worker-{worker}"))
            return Kill(process=process, at_s=at_s, for_s=rng.uniform(0.1, 1.5))


def _draw_call_fault(rng: random.Random, worker: str, at_s: float, for_s: float) -> CallFault:
    kind = rng.choice(("start", "start", "stop", "hold"))
    effect = rng.choice(CALL_EFFECTS[kind])
    is_late = effect in (CallEffect.DONE_LATE, CallEffect.ANSWERED_LATE)
    return CallFault(
        worker=worker,
        kind=kind,
        effect=effect,
        at_s=at_s,
        for_s=for_s,
        delay_s=_draw(rng, LATE_S) if is_late else 0.0,
        max_calls=rng.choice((1, 1, 2, 3, 1000)),
    )


def _draw_next_call_fault(rng: random.Random, first: CallFault) -> CallFault:
    """Return a fault of the same kind of call that applies once the first fault is used up."""
    further = _draw_call_fault(rng, first.worker, first.at_s, first.for_s)
    while further.kind != first.kind:
        further = _draw_call_fault(rng, first.worker, first.at_s, first.for_s)
    return further


def _draw(rng: random.Random, bounds: tuple[tuple[float, float], ...]) -> float:
    """Draw a time from one of several ranges, each with the same probability."""
    return round(rng.uniform(*rng.choice(bounds)), 3)

"""Simulated time: real schedulers and supervisors, with workers and messages that are modelled.

It answers in seconds how a policy does under load, where a played day takes a minute. It has no
faults but the load itself and workers that crash, and messages take a fixed time.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, replace

from dalemast.core.scheduling import (
    DEFAULT_LOAD_POLICY,
    CapacityReport,
    CapacityRequest,
    EndReason,
    FastestPlacement,
    JobFinished,
    JobRefused,
    LoadPolicy,
    RequestCapacity,
    Scheduler,
    SchedulerLimits,
    StartTask,
    WorkerView,
)
from dalemast.core.scheduling import (
    Action as OwnerAction,
)
from dalemast.core.scheduling.base import BaseOrder
from dalemast.core.scheduling.demand_reports import DemandSubscriber, get_demand_report_interval_s
from dalemast.core.supervision import (
    Action as AgentAction,
)
from dalemast.core.supervision import (
    CapacitySubscriber,
    EndedRun,
    ListedRun,
    OrderStart,
    PreemptRun,
    ReportCapacity,
    ReportEnd,
    RunId,
    StartOutcome,
    StartRequest,
    Supervisor,
    SupervisorLimits,
    WorkerIncarnation,
    find_most_urgent,
    get_capacity_report_interval_s,
    get_report_order,
    list_crashed,
)
from dalemast.core.workloads import Resources
from dalemast.emulator.outcomes import (
    JobEnd,
    Outcome,
    sum_up,
)
from dalemast.emulator.traffic import Arrival

__all__ = ["FleetShape", "Simulation"]

NO_TIME_S = 1e-6
"""Time of a message that takes none; above zero, so that an answer follows its question."""
FOUND_S = 0.035
"""After which time an agent finds its worker gone: two refused looks, 20 ms apart."""
BACK_S = 3.2
"""When a worker that has crashed is back; from the users' days."""
WORD_RENEWAL_S = 0.2
"""Pause after which an owner tells again what waits with it."""
TICK_S = 0.05
"""The grain of owners' and agents' time-outs."""
SIMULATED_LIMITS = SupervisorLimits(owner_timeout_s=1e9, lease_s=0.6, stop_s=0.05)
"""No owner is ever out of reach, so none falls silent."""


@dataclass(frozen=True, kw_only=True, slots=True)
class FleetShape:
    """A fleet to simulate.

    ``speeds`` and ``sizes``, in thousandths of a core, go to workers in turn. ``message_s`` is one
    way between processes with their turns of the loop, ``order_s`` an order to a worker and its
    answer. ``tells_at_once`` lets every owner hear of each change of room.
    """

    owners: int
    workers: int
    data_centres: int = 3
    speeds: tuple[float, ...] = (0.8, 1.0, 1.25)
    sizes: tuple[int, ...] = (16000, 16000, 24000)
    message_s: float = 0.001
    order_s: float = 0.002
    tells_at_once: bool = False
    crash_per_s: float = 0.0
    """How often each worker crashes by itself, whatever runs there."""
    policy: LoadPolicy = DEFAULT_LOAD_POLICY
    """The decisions under load that owners and agents make."""

    def see_at_once(self) -> FleetShape:
        """Return the same fleet with messages that take no time: a bound on what news is worth."""
        return replace(self, message_s=NO_TIME_S, order_s=NO_TIME_S, tells_at_once=True)


class Simulation:
    """Owners and workers in simulated time."""

    def __init__(
        self,
        *,
        shape: FleetShape,
        make_order: Callable[[], BaseOrder],
        arrivals: list[Arrival],
        seed: int,
    ) -> None:
        owners = shape.owners
        self.reports = 0
        """Room reports that agents sent."""
        self.questions = 0
        """Messages of owners that told agents what they lack room for."""
        self.crashes = 0
        """How often a worker has ended."""
        self.words = 0
        """Messages of owners that told others what waits with them."""
        self.preemptions = 0
        """How many runs were told to give way."""
        self.lost_core_s = 0.0
        """The work that was lost with them, in core-seconds."""
        self.shape = shape
        self._rng = random.Random(seed)
        self._arrivals = {arrival.request.id: arrival for arrival in arrivals}
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._now = 0.0
        self._owners = [
            Scheduler(
                order=make_order(),
                placement=FastestPlacement(remote_factor=1.5),
                limits=SchedulerLimits(lost_run_s=1.2),
                started_at=0.0,
                policy=shape.policy,
            )
            for _ in range(owners)
        ]
        self._audiences = [DemandSubscriber() for _ in range(owners)]
        self._agents = [
            SimulatedAgent(simulation=self, number=n, owners=owners) for n in range(shape.workers)
        ]
        self._ends: dict[str, JobEnd] = {}
        for agent in self._agents:
            agent.connect()
        for arrival in arrivals:
            owner = self._rng.randrange(owners)
            self.at(arrival.at, lambda a=arrival, o=owner: self._submit(a, o))

    @property
    def jobs(self) -> int:
        """How many jobs arrive."""
        return len(self._arrivals)

    @property
    def now(self) -> float:
        """The simulated time."""
        return self._now

    def at(self, when: float, action: Callable[[], None]) -> None:
        """Do something at a time."""
        heapq.heappush(self._events, (when, next(self._numbers), action))

    def run(self, *, until_s: float) -> Outcome:
        """Play and return what became of the jobs."""
        for number in range(len(self._owners)):
            self._tick(number, until_s)
        for agent in self._agents:
            agent.plan_crashes(until_s)
        while self._events and self._events[0][0] <= until_s:
            self._now, _, action = heapq.heappop(self._events)
            action()
        return sum_up(self._arrivals.values(), self._ends)

    def get_run_s(self, job_id: str, position: int) -> float:
        """Return a task's true run time."""
        return self._arrivals[job_id].run_times[position]

    def get_crash_s(self, job_id: str, position: int) -> float | None:
        """Return how long after its start a task ends its worker, if it does."""
        return None if position else self._arrivals[job_id].crash_s

    def tell_owner(self, owner: int, call: Callable[[Scheduler], list[OwnerAction]]) -> None:
        """Deliver a message to an owner after its way."""
        self.at(
            self._now + self.shape.message_s, lambda: self._apply(owner, call(self._owners[owner]))
        )

    def note(self, owner: int, call: Callable[[Scheduler], object]) -> None:
        """Deliver a message that no action follows from."""
        self.at(self._now + self.shape.message_s, lambda: call(self._owners[owner]))

    def add_view(self, owner: int, view: WorkerView) -> None:
        """Let an owner know a worker."""
        self._owners[owner].add_worker(view, now=self._now)

    def _submit(self, arrival: Arrival, owner: int) -> None:
        self._apply(owner, self._owners[owner].submit(arrival.request, now=self._now))

    def _tick(self, owner: int, until_s: float) -> None:
        self._apply(owner, self._owners[owner].tick(now=self._now))
        self._share_demand(owner)
        if self._now < until_s:
            self.at(self._now + TICK_S, lambda: self._tick(owner, until_s))

    def _share_demand(self, owner: int) -> None:
        """Tell all other owners what waits with this one, if that is due."""
        words = self._owners[owner].get_demand(now=self._now)
        pause_s = get_demand_report_interval_s(len(self._owners) - 1)
        audience = self._audiences[owner]
        if not audience.is_due(
            words, now=self._now, report_interval_s=pause_s, renewal_interval_s=WORD_RENEWAL_S
        ):
            return
        audience.record_sent(words, now=self._now)
        for other in range(len(self._owners)):
            if other != owner:
                self.words += 1
                self.note(other, lambda s: s.note_demand(str(owner), words, now=self._now))

    def _apply(self, owner: int, actions: list[OwnerAction]) -> None:
        for action in actions:
            match action:
                case StartTask():
                    agent = self._agents[get_number(action.worker)]
                    want = self._owners[owner].get_capacity_request(action.worker)
                    self.at(
                        self._now + self.shape.message_s,
                        lambda agent=agent, start=action, want=want: agent.take(owner, start, want),
                    )
                case RequestCapacity():
                    self.questions += len(action.workers)
                    for name in action.workers:
                        agent = self._agents[get_number(name)]
                        self.at(
                            self._now + self.shape.message_s,
                            lambda agent=agent, want=action.request: agent.take_want(owner, want),
                        )
                case JobFinished():
                    self._ends[action.job.id] = JobEnd(state=action.state, at=self._now)
                case JobRefused():
                    self._ends[action.job.id] = JobEnd(state=None, at=self._now)


def get_number(life: str) -> int:
    """Return the number of the worker that has this life."""
    return int(life.partition(".")[0])


class SimulatedAgent:
    """A real supervisor with a modelled worker."""

    def __init__(self, *, simulation: Simulation, number: int, owners: int) -> None:
        self._simulation = simulation
        self._number = number
        self._lives = 0
        self._is_up = True
        speeds, sizes = simulation.shape.speeds, simulation.shape.sizes
        self._speed = speeds[number % len(speeds)]
        self._capacity = Resources(cpu=sizes[(number // 2) % len(sizes)], memory_mb=65536)
        self._owners = owners
        self._stop_rng = random.Random(f"stops of {number}")
        self._seen = [0] * owners
        self._audiences = [CapacitySubscriber() for _ in range(owners)]
        self._near_owners = sum(self._is_near(owner) for owner in range(owners))
        self._ended_for: int | None = None
        self._spans: dict[RunId, tuple[float, float]] = {}
        """By run that goes on, when it began and how long it takes, in seconds."""
        self._is_report_planned = False
        self._ends = itertools.count(1)
        self._supervisor = Supervisor(limits=SIMULATED_LIMITS)

    @property
    def _name(self) -> str:
        """The worker's present life."""
        return f"{self._number}.{self._lives}"

    def plan_crashes(self, until_s: float) -> None:
        """Let the worker crash by itself now and then."""
        rate = self._simulation.shape.crash_per_s
        rng = random.Random(f"crashes of {self._number}")
        at = rng.expovariate(rate) if rate else until_s
        while at < until_s:
            self._simulation.at(at, self._crash)
            at += BACK_S + rng.expovariate(rate)

    def connect(self) -> None:
        """Meet the worker and tell the owners."""
        self._is_up = True
        now = self._simulation.now
        self._supervisor.register_incarnation(
            WorkerIncarnation(
                id=self._name,
                service="floor",
                data_centre="",
                capacity=self._capacity,
                labels=frozenset(),
                is_leaving=False,
            ),
            now=now,
        )
        self._supervisor.handle_poll((), (), asked_at=now, now=now)
        for owner in range(self._owners):
            view = WorkerView(
                name=self._name,
                service="floor",
                capacity=self._capacity,
                labels=frozenset(),
                is_same_data_centre=self._is_near(owner),
            )
            self._simulation.add_view(owner, view)
        for audience in self._audiences:
            audience.mark_urgent()
        self._tell_room()

    def take_want(self, owner: int, want: CapacityRequest | None) -> None:
        """Take in what an owner lacks room for."""
        hears_coming = self._simulation.shape.policy.shares_demand
        self._audiences[owner].set_request(want, receives_releases=hears_coming)
        self._offer_room()
        self._tell_due()
        now = self._simulation.now
        if want is None:
            self._apply(self._supervisor.withdraw_request(str(owner)))
        elif self._simulation.shape.policy.preempts:
            self._apply(self._supervisor.preempt(str(owner), want, sent_at=now, now=now))

    def take(self, owner: int, start: StartTask, want: CapacityRequest | None) -> None:
        """Take a start, and what its owner still lacks room for."""
        self._audiences[owner].request = want
        self._seen[owner] = max(self._seen[owner], start.number)
        request = StartRequest(
            owner=str(owner),
            run_id=RunId(start.job.id, start.task, start.run),
            payload="",
            resources=start.job.steps[start.task.step].resources,
            expected_s=start.expected_s,
            number=start.number,
            sent_at=self._simulation.now,
            priority=start.job.queue.priority,
            restart_slack_s=start.restart_slack_s,
        )
        self._apply(self._supervisor.start(request, now=self._simulation.now))

    def _apply(self, actions: list[AgentAction]) -> None:
        is_room_due = False
        for action in actions:
            match action:
                case OrderStart():
                    run_id = action.request.run_id
                    self._simulation.at(
                        self._simulation.now + self._simulation.shape.order_s,
                        lambda r=run_id, life=self._name: self._begin(r, life),
                    )
                case PreemptRun():
                    self._preempt(action)
                case ReportEnd():
                    self._tell_end(action)
                case ReportCapacity():
                    is_room_due = True
        if is_room_due:
            self._tell_room()

    def _begin(self, run_id: RunId, life: str) -> None:
        if life != self._name or not self._is_up:
            return
        now = self._simulation.now
        self._apply(
            self._supervisor.handle_start_outcome(
                run_id, StartOutcome.RUNNING, now=now, expires_at=now + 1.0
            )
        )
        run_s = self._simulation.get_run_s(run_id.job_id, run_id.task.position) / self._speed
        self._spans[run_id] = (now, run_s)
        life = self._name
        self._simulation.at(now + run_s, lambda: self._end(run_id, life))
        crash_s = self._simulation.get_crash_s(run_id.job_id, run_id.task.position)
        if crash_s is not None:
            self._simulation.at(now + crash_s, lambda: self._crash_under(run_id, life))

    def _crash_under(self, run_id: RunId, life: str) -> None:
        if life == self._name and run_id in self._spans:
            self._crash()

    def _crash(self) -> None:
        """End the worker with all that runs there; its agent finds it out a little later."""
        if not self._is_up:
            return
        self._is_up = False
        self._simulation.crashes += 1
        self._spans.clear()
        self._simulation.at(self._simulation.now + FOUND_S, self._find_gone)
        self._simulation.at(self._simulation.now + BACK_S, self._return)

    def _find_gone(self) -> None:
        now, life = self._simulation.now, self._name
        tasks = list_crashed(list(self._supervisor.runs.values()), ended_at=now)
        for owner in range(self._owners):
            self._simulation.tell_owner(
                owner, lambda scheduler: scheduler.note_crash(life, tasks, now=self._simulation.now)
            )
        self._apply(self._supervisor.lose_incarnation(is_over=False, is_refused=True))
        for owner in range(self._owners):
            self._simulation.tell_owner(
                owner, lambda scheduler: scheduler.lose_worker(life, now=self._simulation.now)
            )

    def _return(self) -> None:
        self._lives += 1
        self._supervisor = Supervisor(limits=SIMULATED_LIMITS)
        self.connect()

    def _preempt(self, action: PreemptRun) -> None:
        simulation, run_id, life = self._simulation, action.run_id, self._name
        simulation.preemptions += 1
        simulation.lost_core_s += action.lost_core_s
        stop_s = simulation.shape.order_s + self._stop_rng.uniform(0.0, SIMULATED_LIMITS.stop_s)
        simulation.at(simulation.now + stop_s, lambda: self._end(run_id, life, EndReason.STOPPED))

    def _end(self, run_id: RunId, life: str, reason: EndReason = EndReason.DONE) -> None:
        if life != self._name or run_id not in self._spans:
            return
        ended = EndedRun(next(self._ends), run_id, reason)
        now = self._simulation.now
        self._spans.pop(run_id, None)
        # Without the progress of the others the supervisor would take them for stalled.
        running = [
            ListedRun(listed, 100 * (now - began) / run_s)
            for listed, (began, run_s) in self._spans.items()
        ]
        self._apply(self._supervisor.handle_poll(running, (ended,), asked_at=now, now=now))
        if self._simulation.shape.policy.learns_speeds:
            self._tell_speed()

    def _tell_speed(self) -> None:
        speed = self._supervisor.speeds.take_report(now=self._simulation.now)
        if speed is None:
            return
        life = self._name
        for owner in range(self._owners):
            self._simulation.tell_owner(
                owner, lambda scheduler: scheduler.note_speed(life, speed) or []
            )

    def _tell_end(self, report: ReportEnd) -> None:
        run_id, life = report.run_id, self._name
        self._ended_for = int(report.owner)
        self._simulation.tell_owner(
            int(report.owner),
            lambda scheduler: scheduler.end_run(
                life,
                run_id.job_id,
                run_id.task,
                run_id.run,
                report.reason,
                run_s=report.run_s,
                now=self._simulation.now,
            ),
        )

    def _tell_room(self) -> None:
        for audience in self._audiences:
            audience.note_change()
        self._offer_room()
        self._tell_due()

    def _offer_room(self) -> None:
        """Let the neediest owner hear at once, or else the one whose run has ended."""
        ended_for, self._ended_for = self._ended_for, None
        for ready in self._supervisor.reservations.take_ready():
            self._audiences[int(ready)].mark_urgent()
        first = find_most_urgent(self._audiences, free_cpu=self._supervisor.get_free().cpu)
        if first is None and ended_for is not None:
            first = self._audiences[ended_for]
        if first is not None and first.is_due:
            first.mark_urgent()

    def _tell_due(self) -> None:
        """Report to the owners whose pause is over, and look again soon if some are left."""
        now = self._simulation.now
        told: list[CapacitySubscriber] = []
        for owner, audience in self._list_in_turn():
            pause_s = self._get_pause_s(owner)
            if not audience.take_due(now=now, interval_s=pause_s):
                continue
            told.append(audience)
            self._simulation.reports += 1
            if self._simulation.shape.policy.shares_demand and not audience.is_satisfied:
                self._tell_coming(owner)
            report = CapacityReport(
                seen=self._seen[owner],
                free=self._supervisor.get_free_for(str(owner)),
                is_accepting=self._is_up and self._supervisor.is_accepting(now=now),
            )
            self._simulation.tell_owner(
                owner,
                lambda scheduler, report=report, life=self._name: scheduler.update_worker(
                    life, report, now=self._simulation.now
                ),
            )
        if len(told) > 1:
            told[0].record_first(now=now)
        if not self._is_report_planned:
            self._is_report_planned = True
            self._simulation.at(now + TICK_S, self._tick)

    def _list_in_turn(self) -> list[tuple[int, CapacitySubscriber]]:
        """Return the owners' numbers and audiences in the order in which they are told."""
        audiences = list(enumerate(self._audiences))
        if self._simulation.shape.policy.shares_demand:
            audiences.sort(key=lambda row: get_report_order(row[1]))
        return audiences

    def _tell_coming(self, owner: int) -> None:
        """Tell an owner that lacks room when some comes free."""
        rows, life = self._supervisor.get_releases(now=self._simulation.now), self._name
        self._simulation.note(
            owner, lambda s: s.note_capacity_releases(life, rows, now=self._simulation.now)
        )

    def _tick(self) -> None:
        self._is_report_planned = False
        self._apply(self._supervisor.tick(now=self._simulation.now))
        if any(audience.is_due for audience in self._audiences):
            self._tell_due()

    def _get_pause_s(self, owner: int) -> float:
        if self._simulation.shape.tells_at_once:
            return 0.0
        is_near = self._is_near(owner)
        return get_capacity_report_interval_s(
            is_same_data_centre=is_near,
            owners=self._near_owners if is_near else self._owners - self._near_owners,
            is_satisfied=self._audiences[owner].is_satisfied,
        )

    def _is_near(self, owner: int) -> bool:
        data_centres = self._simulation.shape.data_centres
        return self._number % data_centres == owner % data_centres

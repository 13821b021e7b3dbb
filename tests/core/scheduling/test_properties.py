"""Two runs of a task must never overlap, whatever happens to workers, agents and links.

A run counts as alive until it ends, or until the lost-run limit for an unreachable agent.
"""

from __future__ import annotations

from collections.abc import Callable

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from dalemast.core.scheduling import (
    Action,
    CapacityReport,
    EndReason,
    FastestPlacement,
    JobFinished,
    JobRefused,
    LeastSlackOrder,
    LoadPolicy,
    Scheduler,
    SchedulerLimits,
    SlowRun,
    StartTask,
    StopTask,
    WorkerView,
)
from dalemast.core.scheduling.actions import NEVER_STARTED
from dalemast.core.workloads import Resources
from tests.core.scheduling.base import LOST_RUN_S, make_job, make_step

WORKERS = ("w1", "w2", "w3")
CAPACITY = Resources(cpu=3000, memory_mb=65536)


class OwnerMachine(RuleBasedStateMachine):
    """Drives a scheduler and tracks which runs are alive."""

    policy = LoadPolicy()

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.jobs = 0
        self.scheduler = Scheduler(
            order=LeastSlackOrder(),
            placement=FastestPlacement(remote_factor=1.5),
            limits=SchedulerLimits(lost_run_s=LOST_RUN_S),
            started_at=0.0,
            policy=self.policy,
        )
        self.alive: dict[str, dict[tuple[str, object, int], StartTask]] = {
            name: {} for name in WORKERS
        }
        self.dies_at: dict[str, float] = {}
        self.refused: set[str] = set()
        self.ran: set[str] = set()
        for name in WORKERS:
            self.connect(name)
            self.report(name)

    def connect(self, name: str) -> None:
        self.dies_at.pop(name, None)
        self.scheduler.add_worker(
            WorkerView(
                name=name,
                service="floor",
                capacity=CAPACITY,
                labels=frozenset(),
                is_same_data_centre=True,
            ),
            now=self.now,
        )

    def report(self, name: str) -> None:
        free = CAPACITY
        seen = 0
        for start in self.alive[name].values():
            free -= start.job.steps[start.task.step].resources
            seen = max(seen, start.number)
        report = CapacityReport(seen=seen, free=free, is_accepting=True)
        self.apply(self.scheduler.update_worker(name, report, now=self.now))

    def apply(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case StartTask():
                    assert action.worker not in self.dies_at, "a start was sent to a lost agent"
                    assert action.job.id not in self.refused, "a refused job was started"
                    self.check_alone(action)
                    key = (action.job.id, action.task, action.run)
                    self.alive[action.worker][key] = action
                case StopTask():
                    pass
                case JobRefused():
                    assert not self.has_begun(action.job.id), "a job that has begun was refused"
                    self.refused.add(action.job.id)
                case JobFinished():
                    pass

    def has_begun(self, job_id: str) -> bool:
        """Return whether a run of a job was ever carried out, or may still be."""
        may_run = any(run[0] == job_id for runs in self.alive.values() for run in runs)
        return may_run or job_id in self.ran

    def check_alone(self, start: StartTask) -> None:
        for runs in self.alive.values():
            for job_id, task, _ in runs:
                assert (job_id, task) != (start.job.id, start.task), "two runs at a time"

    def pick_alive(self, choose: Callable[[list[StartTask]], StartTask]) -> StartTask | None:
        runs = [
            start
            for name, starts in self.alive.items()
            if name not in self.dies_at
            for start in starts.values()
        ]
        return choose(runs) if runs else None

    @rule(count=st.integers(1, 4))
    def submit(self, count: int) -> None:
        self.jobs += 1
        job = make_job(f"j{self.jobs}", make_step(count))
        self.apply(self.scheduler.submit(job, now=self.now))

    @rule(data=st.data(), reason=st.sampled_from(list(EndReason)))
    def end(self, data: st.DataObject, reason: EndReason) -> None:
        start = self.pick_alive(lambda runs: data.draw(st.sampled_from(runs)))
        if start is None:
            return
        del self.alive[start.worker][(start.job.id, start.task, start.run)]
        if reason not in NEVER_STARTED:
            self.ran.add(start.job.id)
        self.apply(
            self.scheduler.end_run(
                start.worker,
                start.job.id,
                start.task,
                start.run,
                reason,
                run_s=0.1,
                now=self.now,
            )
        )

    @rule(data=st.data())
    def crawl(self, data: st.DataObject) -> None:
        start = self.pick_alive(lambda runs: data.draw(st.sampled_from(runs)))
        if start is None:
            return
        report = SlowRun(age_s=1.0, total_s=50.0, worker_pace=9.0, is_stalled=True)
        self.apply(
            self.scheduler.handle_slow_run(
                start.worker, start.job.id, start.task, start.run, report, now=self.now
            )
        )

    @rule(data=st.data())
    def cancel(self, data: st.DataObject) -> None:
        jobs = sorted(self.scheduler.open_jobs)
        if jobs:
            self.apply(self.scheduler.cancel(data.draw(st.sampled_from(jobs))))

    @rule(name=st.sampled_from(WORKERS))
    def lose(self, name: str) -> None:
        if name in self.dies_at:
            return
        self.dies_at[name] = self.now + LOST_RUN_S
        self.apply(self.scheduler.lose_worker(name, now=self.now))

    @precondition(lambda self: self.dies_at)
    @rule(data=st.data(), keeps=st.booleans())
    def return_agent(self, data: st.DataObject, keeps: bool) -> None:
        """An agent comes back, with its runs or after a restart without them."""
        name = data.draw(st.sampled_from(sorted(self.dies_at)))
        if not keeps:
            self.alive[name].clear()
        listed = [(job_id, task, run) for job_id, task, run in self.alive[name]]
        self.connect(name)
        self.apply(self.scheduler.reconcile(name, listed, now=self.now))
        self.report(name)

    @rule(name=st.sampled_from(WORKERS))
    def tell_room(self, name: str) -> None:
        if name not in self.dies_at:
            self.report(name)

    @rule(seconds=st.floats(0.01, 2.0))
    def pass_time(self, seconds: float) -> None:
        self.now += seconds
        for name, dies_at in self.dies_at.items():
            if self.now >= dies_at:
                self.alive[name].clear()
        self.apply(self.scheduler.tick(now=self.now))

    @invariant()
    def room_is_kept(self) -> None:
        for runs in self.alive.values():
            assert len(runs) <= CAPACITY.cpu // 1000


OwnerMachine.TestCase.settings = settings(max_examples=150, stateful_step_count=40)
OwnerTests = OwnerMachine.TestCase

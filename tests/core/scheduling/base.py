"""Helpers for the tests of the scheduler."""

from __future__ import annotations

import testtools

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
    StartTask,
    StopTask,
    WorkerView,
)
from dalemast.core.workloads import JobRequest, Queue, Resources, StepRequest

LOST_RUN_S = 1.2
RUN_S = 0.1
"""Run time that the tests report."""
CORE = Resources(cpu=1000, memory_mb=64)


def make_queue(**fields: object) -> Queue:
    values = {"name": "draws", "host": "h", "prefix": "/p/", "service": "floor", "attempts": 2}
    return Queue(**{**values, "stretch": 1.6, "slack_s": 0.06, **fields})


def make_step(count: int = 1, **fields: object) -> StepRequest:
    return StepRequest(**{"count": count, "resources": CORE, "estimate_s": 0.1, **fields})


def make_job(job_id: str, *steps: StepRequest, queue: Queue | None = None) -> JobRequest:
    return JobRequest(
        id=job_id,
        queue=queue or make_queue(),
        payload="text",
        steps=steps or (make_step(),),
        timeout_s=1.5,
    )


class SchedulerTestCase(testtools.TestCase):
    """A scheduler whose workers are added by the tests."""

    policy = LoadPolicy()

    def setUp(self) -> None:
        super().setUp()
        self.scheduler = self.make_scheduler()

    def make_scheduler(self, **values: object) -> Scheduler:
        fields = {"order": LeastSlackOrder(), "policy": self.policy, **values}
        return Scheduler(
            placement=FastestPlacement(remote_factor=1.5),
            limits=SchedulerLimits(lost_run_s=LOST_RUN_S),
            started_at=0.0,
            **fields,
        )

    def add_worker(
        self,
        name: str,
        *,
        cpu: int = 4000,
        labels: tuple[str, ...] = (),
        service: str = "floor",
        is_same_data_centre: bool = True,
        now: float = 10.0,
    ) -> list[Action]:
        capacity = Resources(cpu=cpu, memory_mb=65536)
        self.scheduler.add_worker(
            WorkerView(
                name=name,
                service=service,
                capacity=capacity,
                labels=frozenset(labels),
                is_same_data_centre=is_same_data_centre,
            ),
            now=now,
        )
        report = CapacityReport(seen=0, free=capacity, is_accepting=True)
        return self.scheduler.update_worker(name, report, now=now)

    def end(self, start: StartTask, reason: EndReason, now: float = 10.1) -> list[Action]:
        return self.scheduler.end_run(
            start.worker, start.job.id, start.task, start.run, reason, run_s=RUN_S, now=now
        )


def get_starts(actions: list[Action]) -> list[StartTask]:
    return [action for action in actions if isinstance(action, StartTask)]


def get_stops(actions: list[Action]) -> list[StopTask]:
    return [action for action in actions if isinstance(action, StopTask)]


def get_finished(actions: list[Action]) -> list[JobFinished]:
    return [action for action in actions if isinstance(action, JobFinished)]


def get_refused(actions: list[Action]) -> list[JobRefused]:
    return [action for action in actions if isinstance(action, JobRefused)]

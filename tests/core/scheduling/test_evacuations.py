"""Evacuated data centres: no starts there, while runs continue and jobs are not infeasible."""

from __future__ import annotations

from dalemast.core.scheduling import (
    CapacityReport,
    EndReason,
    JobRefused,
    StartTask,
    StopTask,
    WorkerView,
)
from dalemast.core.workloads import Resources, TaskKey
from tests.core.scheduling.base import SchedulerTestCase, make_job, make_step

CAPACITY = Resources(cpu=4000, memory_mb=65536)


class EvacuationTests(SchedulerTestCase):
    def add_worker_in(self, data_centre: str, *, now: float = 10.0) -> None:
        """Add a worker that is named after its data centre."""
        view = WorkerView(
            name=data_centre,
            service="floor",
            capacity=CAPACITY,
            labels=frozenset({data_centre}),
            is_same_data_centre=True,
            data_centre=data_centre,
        )
        self.scheduler.add_worker(view, now=now)
        self.report_capacity(data_centre, now=now)

    def report_capacity(self, worker: str, *, now: float) -> list:
        report = CapacityReport(seen=0, free=CAPACITY, is_accepting=True)
        return self.scheduler.update_worker(worker, report, now=now)

    def get_started_workers(self, actions: list) -> list[str]:
        return [action.worker for action in actions if isinstance(action, StartTask)]

    def test_no_task_starts_there_even_if_its_agents_accept_starts(self) -> None:
        self.add_worker_in("waco")
        self.add_worker_in("austin")
        self.scheduler.set_evacuated(frozenset({"waco"}), now=10.0)
        self.report_capacity("waco", now=10.1)
        actions = self.scheduler.submit(make_job("a", make_step(4)), now=10.2)
        self.assertEqual(["austin"] * 4, self.get_started_workers(actions))

    def test_active_runs_continue_and_their_end_counts(self) -> None:
        self.add_worker_in("waco")
        self.scheduler.submit(make_job("a"), now=10.0)
        actions = self.scheduler.set_evacuated(frozenset({"waco"}), now=10.1)
        self.assertEqual([], [a for a in actions if isinstance(a, StopTask)])
        ended = self.scheduler.end_run(
            "waco", "a", TaskKey(0, 0), 1, EndReason.DONE, run_s=0.1, now=10.2
        )
        self.assertEqual(["a"], [action.job.id for action in ended])

    def test_a_second_attempt_goes_elsewhere(self) -> None:
        self.add_worker_in("waco")
        self.scheduler.submit(make_job("a"), now=10.0)
        self.scheduler.set_evacuated(frozenset({"waco"}), now=10.1)
        failed = self.scheduler.end_run(
            "waco", "a", TaskKey(0, 0), 1, EndReason.FAILED, run_s=0.1, now=10.2
        )
        self.assertEqual([], self.get_started_workers(failed))
        self.add_worker_in("austin", now=10.3)
        self.assertEqual({"austin"}, set(self.scheduler.open_jobs["a"].workers))

    def test_a_worker_that_is_added_there_gets_no_tasks(self) -> None:
        self.scheduler.set_evacuated(frozenset({"waco"}), now=9.0)
        self.add_worker_in("waco")
        self.assertEqual(
            [], self.get_started_workers(self.scheduler.submit(make_job("a"), now=10.1))
        )

    def test_waiting_jobs_start_as_soon_as_the_evacuation_is_withdrawn(self) -> None:
        self.add_worker_in("waco")
        self.scheduler.set_evacuated(frozenset({"waco"}), now=10.0)
        self.scheduler.submit(make_job("a"), now=10.1)
        actions = self.scheduler.set_evacuated(frozenset(), now=10.2)
        self.assertEqual(["waco"], self.get_started_workers(actions))

    def test_a_job_that_only_evacuated_workers_can_run_is_refused_not_failed(self) -> None:
        self.add_worker_in("waco")
        self.scheduler.set_evacuated(frozenset({"waco"}), now=20.0)
        job = make_job("a", make_step(label="waco"))
        self.assertEqual([], self.scheduler.submit(job, now=30.0))
        actions = self.scheduler.tick(now=31.0)
        self.assertEqual([JobRefused], [type(action) for action in actions])

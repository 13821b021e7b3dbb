"""Preemption by an owner: short urgent jobs arrive while long tasks occupy all workers."""

from __future__ import annotations

from math import inf

from dalemast.core.scheduling import (
    Action,
    EndReason,
    JobState,
    LoadPolicy,
    PriorityOrder,
    RequestCapacity,
    Scheduler,
    SchedulerLimits,
    StartTask,
    WorkerSpeed,
)
from dalemast.core.scheduling.crashes import CrashedTask
from dalemast.core.scheduling.jobs import TaskPhase
from dalemast.core.scheduling.placements import FastestPlacement
from dalemast.core.workloads import TaskKey
from tests.core.scheduling.base import (
    LOST_RUN_S,
    RUN_S,
    SchedulerTestCase,
    get_finished,
    get_starts,
    get_stops,
    make_job,
    make_queue,
    make_step,
)
from tests.core.scheduling.test_capacity_requests import get_requests, make_report

URGENT = make_queue(name="switches", priority=0)
MIDDLE = make_queue(name="confirmations", priority=1)
LONG = make_queue(name="crews", priority=2)
URGENT_S = 0.12
LONG_S = 1.8
WORKERS = 10


class PreemptionTestCase(SchedulerTestCase):
    """An owner with preemption and ten workers of one core each."""

    preempts = True
    learns_speeds = False

    def setUp(self) -> None:
        super().setUp()
        self.scheduler = Scheduler(
            order=PriorityOrder(),
            placement=FastestPlacement(remote_factor=1.5),
            limits=SchedulerLimits(lost_run_s=LOST_RUN_S, stop_s=0.05),
            started_at=0.0,
            policy=LoadPolicy(preempts=self.preempts, learns_speeds=self.learns_speeds),
        )
        for number in range(WORKERS):
            self.add_worker(f"w{number}", cpu=1000)

    def submit_long(self, name: str = "long", *, count: int = WORKERS) -> list[Action]:
        step = make_step(count, estimate_s=LONG_S)
        return self.scheduler.submit(make_job(name, step, queue=LONG), now=10.0)

    def submit_urgent(
        self, name: str = "urgent", *, count: int = 8, queue=URGENT, now: float = 10.0
    ) -> list[Action]:
        step = make_step(count, estimate_s=URGENT_S)
        return self.scheduler.submit(make_job(name, step, queue=queue), now=now)

    def tick_for_preemption_requests(self, *, now: float) -> list[RequestCapacity]:
        """Return the capacity requests that allow preemption."""
        requests = get_requests(self.scheduler.tick(now=now))
        return [
            request for request in requests if request.request and request.request.preempts_from
        ]

    def report_free(self, start: StartTask, *, now: float) -> list[Action]:
        report = make_report(1000, seen=start.number)
        return self.scheduler.update_worker(start.worker, report, now=now)


class RequestTests(PreemptionTestCase):
    def test_a_job_requests_preemption_on_one_worker_for_each_task(self) -> None:
        self.submit_long()
        self.submit_urgent()
        (request,) = self.tick_for_preemption_requests(now=10.03)
        self.assertEqual(8, len(set(request.workers)))
        self.assertEqual((1, 1000), (request.request.preempts_from, request.request.cpu))

    def test_preemption_is_requested_only_after_a_wait(self) -> None:
        self.submit_long()
        self.assertEqual([], [a for a in get_requests(self.submit_urgent()) if _preempts(a)])
        self.assertEqual([], self.tick_for_preemption_requests(now=10.005))

    def test_a_request_is_not_repeated_before_the_stops_can_be_done(self) -> None:
        self.submit_long()
        self.submit_urgent(count=1)
        first = self.tick_for_preemption_requests(now=10.021)
        self.assertEqual([], self.tick_for_preemption_requests(now=10.03))
        self.assertEqual(1, len(first))

    def test_a_job_that_would_be_late_anyway_preempts_nothing(self) -> None:
        self.submit_long()
        self.submit_urgent()
        self.assertEqual([], self.tick_for_preemption_requests(now=10.06))

    def test_only_the_most_urgent_priority_may_preempt(self) -> None:
        self.submit_long()
        self.submit_urgent(queue=MIDDLE)
        self.assertEqual([], self.tick_for_preemption_requests(now=10.03))

    def test_requests_that_are_sent_with_starts_preempt_nothing(self) -> None:
        """Otherwise each agent that receives a start would preempt a run for the same job."""
        self.submit_long()
        self.submit_urgent()
        self.tick_for_preemption_requests(now=10.03)
        self.assertIsNone(self.scheduler.get_capacity_request("w1").preempts_from)

    def test_released_capacity_goes_to_urgent_jobs_before_started_ones(self) -> None:
        first = get_starts(self.submit_long(count=WORKERS + 1))[0]
        self.submit_urgent(count=1)
        started = get_starts(self.end(first, EndReason.DONE))
        started += get_starts(self.report_free(first, now=10.01))
        self.assertEqual(["urgent"], [start.job.id for start in started])


class RequestedWorkersTests(PreemptionTestCase):
    """A run must not be preempted on a worker where the requesting job can't start."""

    def request_for_label(self, label: str) -> list[RequestCapacity]:
        step = make_step(2, estimate_s=URGENT_S, label=label)
        self.scheduler.submit(make_job("urgent", step, queue=URGENT), now=10.0)
        return self.tick_for_preemption_requests(now=10.03)

    def test_only_workers_with_the_label_get_the_request(self) -> None:
        self.add_worker("labelled", cpu=1000, labels=("vision",))
        self.submit_long(count=WORKERS + 1)
        (request,) = self.request_for_label("vision")
        self.assertEqual(("labelled",), request.workers)

    def test_tasks_that_wait_for_suspects_of_their_job_request_nothing(self) -> None:
        self.submit_long(count=WORKERS - 1)
        self.submit_urgent(count=3)
        for number in range(3):
            row = CrashedTask(job_id="urgent", task=TaskKey(0, number), age_s=0.05)
            self.scheduler.note_crash(f"earlier-{number}", [row], now=10.01)
        job = self.scheduler.open_jobs["urgent"]
        phases = [task.phase for task in job.tasks.values() if task.is_suspect]
        self.assertIn(TaskPhase.PLACED, phases)
        self.assertTrue(all(job.holds_back(task) for task in job.waiting))
        self.assertEqual([], self.tick_for_preemption_requests(now=10.03))


class SlowWorkersTests(PreemptionTestCase):
    learns_speeds = True

    def test_a_worker_on_which_the_job_would_be_late_gets_no_request(self) -> None:
        for number in range(WORKERS):
            slowness = 1.5 if number == 0 else 1.0
            self.scheduler.note_speed(f"w{number}", WorkerSpeed(slowness=slowness, runs=100))
        self.submit_long(count=2 * WORKERS)
        # A task of 0.12 s that starts after 0.1 s is late on a worker that is 1.5 times as slow.
        self.submit_urgent(count=WORKERS)
        (request,) = self.tick_for_preemption_requests(now=10.035)
        self.assertNotIn("w0", request.workers)


class SteadyOverloadTests(PreemptionTestCase):
    """A steady overload of urgent jobs must not starve started jobs."""

    def test_a_started_job_gets_capacity_before_its_late_limit(self) -> None:
        last = get_starts(self.submit_long(count=WORKERS + 1))[0]
        job = self.scheduler.open_jobs["long"]
        started_at: list[float] = []
        for turn in range(int((job.latest_late_start - job.arrived_at) / RUN_S)):
            now = 10.0 + turn * RUN_S
            self.submit_urgent(f"urgent-{turn}", now=now)
            self.end(last, EndReason.DONE, now=now)
            (last,) = get_starts(self.report_free(last, now=now))
            started_at += [now] if last.job.id == "long" else []
        self.assertEqual(1, len(started_at))
        self.assertGreater(started_at[0], 10.0 + job.objective_s, "urgent jobs start first")


class DisabledTests(PreemptionTestCase):
    preempts = False

    def test_nothing_is_requested_and_no_task_may_be_preempted(self) -> None:
        starts = get_starts(self.submit_long())
        self.submit_urgent()
        self.assertEqual([], self.tick_for_preemption_requests(now=10.03))
        self.assertEqual({None}, {start.restart_slack_s for start in starts})


class PreemptedTests(PreemptionTestCase):
    def test_a_start_contains_its_restart_slack(self) -> None:
        start = get_starts(self.submit_long())[0]
        # The objective of 2.94 s, minus the expected run time with its margin and the preemption.
        self.assertAlmostEqual(2.94 - 1.25 * LONG_S - 0.06, start.restart_slack_s)

    def test_a_job_that_will_be_late_is_not_preempted(self) -> None:
        self.submit_long()
        self.submit_long("later", count=1)
        (start,) = get_starts(self.report_free(self.get_first_start(), now=10.7))
        self.assertIsNone(start.restart_slack_s)

    def get_first_start(self) -> StartTask:
        job = self.scheduler.open_jobs["long"]
        task = next(iter(job.tasks.values()))
        return StartTask(
            worker=task.worker, job=job.request, task=task.key, run=1, expected_s=1, number=99
        )

    def test_a_preempted_task_waits_and_starts_as_another_run(self) -> None:
        first = get_starts(self.submit_long())[0]
        self.end(first, EndReason.PREEMPTED, now=10.1)
        (again,) = get_starts(self.report_free(first, now=10.15))
        self.assertEqual((first.task, 2), (again.task, again.run))
        self.assertIsNone(again.restart_slack_s, "a job is preempted at most once")

    def test_a_preemption_is_not_counted_as_a_failure(self) -> None:
        first = get_starts(self.submit_long(count=1))[0]
        for _ in range(3):
            (first,) = get_starts(self.end(first, EndReason.PREEMPTED, now=10.1))
        (finished,) = get_finished(self.end(first, EndReason.DONE, now=35.0))
        self.assertEqual((JobState.SUCCEEDED, 3), (finished.state, finished.preemptions))

    def test_a_job_with_a_preempted_task_is_not_refused(self) -> None:
        first = get_starts(self.submit_long())[0]
        self.end(first, EndReason.PREEMPTED, now=10.1)
        self.assertEqual([], self.scheduler.tick(now=30.0))

    def test_other_tasks_of_a_preempted_job_are_not_preempted(self) -> None:
        starts = get_starts(self.submit_long(count=WORKERS + 1))
        self.end(starts[0], EndReason.PREEMPTED, now=10.1)
        further = get_starts(self.report_free(starts[0], now=10.11))
        self.assertEqual({None}, {start.restart_slack_s for start in further})

    def test_a_task_whose_end_was_lost_with_a_link_is_not_preempted_again(self) -> None:
        first = get_starts(self.submit_long(count=1))[0]
        self.scheduler.lose_worker(first.worker, now=10.1)
        self.add_worker(first.worker, cpu=1000, now=10.2)
        (again,) = get_starts(self.scheduler.reconcile(first.worker, (), now=10.2))
        self.assertIsNone(again.restart_slack_s)

    def test_a_task_on_a_lost_worker_waits_until_its_run_must_have_ended(
        self,
    ) -> None:
        first = get_starts(self.submit_long(count=1))[0]
        self.scheduler.lose_worker(first.worker, now=10.1)
        self.assertEqual([], get_starts(self.scheduler.tick(now=10.1 + LOST_RUN_S - 0.01)))
        (again,) = get_starts(self.scheduler.tick(now=10.1 + LOST_RUN_S + 0.01))
        self.assertEqual((2, None), (again.run, again.restart_slack_s))

    def test_a_task_whose_worker_crashed_is_not_preempted_again(self) -> None:
        first = get_starts(self.submit_long(count=1))[0]
        (again,) = get_starts(self.end(first, EndReason.CRASHED, now=10.1))
        self.assertIsNone(again.restart_slack_s)

    def test_a_duplicate_report_of_an_end_starts_nothing_twice(self) -> None:
        first = get_starts(self.submit_long(count=1))[0]
        began = get_starts(self.end(first, EndReason.PREEMPTED, now=10.1))
        began += get_starts(self.end(first, EndReason.PREEMPTED, now=10.1))
        self.assertEqual(1, len(began))

    def test_a_cancelled_job_is_stopped_also_during_a_preemption(self) -> None:
        first = get_starts(self.submit_long(count=1))[0]
        (stop,) = get_stops(self.scheduler.cancel("long"))
        self.assertEqual((first.worker, 1), (stop.worker, stop.run))
        self.assertEqual([], self.end(first, EndReason.PREEMPTED, now=10.1))

    def test_an_infinite_objective_gives_no_restart_slack(self) -> None:
        """JSON has no infinity, so an infinite slack would be sent as null."""
        queue = make_queue(name="endless", priority=2, stretch=inf)
        (start,) = get_starts(self.scheduler.submit(make_job("endless", queue=queue), now=10.0))
        self.assertIsNone(start.restart_slack_s)


def _preempts(request: RequestCapacity) -> bool:
    return request.request is not None and request.request.preempts_from is not None

"""Speeds of workers at their owner: reports, labels and temporary slowness."""

from __future__ import annotations

import math
import random
import statistics

import testtools

from dalemast.core.scheduling import (
    CapacityReport,
    EndReason,
    FastestPlacement,
    LeastSlackOrder,
    LoadPolicy,
    Scheduler,
    SchedulerLimits,
    SlowRun,
    StartTask,
    WorkerSpeed,
    WorkerView,
)
from dalemast.core.scheduling.choices import MAX_RELATIVE_SLOWNESS
from dalemast.core.scheduling.speeds import (
    MAX_KEPT_REPORTS,
    REFRESH_INTERVAL_S,
    KnownSpeeds,
)
from dalemast.core.supervision import SpeedRecord
from dalemast.core.supervision.runs import DECLARED_ERROR
from dalemast.core.workloads import Resources
from tests.core.scheduling.base import (
    LOST_RUN_S,
    SchedulerTestCase,
    get_starts,
    get_stops,
    make_job,
    make_step,
)

SPEEDS = (0.6, 1.0, 1.6)
NOW = 10.0
RUNS = 40


def make_scheduler(policy: LoadPolicy | None = None) -> Scheduler:
    return Scheduler(
        order=LeastSlackOrder(),
        placement=FastestPlacement(remote_factor=1.5),
        limits=SchedulerLimits(lost_run_s=LOST_RUN_S),
        started_at=0.0,
        policy=policy or LoadPolicy(learns_speeds=True),
    )


def make_view(name: str, *labels: str, data_centre: str = "") -> WorkerView:
    return WorkerView(
        name=name,
        service="floor",
        capacity=Resources(cpu=1000, memory_mb=1000),
        labels=frozenset(labels),
        is_same_data_centre=True,
        data_centre=data_centre,
    )


class KnownSpeedsTestCase(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.views: dict[str, WorkerView] = {}
        self.speeds = KnownSpeeds(workers=self.views)
        self.now = NOW

    def add(
        self, name: str, *labels: str, slowness: float | None = None, at: str = ""
    ) -> WorkerView:
        view = self.views[name] = make_view(name, *labels, data_centre=at)
        self.speeds.note_added(view)
        if slowness is not None:
            self.report(name, slowness)
        return view

    def report(self, name: str, slowness: float, *, runs: int = RUNS) -> None:
        self.speeds.note_reported(self.views[name], WorkerSpeed(slowness=slowness, runs=runs))
        self.now += REFRESH_INTERVAL_S
        self.speeds.refresh(now=self.now)

    def get(self, name: str) -> float:
        return self.views[name].get_slowness(self.now)


class ReportTests(KnownSpeedsTestCase):
    def test_baselines_are_relative_to_the_median_worker(self) -> None:
        for number, speed in enumerate(SPEEDS):
            self.add(f"w{number}", slowness=1.2 / speed)
        self.assertAlmostEqual(1 / 0.6, self.get("w0"))
        self.assertAlmostEqual(1.0, self.get("w1"))
        self.assertAlmostEqual(1 / 1.6, self.get("w2"))

    def test_invalid_reports_are_ignored(self) -> None:
        for number, speed in enumerate(SPEEDS):
            self.add(f"w{number}", slowness=1 / speed)
        before = [self.get(name) for name in self.views]
        for slowness in (0.0, -1.0, math.nan, math.inf, -math.inf, 1e9, 1e-9):
            self.report("w0", slowness)
        self.report("w0", 1.0, runs=0)
        self.report("w0", 1.0, runs=-1)
        self.assertEqual(before, [self.get(name) for name in self.views])

    def test_a_wrong_report_changes_no_other_worker(self) -> None:
        for number, speed in enumerate(SPEEDS * 3):
            self.add(f"w{number}", slowness=1 / speed)
        before = [self.get(name) for name in self.views]
        self.report("w0", 9.0)
        self.assertEqual(before[1:], [self.get(name) for name in self.views][1:])

    def test_without_a_report_the_observed_slowness_counts(self) -> None:
        view = self.add("w")
        view.learn_slowness(1.4, now=self.now, weight=1.0)
        self.assertEqual(1.4, view.get_slowness(self.now))

    def test_reports_on_too_few_workers_give_no_baseline(self) -> None:
        for name in ("w0", "w1"):
            self.add(name, slowness=3.0)
        self.assertEqual([None, None], [view.baseline_slowness for view in self.views.values()])
        self.add("w2", slowness=1.5)
        self.assertEqual([1.0, 1.0, 0.5], [self.get(name) for name in self.views])


class TemporarySlownessTests(KnownSpeedsTestCase):
    """Temporary slowness must decay, while a slow baseline must not."""

    def setUp(self) -> None:
        super().setUp()
        for number, speed in enumerate(SPEEDS):
            self.add(f"w{number}", slowness=1 / speed)

    def test_a_slow_baseline_does_not_decay(self) -> None:
        self.now += 100.0
        self.assertAlmostEqual(1 / 0.6, self.get("w0"))

    def test_slowness_above_the_baseline_decays(self) -> None:
        for name, baseline in (("w0", 1 / 0.6), ("w1", 1.0)):
            self.views[name].learn_slowness(5 * baseline, now=self.now, weight=1.0)
            self.assertAlmostEqual(5 * baseline, self.get(name))
        self.now += 10.0
        self.assertAlmostEqual(1 / 0.6, self.get("w0"))
        self.assertAlmostEqual(1.0, self.get("w1"))

    def test_several_slow_tasks_add_up(self) -> None:
        for _ in range(12):
            self.views["w1"].learn_slowness(4.0, now=self.now)
        self.assertGreater(self.get("w1"), MAX_RELATIVE_SLOWNESS)

    def test_runs_near_the_baseline_do_not_change_the_slowness(self) -> None:
        for _ in range(30):
            self.views["w0"].learn_slowness(1.3 / 0.6, now=self.now)
        self.assertAlmostEqual(1 / 0.6, self.get("w0"))


class LabelTests(KnownSpeedsTestCase):
    """New workers get a baseline from their labels."""

    def add_labelled(
        self, label: str, slowness: float, *, count: int = 6, data_centres: int = 2
    ) -> None:
        for number in range(count):
            at = f"dc{number % data_centres}"
            self.add(f"{label}{number}", label, f"{at}-r{number}", slowness=slowness, at=at)

    def test_a_new_worker_gets_the_baseline_of_its_label(self) -> None:
        self.add_labelled("a", 1.0, count=12)
        self.add_labelled("b", 0.77)
        self.assertAlmostEqual(0.77, self.add("new", "b", "dc9-r9").get_slowness(self.now))
        self.assertAlmostEqual(1.0, self.add("other", "a", "dc9-r9").get_slowness(self.now))

    def test_a_report_replaces_the_baseline_of_a_label(self) -> None:
        self.add_labelled("a", 1.0, count=12)
        self.add_labelled("b", 0.77)
        self.add("new", "b", slowness=1.5)
        self.assertAlmostEqual(1.5, self.get("new"))

    def test_a_label_within_one_data_centre_is_ignored(self) -> None:
        self.add_labelled("a", 1.0, count=12)
        self.add_labelled("r1", 1.67, data_centres=1)
        self.assertEqual(1.0, self.add("new", "r1").get_slowness(self.now))

    def test_a_label_whose_workers_differ_is_ignored(self) -> None:
        for number in range(12):
            slowness = 1 / SPEEDS[number % 3]
            self.add(f"w{number}", "a", slowness=slowness, at=f"dc{number % 4}")
        self.assertIsNone(self.add("new", "a").baseline_slowness)

    def test_a_label_with_too_few_workers_is_ignored(self) -> None:
        for number in range(3):
            self.add(f"w{number}", "a", slowness=1.67 if number else 1.0, at=f"dc{number}")
        self.assertIsNone(self.add("new", "a").baseline_slowness)


class SchedulerSpeedTests(SchedulerTestCase):
    """Owners of workers of speeds 0.6, 1 and 1.6."""

    def setUp(self) -> None:
        super().setUp()
        self.start_owner()

    def start_owner(self, policy: LoadPolicy | None = None) -> None:
        """Start an owner whose workers have known speeds."""
        self.scheduler = make_scheduler(policy)
        for number, speed in enumerate(SPEEDS):
            self.add_worker(f"w{number}", cpu=2000)
            self.scheduler.note_speed(f"w{number}", WorkerSpeed(slowness=1 / speed, runs=RUNS))
        self.scheduler.tick(now=NOW)

    def place(self, run_s: float = 0.1) -> list[str]:
        job = make_job("a", make_step(6, estimate_s=run_s))
        return [start.worker for start in get_starts(self.scheduler.submit(job, now=NOW))]

    def test_an_owner_places_tasks_as_before_after_a_restart(self) -> None:
        short, long = self.place(), (self.start_owner(), self.place(1.5))[1]
        self.start_owner()
        self.assertEqual(short, self.place())
        self.start_owner()
        self.assertEqual(long, self.place(1.5))
        self.assertEqual(["w2", "w2", "w1", "w1", "w0", "w0"], short)
        self.assertEqual(["w2", "w2", "w1", "w1"], long)

    def test_without_the_setting_reports_are_ignored(self) -> None:
        self.start_owner(LoadPolicy())
        slowness_values = [view.get_slowness(NOW) for view in self.scheduler.workers.values()]
        self.assertEqual([1.0, 1.0, 1.0], slowness_values)

    def test_an_incarnation_keeps_its_baseline_when_its_agent_restarts(self) -> None:
        self.scheduler.lose_worker("w0", now=NOW)
        self.add_worker("w0")
        self.assertAlmostEqual(1 / 0.6, self.scheduler.workers["w0"].get_slowness(NOW))
        self.add_worker("another incarnation")
        self.assertEqual(1.0, self.scheduler.workers["another incarnation"].get_slowness(NOW))

    def test_the_number_of_kept_reports_is_bounded(self) -> None:
        for number in range(2 * MAX_KEPT_REPORTS):
            self.add_worker(f"l{number}")
            self.scheduler.note_speed(f"l{number}", WorkerSpeed(slowness=1.0, runs=RUNS))
            self.scheduler.lose_worker(f"l{number}", now=NOW)
        self.assertEqual(MAX_KEPT_REPORTS, len(self.scheduler._speeds._kept_reports))

    def test_reports_on_unknown_workers_are_ignored(self) -> None:
        self.scheduler.note_speed("nobody", WorkerSpeed(slowness=2.0, runs=9))

    def report_long_run(self, name: str, *, worker_pace: float) -> int:
        """Report a run that takes 2.5 times as long as usual; return the number of moves."""
        starts = get_starts(self.scheduler.submit(make_job("s", make_step(6)), now=NOW))
        self.add_worker("elsewhere", now=NOW)
        report = SlowRun(age_s=0.05, total_s=2.5, worker_pace=worker_pace, is_stalled=False)
        run = next(start for start in starts if start.worker == name)
        actions = self.scheduler.handle_slow_run(
            name, "s", run.task, run.run, report, now=NOW + 0.05
        )
        return len(get_stops(actions))

    def test_a_run_near_the_baseline_of_its_worker_is_not_moved(self) -> None:
        self.assertEqual(0, self.report_long_run("w0", worker_pace=2.5))

    def test_a_run_on_a_worker_that_has_turned_slow_is_moved(self) -> None:
        self.assertEqual(1, self.report_long_run("w1", worker_pace=2.5))

    def test_a_long_task_on_a_sound_worker_is_not_moved(self) -> None:
        """A long task would take as long elsewhere."""
        job = make_job("a", make_step(4))
        first, second, third, long = get_starts(self.scheduler.submit(job, now=NOW))
        for start in (first, second, third):
            self.end(start, EndReason.DONE)
        for number in range(5):
            now = NOW + 0.3 * (number + 1)
            report = SlowRun(age_s=now - NOW, total_s=0.7, worker_pace=0.0, is_stalled=False)
            actions = self.scheduler.handle_slow_run(
                long.worker, "a", long.task, long.run, report, now=now
            )
            self.assertEqual([], get_stops(actions))
        self.assertAlmostEqual(1.0, self.scheduler.workers[long.worker].get_slowness(NOW + 2.0))

    def test_a_long_task_is_moved_if_only_a_slow_baseline_makes_it_late(self) -> None:
        """The objective grows by 1.6 times the length of the task, the run time by 1.67 times."""
        for long_s, moves in ((0.5, 0), (2.0, 1)):
            self.start_owner()
            starts = get_starts(self.scheduler.submit(make_job("a", make_step(6)), now=NOW))
            run = next(start for start in starts if start.worker == "w0")
            for start in starts:
                if start.worker == "w1":
                    self.end(start, EndReason.DONE)
            self.add_worker("elsewhere", now=NOW)
            report = SlowRun(age_s=0.12, total_s=long_s / 0.6, worker_pace=0.0, is_stalled=False)
            actions = self.scheduler.handle_slow_run(
                "w0", "a", run.task, run.run, report, now=NOW + 0.121
            )
            self.assertEqual(moves, len(get_stops(actions)))
            self.assertFalse(self.scheduler.workers["w0"].has_turned_slow(NOW + 0.121))

    def test_several_slow_tasks_show_that_a_worker_has_turned_slow(self) -> None:
        full = Resources(cpu=2000, memory_mb=65536)
        for number in range(4):
            job = make_job(f"{number}", make_step(3))
            starts = get_starts(self.scheduler.submit(job, now=NOW))
            self.assertEqual(["w2", "w2", "w1"], [start.worker for start in starts])
            for start in starts:
                self.scheduler.end_run(
                    start.worker,
                    start.job.id,
                    start.task,
                    start.run,
                    EndReason.DONE,
                    run_s=0.5 if start.worker == "w1" else 0.1 / 1.6,
                    now=NOW,
                )
                capacity_report = CapacityReport(seen=start.number, free=full, is_accepting=True)
                self.scheduler.update_worker(start.worker, capacity_report, now=NOW)
        self.assertTrue(self.scheduler.workers["w1"].has_turned_slow(NOW))

    def test_a_pace_near_the_baseline_does_not_make_a_worker_slower(self) -> None:
        report = CapacityReport(
            seen=0, free=Resources(cpu=2000, memory_mb=999), is_accepting=True, pace=2.5
        )
        for name in ("w0", "w1"):
            for _ in range(4):
                self.scheduler.update_worker(name, report, now=NOW)
        self.assertAlmostEqual(1 / 0.6, self.scheduler.workers["w0"].get_slowness(NOW))
        self.assertGreater(self.scheduler.workers["w1"].get_slowness(NOW), 1.6)


class DriftTests(testtools.TestCase):
    """Run times are learned from speeds and speeds from run times; neither must drift."""

    RUN_S = 0.1
    WORKERS = 9
    FULL = Resources(cpu=1000, memory_mb=1000)

    def setUp(self) -> None:
        super().setUp()
        self.start_owners(LoadPolicy(learns_speeds=True))

    def start_owners(self, policy: LoadPolicy) -> None:
        """Add the workers to new owners that have learned nothing."""
        self.rng = random.Random(1)
        self.speeds = {f"w{number}": SPEEDS[number % 3] for number in range(self.WORKERS)}
        self.records = {name: SpeedRecord() for name in self.speeds}
        self.owners = [make_scheduler(policy) for _ in range(3)]
        self.expected: list[float] = []
        for owner in self.owners:
            for name in self.speeds:
                owner.add_worker(make_view(name), now=0.0)
                capacity_report = CapacityReport(seen=0, free=self.FULL, is_accepting=True)
                owner.update_worker(name, capacity_report, now=0.0)

    def end(self, owner: Scheduler, start: StartTask, now: float) -> list[StartTask]:
        """End a run at its agent and its owner; return the starts that follow."""
        self.expected.append(start.expected_s)
        tail = 7.0 if self.rng.random() < 0.03 else 1.0
        spread = math.exp(self.rng.gauss(-0.01, 0.15))
        run_s = self.RUN_S * tail * spread / self.speeds[start.worker]
        record = self.records[start.worker]
        record.learn(start.job.id, run_s=run_s, expected_s=start.expected_s)
        report = record.take_report(now=now)
        if report is not None:
            for receiver in self.owners:
                receiver.note_speed(start.worker, report)
        run = (start.worker, start.job.id, start.task, start.run, EndReason.DONE)
        actions = owner.end_run(*run, run_s=run_s, now=now)
        capacity_report = CapacityReport(seen=start.number, free=self.FULL, is_accepting=True)
        return get_starts([*actions, *owner.update_worker(start.worker, capacity_report, now=now)])

    def run_turn(self, turn: int) -> None:
        """Let one owner run as many jobs as there are workers."""
        owner, now = self.owners[turn % len(self.owners)], 0.2 * turn
        starts: list[StartTask] = []
        for number in range(len(self.speeds)):
            declared_s = self.RUN_S * math.exp(self.rng.gauss(-0.08, DECLARED_ERROR))
            job = make_job(f"{turn}.{number}", make_step(estimate_s=declared_s))
            starts += get_starts(owner.submit(job, now=now))
        while starts:
            starts += self.end(owner, starts.pop(0), now)
        owner.tick(now=now + 0.1)

    def test_neither_run_times_nor_reports_drift_over_ten_thousand_ends(self) -> None:
        turns = 1112
        for turn in range(turns):
            self.run_turn(turn)
        self.assertGreaterEqual(len(self.expected), 10_000)
        # Long tasks raise the mean run time by a factor of 1.18. Half of an estimate is the
        # declared time, scaled by the mean ratio, which grows with the errors of declared times.
        usual_s = 1.18 * self.RUN_S * (1.0 + math.exp(DECLARED_ERROR**2)) / 2
        for part in range(5):
            mean_s = statistics.fmean(self.expected[2000 * part : 2000 * (part + 1)])
            self.assertAlmostEqual(usual_s, mean_s, delta=0.15 * self.RUN_S)
        for owner in self.owners:
            for name, speed in self.speeds.items():
                slowness = owner.workers[name].get_slowness(0.2 * turns + 100.0)
                self.assertAlmostEqual(1.0, slowness * speed, delta=0.2)


class OneWorkerDriftTests(DriftTests):
    """With a single worker there is no median, so reports must have no effect."""

    WORKERS = 1

    def test_neither_run_times_nor_reports_drift_over_ten_thousand_ends(self) -> None:
        with_reports = self.run_all()
        self.start_owners(LoadPolicy())
        self.assertEqual(self.run_all(), with_reports)

    def run_all(self) -> list[float]:
        for turn in range(10_000):
            self.run_turn(turn)
        self.assertGreaterEqual(len(self.expected), 10_000)
        return self.expected

"""Tests for the retry times of refused callers, alone and in a burst."""

from __future__ import annotations

from collections import Counter

from testtools import TestCase
from testtools.matchers import GreaterThan, LessThan, MatchesAll

from dalemast.core.scheduling import JobRefused, LoadPolicy
from dalemast.core.scheduling.jobs import Job
from dalemast.core.scheduling.retry_times import RETRY_AFTER_S, RetryTimes
from tests.core.scheduling.base import (
    SchedulerTestCase,
    get_refused,
    make_job,
    make_queue,
    make_step,
)

MIN_S, MAX_S = RETRY_AFTER_S
NOW = 10.0
CORES = 40


def make_waiting(job_id: str, *, priority: int = 0, service: str = "floor") -> Job:
    request = make_job(job_id, queue=make_queue(priority=priority, service=service))
    return Job(request=request, arrived_at=NOW, objective_s=0.22, chain_s=0.1)


class RetryTimesTests(TestCase):
    """Each refused job needs 0.1 core-seconds, and refused jobs get one core by default."""

    def setUp(self) -> None:
        super().setUp()
        self.retry_times = RetryTimes()

    def plan(self, job: Job, *, begin_s: float = 0.3, cores: float = 1.0, at: float = NOW) -> float:
        return self.retry_times.plan(job, begin_s=begin_s, core_s=0.1, cores=cores, now=at)

    def test_a_single_caller_retries_when_its_job_fits(self) -> None:
        self.assertThat(self.plan(make_waiting("a")), _is_between(0.3, 0.4))

    def test_each_further_caller_retries_later(self) -> None:
        times = [self.plan(make_waiting(f"j{number}")) for number in range(20)]
        self.assertEqual(20, len(set(times)))
        self.assertThat(max(times), _is_between(1.3, 2.3))

    def test_the_retry_time_of_a_job_is_reproducible(self) -> None:
        again = RetryTimes().plan(make_waiting("a"), begin_s=0.3, core_s=0.1, cores=1.0, now=NOW)
        self.assertEqual(self.plan(make_waiting("a")), again)

    def test_another_entry_assigns_different_times(self) -> None:
        ours = {round(self.plan(make_waiting(f"a{number}")), 4) for number in range(20)}
        other = RetryTimes()
        theirs = {
            round(
                other.plan(make_waiting(f"b{number}"), begin_s=0.3, core_s=0.1, cores=1.0, now=NOW),
                4,
            )
            for number in range(20)
        }
        self.assertEqual(set(), ours & theirs)

    def test_less_urgent_callers_retry_after_more_urgent_ones(self) -> None:
        urgent = [self.plan(make_waiting(f"u{number}")) for number in range(10)]
        less = [self.plan(make_waiting(f"l{number}", priority=2)) for number in range(10)]
        self.assertLess(max(urgent), min(less))

    def test_callers_of_another_service_are_independent(self) -> None:
        for number in range(10):
            self.plan(make_waiting(f"j{number}"))
        time_s = self.plan(make_waiting("a", service="maps"))
        self.assertThat(time_s, _is_between(0.3, 0.4))

    def test_past_reservations_delay_no_caller(self) -> None:
        for number in range(20):
            self.plan(make_waiting(f"j{number}"))
        self.assertThat(self.plan(make_waiting("a"), at=NOW + 5.0), _is_between(0.3, 0.4))

    def test_times_are_within_bounds_and_spread_out(self) -> None:
        times = [self.plan(make_waiting(f"j{number}"), cores=0.01) for number in range(400)]
        self.assertGreaterEqual(min(times), MIN_S)
        self.assertLessEqual(max(times), MAX_S)
        self.assertLess(_get_fullest_tenth(times), 0.15 * len(times))

    def test_an_infinite_start_time(self) -> None:
        times = [self.plan(make_waiting(f"j{n}"), begin_s=float("inf")) for n in range(400)]
        self.assertLess(_get_fullest_tenth(times), 0.25 * len(times))

    def test_absurd_work_delays_no_caller(self) -> None:
        for core_s in (float("nan"), float("inf"), 1e308):
            time_s = self.retry_times.plan(
                make_waiting("absurd"), begin_s=float("nan"), core_s=core_s, cores=1.0, now=NOW
            )
            self.assertThat(time_s, _is_between(MIN_S, MAX_S))
        self.assertThat(self.plan(make_waiting("a")), _is_between(0.3, 0.4))

    def test_no_capacity_at_all(self) -> None:
        self.assertThat(self.plan(make_waiting("a"), cores=0.0), _is_between(MIN_S, MAX_S))


class RetryBurstTests(SchedulerTestCase):
    """All callers retry at once after an outage: ten times the work that can be done in time."""

    policy = LoadPolicy(forecasts=True)

    def setUp(self) -> None:
        super().setUp()
        for number in range(CORES // 4):
            self.add_worker(f"w{number}", now=NOW - 1.0)
        self.refused: list[JobRefused] = []
        for number in range(10 * CORES):
            queue = make_queue(name=f"q{number % 3}", priority=number % 3)
            job = make_job(f"{number:016x}", make_step(), queue=queue)
            self.refused += get_refused(self.scheduler.submit(job, now=NOW))

    def test_jobs_that_fit_are_started_and_the_rest_refused_at_once(self) -> None:
        started = [job for job in self.scheduler.open_jobs.values() if job.has_begun]
        self.assertEqual(CORES, len(started))
        self.assertGreater(len(self.refused), 5 * CORES)
        self.assertEqual({0.0}, {refusal.waited_s for refusal in self.refused})

    def test_retries_are_spread_over_the_expected_releases(self) -> None:
        """In each tenth of a second, no more callers of a priority retry than can be served in it.

        A third more is allowed for the jitter.
        """
        for priority in range(3):
            tenths = Counter(int(10 * time_s) for time_s in self._get_times(priority))
            self.assertLess(max(tenths.values()), 4 * CORES // 3)

    def test_more_urgent_callers_retry_earlier(self) -> None:
        means = [self._get_mean_s(priority) for priority in range(3)]
        self.assertEqual(sorted(means), means)

    def test_no_caller_retries_before_the_minimum(self) -> None:
        self.assertGreaterEqual(min(refusal.retry_after_s for refusal in self.refused), MIN_S)

    def _get_mean_s(self, priority: int) -> float:
        times = self._get_times(priority)
        return sum(times) / len(times)

    def _get_times(self, priority: int) -> list[float]:
        return [
            refusal.retry_after_s
            for refusal in self.refused
            if refusal.job.queue.priority == priority
        ]


def _get_fullest_tenth(times: list[float]) -> int:
    """Return how many callers retry in the fullest tenth of the whole period."""
    first, last = min(times), max(times)
    return max(Counter(int(10 * (time - first) / (last - first + 1e-9)) for time in times).values())


def _is_between(low: float, high: float) -> object:

    return MatchesAll(GreaterThan(low - 1e-9), LessThan(high + 1e-9))

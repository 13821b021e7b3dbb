"""Preemption on a worker that is full of long, less urgent tasks."""

from __future__ import annotations

from math import inf, nan

import testtools

from dalemast.core.scheduling import CapacityRequest, EndReason
from dalemast.core.supervision import (
    Action,
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
)
from dalemast.core.supervision.preemption import (
    HOLD_S,
    KEPT_SHARE,
    MAX_REQUEST_AGE_S,
    MAX_RESERVATION_S,
)
from dalemast.core.workloads import Resources, TaskKey

STOP_S = 0.05
LONG_S = 1.8
LONG, MIDDLE, URGENT = 2, 1, 0
CORES = 16


def pick(actions: list[Action], kind: type) -> list:
    return [action for action in actions if isinstance(action, kind)]


def make_request(cpu: int = 1200, *, preempts_from: int | None = 1) -> CapacityRequest:
    return CapacityRequest(rank=(0.0, 0.0, 0.05), cpu=cpu, preempts_from=preempts_from)


class PreemptionTestCase(testtools.TestCase):
    """A worker of 16 cores, which has 400 thousandths of a core free when full of 1.2 core tasks.

    ``earn`` records successful work, a share of which may be lost to preemption.
    """

    def setUp(self) -> None:
        super().setUp()
        limits = SupervisorLimits(owner_timeout_s=1e9, lease_s=0.6, stop_s=STOP_S)
        self.supervisor = Supervisor(limits=limits)
        self.runs: dict[RunId, float] = {}
        self.numbers = iter(range(1, 1000))
        self.supervisor.register_incarnation(self.make_incarnation(), now=0.0)
        self.poll(now=0.0)

    def make_incarnation(self, incarnation_id: str = "i-1") -> WorkerIncarnation:
        return WorkerIncarnation(
            id=incarnation_id,
            service="floor",
            data_centre="austin",
            capacity=Resources(cpu=1000 * CORES, memory_mb=100_000),
            labels=frozenset(),
            is_leaving=False,
        )

    def earn(self) -> None:
        """Let the worker complete successful work for some seconds."""
        for number in range(3):
            started = self.fill(f"earlier-{number}", now=-10.0 + 3 * number)
            for run_id in started:
                self.end(run_id, EndReason.DONE, now=-7.0 + 3 * number)

    def fill(self, name: str = "long", *, now: float = 10.0, **fields: object) -> list[RunId]:
        """Start as many long tasks as fit."""
        return [
            self.start(f"{name}-{number}", now=now, **fields) for number in range(CORES * 5 // 6)
        ]

    def ask_start(
        self,
        job_id: str,
        *,
        owner: str = "o1",
        priority: int = LONG,
        cpu: int = 1200,
        run_s: float = LONG_S,
        restart_slack_s: float | None = 0.6,
        now: float = 10.0,
    ) -> list[Action]:
        request = StartRequest(
            owner=owner,
            run_id=RunId(job_id, TaskKey(0, 0), 1),
            payload="",
            resources=Resources(cpu=cpu, memory_mb=10),
            expected_s=run_s,
            number=next(self.numbers),
            sent_at=now,
            priority=priority,
            restart_slack_s=restart_slack_s,
        )
        return self.supervisor.start(request, now=now)

    def start(self, job_id: str, *, now: float = 10.0, **fields: object) -> RunId:
        """Start a task and let a poll list it."""
        (order,) = pick(self.ask_start(job_id, now=now, **fields), OrderStart)
        run_id = order.request.run_id
        self.supervisor.handle_start_outcome(
            run_id, StartOutcome.RUNNING, now=now, expires_at=now + 1
        )
        self.runs[run_id] = now
        self.poll(now=now + 0.001)
        return run_id

    def poll(self, *, now: float) -> None:
        """Poll the worker, which lists all runs with their progress."""
        rows = [ListedRun(run_id, 100 * (now - at) / LONG_S) for run_id, at in self.runs.items()]
        self.supervisor.handle_poll(rows, (), asked_at=now, now=now)

    def end(self, run_id: RunId, reason: EndReason, *, now: float) -> list[Action]:
        """Poll the worker, which lists the end of a run."""
        del self.runs[run_id]
        rows = [ListedRun(other, 1.0) for other in self.runs]
        ended = [EndedRun(next(self.numbers), run_id, reason)]
        return self.supervisor.handle_poll(rows, ended, asked_at=now, now=now)

    def preempt(
        self, request: CapacityRequest | None = None, *, owner: str = "o2", now: float = 10.1
    ) -> list[PreemptRun]:
        request = request or make_request()
        return pick(self.supervisor.preempt(owner, request, sent_at=now, now=now), PreemptRun)


class VictimTests(PreemptionTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.earn()

    def test_a_long_run_is_preempted_for_an_urgent_job(self) -> None:
        self.fill()
        (stopped,) = self.preempt()
        self.assertEqual((LONG, 1), (stopped.priority, stopped.preempts_from))
        self.assertAlmostEqual(0.12, stopped.lost_core_s, places=2)

    def test_the_run_that_loses_the_least_work_is_preempted(self) -> None:
        self.fill(now=9.8)
        youngest = self.free_and_start(now=10.05)
        (stopped,) = self.preempt()
        self.assertEqual(youngest, stopped.run_id)

    def free_and_start(self, *, now: float) -> RunId:
        self.end(next(iter(self.runs)), EndReason.DONE, now=now)
        return self.start("youngest", now=now)

    def test_just_enough_runs_are_preempted_for_one_task(self) -> None:
        self.fill()
        self.assertEqual(3, len(self.preempt(make_request(3600))))

    def test_a_smaller_run_that_is_not_needed_beside_a_larger_one_continues(self) -> None:
        self.fill(now=9.9)
        for run_id in list(self.runs)[:2]:
            self.end(run_id, EndReason.DONE, now=10.0)
        self.start("small", cpu=300, now=10.06)
        self.start("large", cpu=2400, now=10.04)
        self.assertEqual(["large"], [stopped.run_id.job_id for stopped in self.preempt()])

    def test_none_is_preempted_while_there_is_free_capacity(self) -> None:
        self.fill()
        self.assertEqual([], self.preempt(make_request(400)))

    def test_none_is_preempted_if_all_together_are_not_enough(self) -> None:
        self.fill()
        self.assertEqual([], self.preempt(make_request(15_000)))

    def test_only_less_urgent_runs_are_preempted(self) -> None:
        self.fill(priority=URGENT)
        self.assertEqual([], self.preempt())
        self.assertEqual([], self.preempt(make_request(preempts_from=0)))

    def test_a_request_that_may_not_preempt_stops_nothing(self) -> None:
        self.fill()
        self.assertEqual([], self.preempt(make_request(preempts_from=None)))

    def test_a_run_whose_job_would_be_late_continues(self) -> None:
        self.fill(restart_slack_s=0.14)
        self.assertEqual([], self.preempt())

    def test_a_run_that_must_not_be_preempted_continues(self) -> None:
        self.fill(restart_slack_s=None)
        self.assertEqual([], self.preempt())

    def test_a_run_that_is_half_done_continues(self) -> None:
        self.fill(restart_slack_s=5.0)
        self.poll(now=10.95)
        self.assertEqual([], self.preempt(now=10.95))

    def test_a_run_that_ends_about_as_soon_as_its_stop_would_continues(self) -> None:
        self.fill(run_s=0.14)
        self.assertEqual([], self.preempt(now=10.05))

    def test_invalid_values_stop_nothing(self) -> None:
        for number, fields in enumerate(
            (
                {"restart_slack_s": nan},
                {"run_s": nan},
                {"priority": -1},
                {"restart_slack_s": -5.0},
                {"run_s": 0.0},
            )
        ):
            self.start(f"false-{number}", **fields)
        self.assertEqual([], self.preempt(make_request(15_000)))
        for invalid in (
            make_request(10**12),
            make_request(-5),
            make_request(preempts_from=-7),
            make_request(preempts_from=10**12),
        ):
            self.assertEqual([], self.preempt(invalid))
        self.start("endless", run_s=inf, restart_slack_s=inf)

    def test_an_old_request_stops_nothing(self) -> None:
        """It was delayed, or its owner is paused."""
        self.fill()
        for sent_at in (10.1 - MAX_REQUEST_AGE_S - 0.01, -inf, nan):
            self.assertEqual(
                [], self.supervisor.preempt("o2", make_request(), sent_at=sent_at, now=10.1)
            )

    def test_a_run_that_no_poll_has_listed_yet_continues(self) -> None:
        self.fill()
        self.runs.clear()
        for run in self.supervisor.runs.values():
            run.listed_at = None
        self.assertEqual([], self.preempt())


class BoundTests(PreemptionTestCase):
    def test_the_lost_work_is_bounded_by_a_share_of_successful_work(self) -> None:
        self.fill()
        self.assertEqual([], self.preempt(), "no run has ended yet")
        for run_id in list(self.runs):
            self.end(run_id, EndReason.DONE, now=11.8)
        self.fill("next", now=12.0)
        budget = self.supervisor.budget_core_s
        while self.preempt(owner=f"o{next(self.numbers)}", now=12.1):
            pass
        self.assertLess(self.supervisor.budget_core_s, budget)
        self.assertGreaterEqual(self.supervisor.budget_core_s, 0.0)

    def test_an_owner_has_one_reservation_at_a_time(self) -> None:
        self.earn()
        self.fill()
        self.assertEqual(1, len(self.preempt()))
        self.assertEqual([], self.preempt())
        self.assertEqual(1, len(self.preempt(owner="o3")))

    def test_each_priority_keeps_its_share_of_the_cores(self) -> None:
        self.earn()
        self.fill("long")
        stopped = sum(
            len(self.preempt(make_request(3600), owner=f"o{number}", now=10.02))
            for number in range(9)
        )
        left = (len(self.runs) - stopped) * 1200
        self.assertGreater(stopped, 0)
        self.assertGreaterEqual(left, KEPT_SHARE * 1000 * CORES)

    def test_a_priority_that_has_no_more_than_its_share_loses_nothing(self) -> None:
        self.earn()
        for number in range(3):
            self.start(f"long-{number}")
        for number in range(10):
            self.start(f"urgent-{number}", priority=URGENT)
        self.assertEqual([], self.preempt())


class EndTests(PreemptionTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.earn()
        self.fill()
        (stopped,) = self.preempt()
        self.victim = stopped.run_id

    def get_ends(self, actions: list[Action]) -> list[EndReason]:
        return [end.reason for end in pick(actions, ReportEnd)]

    def test_its_end_is_reported_only_once_the_worker_lists_it(self) -> None:
        self.assertIn(self.victim, self.supervisor.runs)
        self.assertEqual(400, self.supervisor.get_free().cpu)
        self.assertEqual([], self.supervisor.tick(now=10.5))
        ends = self.get_ends(self.end(self.victim, EndReason.STOPPED, now=10.6))
        self.assertEqual([EndReason.PREEMPTED], ends)

    def test_a_run_that_ended_before_its_stop_keeps_its_end_reason(self) -> None:
        ends = self.get_ends(self.end(self.victim, EndReason.DONE, now=10.12))
        self.assertEqual([EndReason.DONE], ends)

    def test_the_loss_of_the_worker_drops_all_reservations(self) -> None:
        ends = self.get_ends(self.supervisor.lose_incarnation(is_over=True))
        self.assertEqual([EndReason.CRASHED] * len(self.runs), ends)
        self.assertEqual(0, len(self.supervisor.reservations))

    def test_the_freed_capacity_is_reserved_for_the_requesting_owner(self) -> None:
        self.end(self.victim, EndReason.STOPPED, now=10.12)
        self.assertEqual(1600, self.supervisor.get_free_for("o2").cpu)
        self.assertEqual(400, self.supervisor.get_free_for("o1").cpu)
        refused = self.ask_start("quick", owner="o1", now=10.13)
        self.assertEqual([EndReason.NO_ROOM], self.get_ends(refused))
        self.start("urgent", owner="o2", priority=URGENT, now=10.13)
        self.assertEqual(0, len(self.supervisor.reservations))

    def test_as_urgent_work_of_another_owner_may_use_it(self) -> None:
        self.end(self.victim, EndReason.STOPPED, now=10.12)
        self.start("as-urgent", owner="o3", priority=URGENT, now=10.13)

    def test_a_reservation_that_is_not_used_expires(self) -> None:
        self.end(self.victim, EndReason.STOPPED, now=10.12)
        actions = self.supervisor.tick(now=10.12 + HOLD_S + 0.001)
        self.assertEqual(1, len(pick(actions, ReportCapacity)))
        self.start("next", owner="o1", now=10.2)

    def test_a_withdrawn_request_frees_its_reservation_at_once(self) -> None:
        self.end(self.victim, EndReason.STOPPED, now=10.12)
        self.assertEqual(1, len(self.supervisor.withdraw_request("o2")))
        self.assertEqual([], self.supervisor.withdraw_request("o2"))
        self.start("next", owner="o1", now=10.13)

    def test_a_request_after_a_withdrawal_preempts_no_second_run(self) -> None:
        self.supervisor.withdraw_request("o2")
        self.assertEqual([], self.preempt(now=10.11))
        self.end(self.victim, EndReason.STOPPED, now=10.12)
        self.assertEqual(1600, self.supervisor.get_free_for("o1").cpu)
        self.assertEqual(0, len(self.supervisor.reservations))

    def test_a_lost_stop_blocks_further_requests_of_its_owner_for_a_limited_time(self) -> None:
        self.poll(now=10.9)
        self.assertEqual([], self.preempt(now=10.9))
        self.supervisor.tick(now=10.1 + MAX_RESERVATION_S + 0.01)
        self.assertIn(self.victim, self.supervisor.runs, "it has not ended")
        self.assertEqual(0, len(self.supervisor.reservations))

"""Until when owners keep runs alive, and the effect on leases, starts and stops."""

from __future__ import annotations

from dataclasses import replace

from dalemast.core.scheduling import EndReason
from dalemast.core.supervision import (
    EndedRun,
    ListedRun,
    OrderStop,
    ReportEnd,
    RunId,
    StartOutcome,
)
from dalemast.core.workloads import TaskKey
from tests.core.supervision.test_supervisor import (
    LEASE_S,
    OWNER_TIMEOUT_S,
    SupervisorTestCase,
    make_start,
    pick,
)


class StoppedOrderTests(SupervisorTestCase):
    """A run that is told to stop while its order is being sent may still begin."""

    def setUp(self) -> None:
        super().setUp()
        self.request = make_start()
        self.start(self.request)
        self.supervisor.stop(self.request.run_id, owner="o1", now=1.0)

    def test_it_has_not_ended_while_an_attempt_may_be_under_way(self) -> None:
        self.assertEqual([], pick(self.poll(now=1.3), ReportEnd))

    def test_without_an_answer_it_has_ended_once_the_order_has_expired(self) -> None:
        self.supervisor.handle_start_outcome(
            self.request.run_id, StartOutcome.UNANSWERED, now=1.3, expires_at=1.6
        )
        self.assertEqual([], pick(self.poll(now=1.5), ReportEnd))
        (report,) = pick(self.poll(now=1.7), ReportEnd)
        self.assertIs(EndReason.STOPPED, report.reason)


class OwnerLeaseTests(SupervisorTestCase):
    def test_the_runs_of_an_owner_that_timed_out_are_stopped(self) -> None:
        run_id = self.run_task(make_start())
        self.assertEqual([], self.supervisor.tick(now=1.0 + OWNER_TIMEOUT_S))
        self.assertEqual(
            [OrderStop(run_id=run_id)], self.supervisor.tick(now=1.01 + OWNER_TIMEOUT_S)
        )

    def test_a_message_of_the_owner_keeps_its_runs_alive(self) -> None:
        self.run_task(make_start())
        self.supervisor.renew_owner("o1", sent_at=1.4)
        self.assertEqual([], self.supervisor.tick(now=1.6))

    def test_a_stop_without_effect_is_repeated(self) -> None:
        run_id = self.run_task(make_start())
        self.supervisor.stop(run_id, owner="o1", now=1.0)
        self.assertEqual([], self.supervisor.get_unstopped(now=1.05, older_than_s=0.15))
        self.assertEqual([run_id], self.supervisor.get_unstopped(now=1.3, older_than_s=0.15))

    def test_a_start_that_was_sent_too_long_ago_is_refused(self) -> None:
        """Its owner may have given up the agent since, and may count the task as not started."""
        late = make_start()
        (report, _) = self.supervisor.start(late, now=late.sent_at + OWNER_TIMEOUT_S + 0.01)
        self.assertIs(EndReason.NOT_TAKEN, report.reason)

    def test_the_lease_follows_the_earliest_expiry_of_an_owner(self) -> None:
        self.run_task(make_start("a"))
        other = replace(make_start("b"), owner="o2")
        self.supervisor.start(other, now=1.0)
        self.supervisor.renew_owner("o2", sent_at=1.4)
        self.assertEqual(1.0 + OWNER_TIMEOUT_S + LEASE_S, self.supervisor.get_lease_limit())

    def test_a_run_that_is_told_to_stop_is_kept_alive_no_longer(self) -> None:
        """The lease is not renewed for it either, so that it ends even if each stop is lost."""
        run_id = self.run_task(make_start())
        self.supervisor.stop(run_id, owner="o1", now=1.0)
        self.supervisor.renew_owner("o1", sent_at=1.4)
        self.assertEqual(1.0 + OWNER_TIMEOUT_S + LEASE_S, self.supervisor.get_lease_limit())
        self.poll(ended=(EndedRun(1, run_id, EndReason.STOPPED),), now=1.5)
        self.assertEqual(float("inf"), self.supervisor.get_lease_limit())

    def test_the_lease_is_not_renewed_with_an_orphaned_run(self) -> None:
        """Its owner may count it as ended if it began late or before a restart of the agent."""
        self.poll(ListedRun(RunId("z", TaskKey(0, 0), 1), 5.0), now=1.1)
        self.assertEqual(float("-inf"), self.supervisor.get_lease_limit())

    def test_a_worker_whose_lease_can_not_be_renewed_accepts_no_starts(self) -> None:
        self.supervisor.stop(self.run_task(make_start()), owner="o1", now=1.0)
        self.assertTrue(self.supervisor.is_accepting(now=1.7))
        self.assertFalse(self.supervisor.is_accepting(now=1.8))

    def test_a_start_is_not_sent_once_its_run_is_told_to_stop(self) -> None:
        request = make_start()
        self.start(request)
        self.assertLess(1.0, self.supervisor.get_order_limit(request.run_id))
        self.supervisor.stop(request.run_id, owner="o1", now=1.0)
        self.assertEqual(float("-inf"), self.supervisor.get_order_limit(request.run_id))

    def test_another_owners_stop_of_a_run_with_the_same_id_is_ignored(self) -> None:
        """Run numbers restart when a job moves to another entry, and stops may arrive late."""
        run_id = self.run_task(make_start())
        self.assertEqual([], self.supervisor.stop(run_id, owner="o0", now=1.0))
        self.assertEqual(
            [OrderStop(run_id=run_id)], self.supervisor.stop(run_id, owner="o1", now=1.0)
        )

    def test_a_stop_is_repeated_though_the_run_makes_progress(self) -> None:
        """A stop may be lost, and the run then continues."""
        run_id = self.run_task(make_start())
        self.supervisor.stop(run_id, owner="o1", now=1.0)
        for number in range(8):
            now = 1.1 + 0.1 * number
            self.poll(ListedRun(run_id, 2.0 + number), now=now)
        self.assertEqual([run_id], self.supervisor.get_unstopped(now=now, older_than_s=0.15))

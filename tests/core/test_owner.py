"""The owner: limits, fairness, retries, deadlines, cancellations and revokes."""

from __future__ import annotations

import random

import msgspec
import testtools

from dalemast.core.configuration import (
    Account,
    Configuration,
    ConfigurationHolder,
    Endpoint,
    EndpointState,
    Limits,
    Service,
)
from dalemast.core.dispatch import (
    JobCancelled,
    JobRequest,
    NothingCanRun,
    Owner,
    OwnerEffects,
    OwnerPolicy,
    UnknownService,
)
from dalemast.core.selectors import SelectorMatchesNothing
from dalemast.core.verdicts import Run
from dalemast.core.wire import (
    AgentFrame,
    AgentHello,
    Load,
    RefusalReason,
    TaskAnswer,
    TaskRefusal,
)

SLOTS = 4


class OwnerTestCase(testtools.TestCase):
    limits = Limits()
    state = EndpointState.LIVE
    policy = OwnerPolicy(admission="open", queue_limit=0)

    def setUp(self) -> None:
        super().setUp()
        self.now = 100.0
        self.numbers = 0
        holder = ConfigurationHolder()
        holder.offer(
            Configuration(
                version=3,
                accounts=(Account(name="a", limits=self.limits), Account(name="b")),
                services=(Service(name="s"),),
                endpoints=(
                    Endpoint(
                        name="e",
                        worker="w",
                        data_centre="d",
                        agent="127.0.0.1:1",
                        services=("s",),
                        slots=SLOTS,
                        state=self.state,
                    ),
                ),
            )
        )
        self.owner = Owner(
            incarnation="i",
            entry="entry",
            configuration=holder,
            policy=self.policy,
            rng=random.Random(1),
            now=self.now,
        )
        self.owner.apply_configuration()
        self.link("session-1")

    def link(self, session: str) -> OwnerEffects:
        self.owner.make_hello("e")
        hello = AgentHello(worker="e", session=session, slots=SLOTS)
        self.owner.open_link(now=self.now, worker="e", hello=hello)
        self.session = session
        return self.owner.collect(now=self.now)

    def submit(
        self, tasks: int, account: str = "a", deadline_s: float = 10.0, **fields: str
    ) -> int:
        request = JobRequest(
            account=account,
            service=fields.get("service", "s"),
            selector=fields.get("selector", ""),
            deadline_s=deadline_s,
            is_repeatable=False,
            payloads=tuple(msgspec.Raw(b"1") for _ in range(tasks)),
            size_bytes=10,
        )
        return self.owner.submit(now=self.now, request=request)

    def collect(self) -> OwnerEffects:
        return self.owner.collect(now=self.now)

    def receive(self, **fields: object) -> OwnerEffects:
        self.numbers += 1
        values = {"session": self.session, "number": self.numbers, **fields}
        frame = AgentFrame(**values)  # type: ignore[arg-type]
        self.owner.receive(now=self.now, worker="e", frame=frame)
        return self.collect()

    def refuse(self, job: int, index: int, reason: RefusalReason, running: int = 0) -> OwnerEffects:
        refusal = TaskRefusal(job=job, index=index, reason=reason)
        return self.receive(refusals=(refusal,), load=Load(running=running))

    def tick(self, seconds: float) -> OwnerEffects:
        self.now += seconds
        self.owner.tick(now=self.now)
        return self.collect()


class SubmitTests(OwnerTestCase):
    def test_jobs_that_can_never_run_are_refused_at_once(self) -> None:
        self.assertRaises(UnknownService, self.submit, 1, service="poker")
        self.assertRaises(SelectorMatchesNothing, self.submit, 1, selector="hall=dallas")

    def test_one_frame_carries_all_tasks_of_an_agent(self) -> None:
        self.submit(2)
        self.submit(1, account="b")
        ((_, frame),) = self.collect().frames
        self.assertEqual([len(start.tasks) for start in frame.starts], [2, 1])
        self.assertEqual(frame.configuration_version, 3)

    def test_no_more_than_the_slots_are_sent(self) -> None:
        self.submit(10)
        ((_, frame),) = self.collect().frames
        self.assertEqual(len(frame.starts[0].tasks), SLOTS)


class LeavingTests(OwnerTestCase):
    state = EndpointState.LEAVING

    def test_job_whose_endpoints_all_leave_is_refused(self) -> None:
        self.assertRaises(NothingCanRun, self.submit, 1)


class LimitTests(OwnerTestCase):
    limits = Limits(running_tasks=2)

    def test_limit_of_running_tasks_does_not_affect_other_accounts(self) -> None:
        self.submit(4)
        self.submit(2, account="b")
        ((_, frame),) = self.collect().frames
        self.assertEqual(sorted(len(start.tasks) for start in frame.starts), [2, 2])


class RefusalTests(OwnerTestCase):
    limits = Limits(retries_per_s=1.0)

    def test_refused_task_is_sent_again_when_capacity_is_free(self) -> None:
        job = self.submit(1)
        self.collect()
        self.assertEqual(self.refuse(job, 0, RefusalReason.FULL, running=SLOTS).frames, ())
        ((_, frame),) = self.receive(load=Load(running=1)).frames
        self.assertEqual(frame.starts[0].tasks[0].index, 0)
        self.assertEqual(self.owner.replaced_tasks, 1)

    def test_task_above_the_retry_budget_waits_for_the_next_tick(self) -> None:
        job = self.submit(2)
        self.collect()
        self.assertEqual(len(self.refuse(job, 0, RefusalReason.UNREACHABLE).frames), 1)
        self.assertEqual(self.refuse(job, 1, RefusalReason.UNREACHABLE).frames, ())
        self.assertEqual(len(self.tick(0.02).frames), 1)

    def test_refusal_by_a_draining_agent_uses_no_retry(self) -> None:
        job = self.submit(3)
        self.collect()
        for index in range(3):
            self.refuse(job, index, RefusalReason.DRAINING)
        self.assertEqual(self.owner.backlog.get_usage("a").queued_tasks, 0)
        self.assertEqual(self.owner.open_jobs, 1)


class EndTests(OwnerTestCase):
    def test_deadline_ends_a_job_that_was_never_sent_as_not_run(self) -> None:
        self.owner.close_link(worker="e")
        self.submit(1, deadline_s=1.0)
        self.collect()
        (result,) = self.tick(2.0).results
        self.assertIs(result.run, Run.NOT_RUN)

    def test_deadline_ends_an_unanswered_job_as_may_have_run_and_cancels_it(self) -> None:
        job = self.submit(2, deadline_s=1.0)
        self.collect()
        effects = self.tick(2.0)
        self.assertIs(effects.results[0].run, Run.MAY_HAVE_RUN)
        self.assertEqual([frame.cancels for _, frame in effects.frames], [(job,)])

    def test_cancel_sends_one_job_number_per_agent(self) -> None:
        job = self.submit(4)
        self.collect()
        self.owner.cancel(job=job, error=JobCancelled("no more"))
        effects = self.collect()
        self.assertEqual([frame.cancels for _, frame in effects.frames], [(job,)])
        self.assertEqual(len(effects.results), 1)

    def test_failed_task_ends_the_job_at_once(self) -> None:
        job = self.submit(2)
        self.collect()
        (result,) = self.receive(answers=(TaskAnswer(job=job, index=0, error="no"),)).results
        self.assertIs(result.run, Run.MAY_HAVE_RUN)
        self.assertFalse(result.is_complete)

    def test_late_answer_of_an_ended_job_changes_nothing(self) -> None:
        job = self.submit(1, deadline_s=1.0)
        self.collect()
        self.tick(2.0)
        self.assertEqual(self.receive(answers=(TaskAnswer(job=job, index=0),)).results, ())


class SessionTests(OwnerTestCase):
    def test_unresolved_tasks_are_sent_again_in_the_same_session(self) -> None:
        self.submit(2)
        self.collect()
        self.owner.close_link(worker="e")
        ((_, frame),) = self.link("session-1").frames
        self.assertEqual(len(frame.starts[0].tasks), 2)

    def test_new_session_loses_the_tasks_sent_before(self) -> None:
        self.submit(2)
        self.collect()
        self.owner.close_link(worker="e")
        effects = self.link("session-2")
        self.assertEqual(effects.frames, ())
        self.assertIs(effects.results[0].run, Run.MAY_HAVE_RUN)

    def test_frame_is_processed_once(self) -> None:
        job = self.submit(1)
        self.collect()
        answer = TaskAnswer(job=job, index=0)
        self.assertEqual(len(self.receive(answers=(answer,)).results), 1)
        self.numbers -= 1
        self.assertEqual(self.receive(answers=(answer,)).results, ())

    def test_confirmation_without_other_content_is_delayed(self) -> None:
        job = self.submit(1)
        self.collect()
        self.receive(answers=(TaskAnswer(job=job, index=0),))
        self.assertEqual(self.tick(5.0).frames, ())
        ((_, frame),) = self.tick(6.0).frames
        self.assertEqual((frame.seen, frame.starts), (1, ()))


class RevokeTests(OwnerTestCase):
    policy = OwnerPolicy(admission="open", queue_limit=2)

    def test_overdue_task_is_revoked_once(self) -> None:
        job = self.submit(1)
        self.collect()
        ((_, frame),) = self.tick(3.0).frames
        self.assertEqual([(key.job, key.index) for key in frame.revokes], [(job, 0)])
        self.assertEqual(self.tick(1.0).frames, ())
        effects = self.refuse(job, 0, RefusalReason.REVOKED)
        self.assertEqual(len(effects.frames), 1)

"""Jobs, verdicts and the allowed task state transitions."""

from __future__ import annotations

import msgspec
import testtools
from hypothesis import given
from hypothesis import strategies as st

from dalemast.core.dispatch import JobRequest, WorkerLost
from dalemast.core.dispatch.jobs import Job
from dalemast.core.selectors import Selector
from dalemast.core.verdicts import (
    ALLOWED_TRANSITIONS,
    IllegalTransition,
    Run,
    TaskState,
    get_verdict,
)

VERDICTS = [
    ({TaskState.WAITING}, Run.NOT_RUN),
    ({TaskState.REVOKED}, Run.NOT_RUN),
    ({TaskState.WAITING, TaskState.REVOKED}, Run.NOT_RUN),
    ({TaskState.SENT}, Run.MAY_HAVE_RUN),
    ({TaskState.LOST}, Run.MAY_HAVE_RUN),
    ({TaskState.REVOKED, TaskState.LOST}, Run.MAY_HAVE_RUN),
    ({TaskState.DONE, TaskState.SENT}, Run.MAY_HAVE_RUN),
    ({TaskState.DONE}, Run.RAN),
    ({TaskState.FAILED, TaskState.REVOKED}, Run.RAN),
]


def make_job(tasks: int) -> Job:
    request = JobRequest(
        account="a",
        service="s",
        selector="",
        deadline_s=1.0,
        is_repeatable=False,
        payloads=tuple(msgspec.Raw(b"%d" % n) for n in range(tasks)),
        size_bytes=tasks,
    )
    return Job(number=1, request=request, selectors=(Selector(), Selector()), now=0.0)


class VerdictTests(testtools.TestCase):
    def test_verdicts(self) -> None:
        for states, verdict in VERDICTS:
            self.assertEqual(get_verdict(states), verdict, str(states))

    @given(st.sets(st.sampled_from(TaskState), min_size=1))
    def test_not_run_needs_evidence_for_every_task(self, states: set[TaskState]) -> None:
        is_proved = states <= {TaskState.WAITING, TaskState.REVOKED}
        self.assertEqual(get_verdict(states) is Run.NOT_RUN, is_proved)


class JobTests(testtools.TestCase):
    @given(st.permutations(list(range(6))))
    def test_answers_stand_in_task_order_however_they_come(self, order: list[int]) -> None:
        job = make_job(6)
        job.take_waiting(6)
        for index in order:
            self.assertFalse(job.is_answered)
            job.set_state(index, TaskState.SENT)
            job.answer(index, msgspec.Raw(b"%d" % index))
        self.assertTrue(job.is_answered)
        self.assertEqual([bytes(a) for a in job.finish().answers], [b"%d" % n for n in range(6)])

    def test_a_failed_job_has_no_answers(self) -> None:
        job = make_job(2)
        (index,) = job.take_waiting(1)
        job.set_state(index, TaskState.SENT)
        job.answer(index, msgspec.Raw(b"1"))
        result = job.fail(WorkerLost("gone"))
        self.assertEqual(result.answers, ())
        self.assertEqual(result.run, Run.RAN)

    def test_transitions_outside_the_table_raise(self) -> None:
        for current in TaskState:
            for wanted in set(TaskState) - ALLOWED_TRANSITIONS[current]:
                job = make_job(1)
                job._states[0] = current
                self.assertRaises(IllegalTransition, job.set_state, 0, wanted)

    def test_a_task_that_may_have_started_never_waits_again(self) -> None:
        for state in (TaskState.DONE, TaskState.FAILED, TaskState.LOST):
            self.assertNotIn(TaskState.WAITING, ALLOWED_TRANSITIONS[state])
            self.assertNotIn(TaskState.REVOKED, ALLOWED_TRANSITIONS[state])

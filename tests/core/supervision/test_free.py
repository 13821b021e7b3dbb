"""The free capacity of a supervisor, compared with the sum of its runs."""

from __future__ import annotations

import testtools
from hypothesis import given
from hypothesis import strategies as st

from dalemast.core.scheduling import EndReason
from dalemast.core.supervision import (
    EndedRun,
    RunId,
    StartOutcome,
    StartRequest,
    Supervisor,
    SupervisorLimits,
    WorkerIncarnation,
)
from dalemast.core.workloads import Resources, TaskKey

CAPACITY = Resources(cpu=8000, memory_mb=8000, gpu=2)

steps = st.lists(
    st.tuples(st.sampled_from(["start", "end", "reject", "lose"]), st.integers(1, 6)), max_size=40
)


def make_life(number: int) -> WorkerIncarnation:
    return WorkerIncarnation(
        id=f"life-{number}",
        service="floor",
        data_centre="austin",
        capacity=CAPACITY,
        labels=frozenset(),
        is_leaving=False,
    )


class FreeCapacityTests(testtools.TestCase):
    @given(steps)
    def test_free_room_is_the_capacity_less_what_runs(self, plan: list[tuple[str, int]]) -> None:
        limits = SupervisorLimits(owner_timeout_s=1e6, lease_s=0.6, stop_s=0.05)
        supervisor = Supervisor(limits=limits)
        lives = ends = 0
        supervisor.register_incarnation(make_life(lives), now=0.0)
        supervisor.handle_poll((), (), asked_at=0.0, now=0.0)
        for now, (kind, number) in enumerate(plan):
            run_id = RunId(f"job-{number}", TaskKey(0, 0), 1)
            if kind == "start":
                request = StartRequest(
                    owner="owner",
                    run_id=run_id,
                    payload="",
                    resources=Resources(cpu=1000 * number, memory_mb=10 * number, gpu=number % 2),
                    expected_s=1.0,
                    number=now,
                    sent_at=float(now),
                )
                supervisor.start(request, now=float(now))
            elif kind == "end":
                ends += 1
                end = EndedRun(ends, run_id, EndReason.DONE)
                supervisor.handle_poll((), (end,), asked_at=float(now), now=float(now))
            elif kind == "reject":
                supervisor.handle_start_outcome(
                    run_id, StartOutcome.REJECTED, now=float(now), expires_at=now + 1.0
                )
            else:
                lives += 1
                supervisor.lose_incarnation(is_over=True)
                supervisor.register_incarnation(make_life(lives), now=float(now))
                supervisor.handle_poll((), (), asked_at=float(now), now=float(now))
            used = Resources()
            for run in supervisor.runs.values():
                used += run.request.resources
            self.assertEqual(CAPACITY - used, supervisor.get_free())

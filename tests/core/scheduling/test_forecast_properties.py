"""Property tests: a refused job has not run, and no worker with free capacity could serve it.

The model is that of :mod:`tests.core.scheduling.test_properties`, with forecasts, arbitrary reports
from agents and peers, and workers that are considered slow at any time.
"""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import rule

from dalemast.core.scheduling import (
    Action,
    CapacityRelease,
    JobRefused,
    LoadPolicy,
)
from dalemast.core.scheduling.jobs import LATE_FACTOR, START_MARGIN
from dalemast.core.scheduling.retry_times import RETRY_AFTER_S
from tests.core.scheduling.base import make_queue
from tests.core.scheduling.test_properties import WORKERS, OwnerMachine

ROUNDING_S = 1e-6
ANY_NUMBER = st.one_of(st.floats(0.0, 5.0), st.floats())
COMING = st.builds(CapacityRelease, in_s=ANY_NUMBER, cpu=st.integers(-(10**6), 10**6))


class ForecastingOwnerMachine(OwnerMachine):
    """Drives a scheduler that refuses jobs by forecast."""

    policy = LoadPolicy(forecasts=True)

    def __init__(self) -> None:
        self.latest_end: dict[str, float] = {}
        self.chain_s = 0.0
        self.core_s = 0.0
        super().__init__()
        self.scheduler._forecasts._elsewhere = self

    def get_core_s_ahead(self, service: str, priority: int, now: float) -> float:
        return self.core_s

    def apply(self, actions: list[Action]) -> None:
        super().apply(actions)
        for action in actions:
            if isinstance(action, JobRefused):
                self.check_refusal(action)

    def check_refusal(self, refused: JobRefused) -> None:
        lowest, highest = RETRY_AFTER_S
        assert lowest <= refused.retry_after_s <= highest
        arrived_at = self.now - refused.waited_s
        chain_s = self.scheduler.estimate_completion_s(refused.job) / (1.0 + START_MARGIN)
        objective_s = make_queue().get_objective_s(chain_s)
        left_s = arrived_at + LATE_FACTOR * objective_s - self.now
        needed = refused.job.steps[0].resources
        for view in self.scheduler.workers.values():
            has_room = view.is_accepting and needed.fits(view.free)
            end_s = view.get_slowness(self.now) * chain_s
            assert not has_room or end_s > left_s - ROUNDING_S, f"{view.name} had room"

    @rule(name=st.sampled_from(WORKERS), rows=st.lists(COMING, max_size=5))
    def tell_coming(self, name: str, rows: list[CapacityRelease]) -> None:
        self.scheduler.note_capacity_releases(name, tuple(rows), now=self.now)

    @rule(core_s=ANY_NUMBER)
    def tell_demand(self, core_s: float) -> None:
        self.core_s = core_s

    @rule(jobs=st.integers(2, 6), seconds=st.floats(0.01, 0.4))
    def burst(self, jobs: int, seconds: float) -> None:
        """Submit more jobs than can start, and let time pass before all of them are late."""
        for _ in range(jobs):
            self.submit(4)
        self.pass_time(seconds)

    @rule(name=st.sampled_from(WORKERS), slowness=st.floats(0.5, 8.0))
    def distrust(self, name: str, slowness: float) -> None:
        view = self.scheduler.workers.get(name)
        if view is not None:
            view.learn_slowness(slowness, now=self.now, weight=1.0)


ForecastingOwnerMachine.TestCase.settings = settings(max_examples=150, stateful_step_count=40)
ForecastingOwnerTests = ForecastingOwnerMachine.TestCase

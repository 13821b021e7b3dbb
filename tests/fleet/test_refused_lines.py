"""Tests of the log record of a refused job, from which operators find the cause."""

from __future__ import annotations

import asyncio
import math
from typing import Any
from unittest import mock

from dalemast.core.scheduling import (
    Forecast,
    JobRefused,
    RefusalCause,
    WorkerExclusions,
)
from dalemast.fleet.base import JobRejected
from dalemast.fleet.entry.job_tracker import JobTracker
from tests.core.scheduling.base import make_step
from tests.fleet.test_job_tracker import (
    JOB,
    JobTrackerTestCase,
    make_job,
)


class RefusalLogTests(JobTrackerTestCase):
    def test_it_names_the_rules_that_excluded_the_workers(self) -> None:
        async def scenario() -> None:
            tracker = self.make_tracker("w1", "w2", "w3")
            slow = self.scheduler.workers["w3"]
            slow.learn_slowness(5.0, now=self.now, weight=1.0)
            for name in ("w1", "w2"):
                self.scheduler.workers[name].suspend()
            with mock.patch("dalemast.fleet.entry.job_tracker.log_event") as log:
                job = asyncio.ensure_future(tracker.run(make_job(JOB, make_step())))
                await asyncio.sleep(0)
                tracker.tick(self.now + 1.0)
                self.assertIsInstance(await job, JobRejected)
            (record,) = [call for call in log.call_args_list if call.args == ("job:refused",)]
            self.assertEqual({"not_accepting": 2, "too_slow": 1}, record.kwargs["left_out"])

        asyncio.run(scenario())

    def test_it_contains_the_forecast_and_the_work_queued_ahead(self) -> None:
        async def scenario() -> None:
            tracker = self.make_tracker("w1")
            forecast = Forecast(begin_s=1.5, here_core_s=2.0, elsewhere_core_s=40.0, cores=64.0)
            record = self.refuse(tracker, forecast)
            fields = ("forecast_s", "ahead_here_core_s", "ahead_elsewhere_core_s", "suiting_cores")
            self.assertEqual([1.5, 2.0, 40.0, 64.0], [record[name] for name in fields])

        asyncio.run(scenario())

    def test_an_unforeseeable_start_is_null(self) -> None:
        async def scenario() -> None:
            forecast = Forecast(begin_s=math.inf, here_core_s=0.0, elsewhere_core_s=0.0, cores=0.0)
            self.assertIsNone(self.refuse(self.make_tracker("w1"), forecast)["forecast_s"])

        asyncio.run(scenario())

    def test_without_a_forecast_the_fields_are_left_out(self) -> None:
        async def scenario() -> None:
            self.assertNotIn("forecast_s", self.refuse(self.make_tracker("w1"), None))

        asyncio.run(scenario())

    def refuse(self, tracker: JobTracker, forecast: Forecast | None) -> dict[str, Any]:
        """Return the log fields of a job that is refused at its arrival."""
        refused = JobRefused(
            job=make_job(JOB, make_step()),
            cause=RefusalCause.OVERLOAD,
            retry_after_s=0.2,
            waited_s=0.0,
            waiting_jobs=1,
            workers=1,
            needed_cpu=1000,
            free_cpu=0,
            view_age_s=0.0,
            left_out=WorkerExclusions(no_room=1),
            forecast=forecast,
        )
        with mock.patch("dalemast.fleet.entry.job_tracker.log_event") as log:
            tracker.apply([refused])
        (call,) = log.call_args_list
        return dict(call.kwargs)

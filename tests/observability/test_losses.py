"""The cause of each lost or late job is found from the log lines."""

from __future__ import annotations

import json
from typing import Any

from testtools import TestCase

from dalemast.observability.losses import count_losses, find_losses

ENDED = {"message_type": "job:ended", "state": "succeeded", "objective_s": 1.0, "took_s": 0.5}
REFUSED = {"message_type": "job:refused", "cause": "overload", "needed_cpu": 2000}


def make_line(at: float, **fields: Any) -> str:
    row = {"process": "e1", "timestamp": 1000.0 + at, "queue": "draws", **fields}
    return f"  {at:.4f} host {json.dumps(row)}\n"


class LossTests(TestCase):
    def find_cause(self, **fields: Any) -> str:
        losses = find_losses([make_line(0.0, **fields)])
        return losses[0].cause if losses else ""

    def test_a_job_within_its_objective_is_no_loss(self) -> None:
        self.assertEqual("", self.find_cause(**ENDED))

    def test_each_loss_has_its_cause(self) -> None:
        late = {**ENDED, "took_s": 1.5, "runs": 2, "tasks": 2}
        cases = [
            ("late: started in time, ran too long", {**late, "waited_s": 0.1}),
            ("late: waited for capacity", {**late, "waited_s": 0.4}),
            ("late: a task ran again", {**late, "runs": 3}),
            ("late: its tasks started one after another", {**late, "spread_s": 0.3}),
            ("failed: failed", {**ENDED, "state": "failed"}),
            ("refused: all workers full", {**REFUSED, "free_cpu": 1999}),
            (
                "refused: capacity only on workers that may be too slow",
                {**REFUSED, "free_cpu": 2000},
            ),
            (
                "refused: capacity only on excluded workers: label, too_slow",
                {**REFUSED, "free_cpu": 0, "left_out": {"no_room": 5, "label": 1, "too_slow": 2}},
            ),
            ("refused: no-workers", {**REFUSED, "cause": "no-workers"}),
            (
                "dropped: caller hung up",
                {"message_type": "job:dropped", "cause": "caller hung up"},
            ),
        ]
        for cause, fields in cases:
            self.assertEqual(cause, self.find_cause(**fields))

    def test_losses_are_counted_by_second_and_data_centre(self) -> None:
        lines = [
            make_line(0.0, message_type="process:started", data_centre="austin"),
            "a line of another program {",
            make_line(2.5, **REFUSED, free_cpu=0, view_age_s=0.1),
            make_line(2.9, **REFUSED, free_cpu=0),
        ]
        losses = find_losses(lines)
        self.assertEqual([2, 2], [loss.second for loss in losses])
        self.assertEqual([0.1, None], [loss.view_age_s for loss in losses])
        counts = count_losses(losses, lambda loss: loss.data_centre)
        self.assertEqual({"austin": {"refused: all workers full": 2}}, counts)

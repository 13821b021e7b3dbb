"""Pictures of rounds and days."""

from __future__ import annotations

import json
from pathlib import Path
from tempfile import TemporaryDirectory

from testtools import TestCase

from dalemast.bench.plots import draw_day, draw_rounds, read_day, read_rounds

START = 1_700_000_000.0


def make_line(kind: str, at_s: float, **fields: object) -> str:
    row = {"timestamp": START + at_s, "message_type": kind, **fields}
    return f"   {at_s:.4f} entry-0 {json.dumps(row)}\n"


class RoundsTests(TestCase):
    def test_scores_are_read_and_drawn_and_other_runs_are_passed_over(self) -> None:
        with TemporaryDirectory() as name:
            journal = Path(name)
            days = [{"name": "quiet-1", "G": 0.95}, {"name": "scale-1", "G": None}]
            entries = [
                {"cmd": "score", "site": "cards", "at": ["2026-12-02T15:00:00Z"], "days": days},
                {"cmd": "run", "site": "cards", "at": ["2026-12-02T15:01:00Z"], "days": days},
                {"cmd": "score", "site": "cards", "at": ["2026-12-02T15:02:00Z"], "days": None},
            ]
            for number, entry in enumerate(entries):
                (journal / f"{number}.json").write_text(json.dumps(entry))
            (found,) = read_rounds(journal)
            self.assertEqual({"quiet-1": 0.95}, found.worth)
            draw_rounds([found], journal / "rounds.svg")
            self.assertIn("<svg", (journal / "rounds.svg").read_text())


class DayTests(TestCase):
    def test_ends_are_summed_up_by_second(self) -> None:
        lines = [
            make_line("process:started", 0.0),
            make_line("job:ended", 1.1, took_s=0.2),
            make_line("job:ended", 1.2, took_s=0.4),
            make_line("job:refused", 1.3),
            make_line("job:dropped", 2.5),
            "no line of ours\n",
            '{"cut off\n',
        ]
        first, second = read_day(lines)
        self.assertEqual((1, 2, 1, 0), (first.second, first.answered, first.refused, first.dropped))
        self.assertAlmostEqual(0.3, first.median_s)
        self.assertEqual((2, 0, 1), (second.second, second.answered, second.dropped))
        with TemporaryDirectory() as name:
            draw_day([first, second], Path(name) / "day.svg")
            self.assertIn("<svg", (Path(name) / "day.svg").read_text())

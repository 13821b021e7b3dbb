"""The capacity page matches the calculation from the recorded slopes."""

from __future__ import annotations

from pathlib import Path

import msgspec
import testtools

from dalemast.bench.capacity import PAGE, RECORDED, render_page
from dalemast.bench.fit import Slope, fit_slope
from dalemast.bench.target import Model

ROOT = Path(__file__).parents[2]


class CapacityTests(testtools.TestCase):
    def test_page_matches_the_recorded_slopes(self) -> None:
        slopes = msgspec.json.decode((ROOT / RECORDED).read_bytes(), type=list[Slope])
        page = (ROOT / PAGE).read_text()
        self.assertEqual(page, render_page(page, slopes), "run make docs")

    def test_another_slope_gives_another_page(self) -> None:
        slopes = msgspec.json.decode((ROOT / RECORDED).read_bytes(), type=list[Slope])
        page = (ROOT / PAGE).read_text()
        doubled = [
            msgspec.structs.replace(s, slope=s.slope * 2) if s.name == "entry.job" else s
            for s in slopes
        ]
        self.assertNotEqual(page, render_page(page, doubled))
        self.assertGreater(Model(doubled).entries, Model(slopes).entries)

    def test_fit_finds_the_line(self) -> None:
        slope = fit_slope(name="n", x="x", y="y", points=[(1.0, 5.0), (2.0, 7.0), (4.0, 11.0)])
        self.assertAlmostEqual(slope.intercept, 3.0)
        self.assertAlmostEqual(slope.slope, 2.0)
        self.assertAlmostEqual(slope.residual, 0.0)
        self.assertAlmostEqual(slope.at(10.0), 23.0)

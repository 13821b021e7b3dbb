"""Placement: free capacity, tiers, candidates, and the subset of entries for each worker."""

from __future__ import annotations

import random

import testtools
from hypothesis import given
from hypothesis import strategies as st

from dalemast.core.configuration import Endpoint, EndpointState
from dalemast.core.placement import (
    HealthMonitor,
    PackingPlacement,
    SpreadingPlacement,
    WorkerPool,
    WorkerView,
    get_placement,
)
from dalemast.core.placement.subsetting import is_in_subset
from dalemast.core.selectors import Selector, parse_selector
from dalemast.core.wire import Load

NOW = 50.0


def make_endpoint(number: int, data_centre: str = "austin") -> Endpoint:
    return Endpoint(
        name=f"e{number}",
        worker=f"w{number}",
        data_centre=data_centre,
        agent="127.0.0.1:1",
        services=("s",),
        slots=8,
    )


def make_view(number: int, running: int = 0, data_centre: str = "austin") -> WorkerView:
    view = WorkerView(endpoint=make_endpoint(number, data_centre))
    view.open_session(session="s", slots=8)
    view.handle_report(load=Load(running=running), now=NOW)
    return view


class PlacementTests(testtools.TestCase):
    def choose(
        self, policy: str, count: int, views: list[WorkerView], **fields: object
    ) -> dict[str, int]:
        placement = get_placement(policy, data_centre="austin", queue_limit=0)
        allotments = placement.choose(
            count=count,
            candidates=views,
            health=fields.get("health", HealthMonitor()),  # type: ignore[arg-type]
            now=NOW,
            rng=random.Random(1),
        )
        return {allotment.worker.name: allotment.count for allotment in allotments}

    def test_packing_uses_one_worker_if_one_has_capacity_for_all(self) -> None:
        chosen = self.choose("packing", 6, [make_view(0, 4), make_view(1, 1), make_view(2, 5)])
        self.assertEqual(chosen, {"e1": 6})

    def test_spreading_balances_the_load(self) -> None:
        chosen = self.choose("spreading", 6, [make_view(0, 4), make_view(1, 4), make_view(2, 4)])
        self.assertEqual(chosen, {"e0": 2, "e1": 2, "e2": 2})

    def test_workers_of_the_same_data_centre_go_first(self) -> None:
        views = [make_view(0, 5), make_view(1, 0, "waco")]
        self.assertEqual(self.choose("packing", 4, views), {"e0": 3, "e1": 1})

    def test_worker_with_an_overdue_task_goes_last(self) -> None:
        views = [make_view(0), make_view(1, 6, "waco")]
        views[0].overdue = 1
        self.assertEqual(self.choose("packing", 3, views), {"e1": 2, "e0": 1})

    def test_full_draining_leaving_and_unlinked_workers_get_nothing(self) -> None:
        full, draining, leaving, unlinked = (make_view(n) for n in range(4))
        full.handle_report(load=Load(running=8), now=NOW)
        draining.handle_report(load=Load(draining=True), now=NOW)
        leaving.is_host_leaving = True
        unlinked.is_linked = False
        declared = WorkerView(
            endpoint=Endpoint(
                name="x",
                worker="x",
                data_centre="d",
                agent="127.0.0.1:1",
                services=(),
                state=EndpointState.LEAVING,
            )
        )
        declared.open_session(session="s", slots=8)
        views = [full, draining, leaving, unlinked, declared]
        for policy in ("packing", "spreading"):
            self.assertEqual(self.choose(policy, 5, views), {})

    def test_worker_that_refused_gets_nothing_until_it_reports_capacity(self) -> None:
        view = make_view(0)
        view.await_capacity()
        self.assertEqual(self.choose("packing", 1, [view]), {})
        view.handle_report(load=Load(running=7), now=NOW)
        self.assertEqual(self.choose("packing", 1, [view]), {"e0": 1})

    @given(st.lists(st.integers(0, 8), min_size=1, max_size=40), st.integers(1, 110))
    def test_no_worker_gets_more_than_its_room(self, loads: list[int], count: int) -> None:
        for placement in (PackingPlacement(), SpreadingPlacement()):
            views = [make_view(number, running) for number, running in enumerate(loads)]
            allotments = placement.choose(
                count=count,
                candidates=views,
                health=HealthMonitor(),
                now=NOW,
                rng=random.Random(1),
            )
            for allotment in allotments:
                self.assertLessEqual(allotment.count, 8 - allotment.worker.reported_total)
            self.assertLessEqual(sum(a.count for a in allotments), count)


class PoolTests(testtools.TestCase):
    def test_candidates_follow_the_configuration(self) -> None:
        pool = WorkerPool()
        pool.update([make_endpoint(0), make_endpoint(1, "waco")])
        selectors = (Selector(), parse_selector("data-centre=waco"))
        names = [v.name for v in pool.get_candidates(service="s", selectors=selectors)]
        self.assertEqual(names, ["e1"])
        pool.update([make_endpoint(0, "waco")])
        names = [v.name for v in pool.get_candidates(service="s", selectors=selectors)]
        self.assertEqual(names, ["e0"])
        self.assertEqual(pool.get_candidates(service="t", selectors=selectors), ())

    def test_removed_worker_stays_while_it_holds_tasks(self) -> None:
        pool = WorkerPool()
        pool.update([make_endpoint(0)])
        view = pool.get_views()[0]
        view.own = 1
        pool.update([])
        self.assertFalse(pool.get_views()[0].is_usable)
        view.own = 0
        pool.update([])
        self.assertEqual(pool.get_views(), [])


class SubsettingTests(testtools.TestCase):
    @given(st.integers(1, 30), st.integers(1, 10))
    def test_each_worker_is_linked_by_exactly_the_limit(self, entries: int, limit: int) -> None:
        names = [f"entry-{n}" for n in range(entries)]
        linked = [n for n in names if is_in_subset(entry=n, entries=names, worker="w", limit=limit)]
        self.assertEqual(len(linked), min(entries, limit))

"""What waits at all entries, under owners that race for the same room with words of any age."""

from __future__ import annotations

import math

import testtools

from dalemast.core.scheduling import LeastSlackOrder, LoadPolicy, QueuedDemand, Scheduler
from dalemast.core.scheduling.demand import (
    LIFETIME_INTERVALS,
    MAX_ENTRIES,
    MAX_NAME_LENGTH,
    MAX_ROWS,
    DemandTracker,
)
from dalemast.core.scheduling.placements import FastestPlacement
from dalemast.core.scheduling.scheduler import SchedulerLimits
from tests.core.scheduling.base import (
    LOST_RUN_S,
    SchedulerTestCase,
    get_starts,
    make_job,
    make_queue,
    make_step,
)

PAUSE_S = 0.25
URGENT, PLAIN = 0, 2
NOW = 10.0


def make_word(**fields: object) -> QueuedDemand:
    values = {"service": "floor", "priority": PLAIN, "data_centre": "austin"}
    return QueuedDemand(**{**values, "jobs": 3, "core_s": 6.0, **fields})


class DemandBookTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.book = DemandTracker()
        self.book.set_renewal_interval(PAUSE_S)

    def note(self, entry: str, *words: QueuedDemand, now: float = NOW) -> bool:
        return self.book.record(entry, words, now)

    def get_core_s_ahead(self, priority: int = PLAIN, now: float = NOW) -> float:
        return self.book.get_core_s_ahead("floor", priority, now)

    def get_places(self, priority: int = PLAIN, now: float = NOW) -> dict[str, float]:
        return self.book.get_core_s_ahead_by_data_centre("floor", priority, now)

    def test_only_what_is_at_least_as_urgent_is_ahead(self) -> None:
        self.note("e2", make_word(priority=URGENT, core_s=1.0), make_word(core_s=10.0))
        self.note("e3", make_word(priority=URGENT, core_s=0.5))
        self.note("e3", make_word(priority=URGENT, core_s=0.5), make_word(service="other"))
        self.assertEqual(1.5, self.get_core_s_ahead(URGENT))
        self.assertEqual(11.5, self.get_core_s_ahead(PLAIN))

    def test_totals_are_by_data_centre(self) -> None:
        self.note("e2", make_word(priority=URGENT, core_s=1.0), make_word(core_s=10.0))
        self.note("e3", make_word(data_centre="waco", core_s=4.0))
        self.assertEqual({"austin": 11.0, "waco": 4.0}, self.get_places())
        self.assertEqual({"austin": 1.0}, self.get_places(URGENT))
        self.assertEqual({}, self.book.get_core_s_ahead_by_data_centre("other", PLAIN, NOW))

    def test_a_peer_that_dies_takes_its_word_along(self) -> None:
        self.note("e2", make_word())
        self.note("e3", make_word(core_s=1.0))
        self.book.forget("e2")
        self.book.forget("never-met")
        self.assertEqual(1.0, self.get_core_s_ahead())

    def test_the_word_of_a_frozen_peer_fades_and_is_dropped(self) -> None:
        self.note("e2", make_word(core_s=6.0))
        self.assertEqual(6.0, self.get_core_s_ahead(now=NOW + PAUSE_S))
        faded = self.get_core_s_ahead(now=NOW + 2.25 * PAUSE_S)
        self.assertAlmostEqual(3.0, faded)
        over = NOW + LIFETIME_INTERVALS * PAUSE_S
        self.assertEqual(0.0, self.get_core_s_ahead(now=over))
        self.assertAlmostEqual(3.0, self.get_places(now=NOW + 2.25 * PAUSE_S)["austin"])
        self.assertEqual({}, self.get_places(now=over))
        self.assertEqual(["e2"], self.book.sweep(over))
        self.assertEqual(0, len(self.book))

    def test_a_renewed_word_does_not_fade(self) -> None:
        for beat in range(20):
            self.note("e2", make_word(core_s=6.0), now=NOW + beat * PAUSE_S)
        self.assertEqual(6.0, self.get_core_s_ahead(now=NOW + 20 * PAUSE_S))

    def test_words_live_longer_among_many_entries_whose_beats_are_rarer(self) -> None:
        self.book.set_renewal_interval(0.85)
        self.note("e2", make_word(core_s=6.0))
        self.assertEqual(6.0, self.get_core_s_ahead(now=NOW + 0.9))

    def test_a_young_peer_counts_for_nothing_before_its_first_word(self) -> None:
        self.assertEqual(0.0, self.get_core_s_ahead())
        self.note("young")
        self.assertEqual(0, len(self.book))

    def test_a_new_word_replaces_all_of_the_one_before(self) -> None:
        self.note("e2", make_word(priority=URGENT), make_word())
        self.note("e2", make_word(core_s=2.0))
        self.assertEqual(0.0, self.get_core_s_ahead(URGENT))
        self.assertEqual(2.0, self.get_core_s_ahead())
        self.note("e2")
        self.assertEqual(0.0, self.get_core_s_ahead())

    def test_an_absurd_word_is_not_used_and_takes_the_one_before_along(self) -> None:
        absurd = [
            {"core_s": math.nan},
            {"core_s": math.inf},
            {"core_s": -1.0},
            {"core_s": 1e15},
            {"jobs": -1},
            {"jobs": 10**12},
            {"priority": -1},
            {"service": ""},
            {"service": "x" * (MAX_NAME_LENGTH + 1)},
            {"data_centre": "x" * (MAX_NAME_LENGTH + 1)},
        ]
        self.note("sound", make_word(core_s=1.0))
        for fields in absurd:
            self.assertTrue(self.note("e2", make_word()))
            self.assertFalse(self.note("e2", make_word(), make_word(**fields)), fields)
            self.assertEqual(1.0, self.get_core_s_ahead(), fields)

    def test_a_word_of_too_many_rows_or_of_one_row_twice_is_not_used(self) -> None:
        rows = [make_word(service=f"s{number}") for number in range(MAX_ROWS + 1)]
        self.assertFalse(self.note("e2", *rows))
        self.assertFalse(self.note("e2", make_word(), make_word()))
        self.assertEqual(0, len(self.book))

    def test_an_unknown_service_is_ahead_of_nobody(self) -> None:
        self.assertTrue(self.note("e2", make_word(service="unheard-of")))
        self.assertEqual(0.0, self.get_core_s_ahead())

    def test_memory_is_bounded_and_words_that_are_over_make_room(self) -> None:
        for number in range(MAX_ENTRIES + 10):
            self.note(f"foreign-{number}", make_word())
        self.assertEqual(MAX_ENTRIES, len(self.book))
        later = NOW + LIFETIME_INTERVALS * PAUSE_S
        self.assertTrue(self.note("e2", make_word(core_s=6.0), now=later))
        self.assertEqual(6.0, self.get_core_s_ahead(now=later))
        self.assertEqual(1, len(self.book))

    def test_ages_are_shown(self) -> None:
        self.note("e2", make_word())
        (heard,) = self.book.list_peer_demand(NOW + 0.1)
        self.assertEqual("e2", heard.entry)
        self.assertAlmostEqual(0.1, heard.age_s)
        self.assertEqual((make_word(),), heard.demand)


class OwnDemandTests(SchedulerTestCase):
    """What an entry tells of the jobs that found no room."""

    def setUp(self) -> None:
        super().setUp()
        self.scheduler = self.make_sharing_scheduler(shares_demand=True)

    def make_sharing_scheduler(self, *, shares_demand: bool) -> Scheduler:
        return Scheduler(
            order=LeastSlackOrder(),
            placement=FastestPlacement(remote_factor=1.5),
            limits=SchedulerLimits(lost_run_s=LOST_RUN_S),
            started_at=0.0,
            policy=LoadPolicy(shares_demand=shares_demand),
        )

    def fill_and_submit(self) -> None:
        """Let long work hold the only worker while urgent and plain jobs arrive."""
        self.add_worker("w1", cpu=4000)
        self.scheduler.submit(make_job("long", make_step(4, estimate_s=2.0)), now=NOW)
        for name, priority in (("a", URGENT), ("b", PLAIN), ("c", PLAIN)):
            queue = make_queue(name=f"draws-{priority}", priority=priority, slack_s=0.3)
            self.scheduler.submit(make_job(name, make_step(2), queue=queue), now=NOW)

    def test_what_waits_is_summed_up_by_priority(self) -> None:
        self.fill_and_submit()
        urgent, plain = self.scheduler.get_demand(now=NOW)
        self.assertEqual(("floor", URGENT, 1), (urgent.service, urgent.priority, urgent.jobs))
        self.assertAlmostEqual(0.2, urgent.core_s)
        self.assertEqual((PLAIN, 2), (plain.priority, plain.jobs))
        self.assertAlmostEqual(0.4, plain.core_s)

    def test_what_has_begun_or_can_only_be_late_is_left_out(self) -> None:
        self.fill_and_submit()
        self.assertEqual((), self.scheduler.get_demand(now=NOW + 1.0))
        self.scheduler.cancel("a")
        (plain,) = self.scheduler.get_demand(now=NOW)
        self.assertEqual(2, plain.jobs)

    def test_a_calm_entry_has_nothing_to_tell(self) -> None:
        self.add_worker("w1")
        self.assertEqual(1, len(get_starts(self.scheduler.submit(make_job("a"), now=NOW))))
        self.assertEqual((), self.scheduler.get_demand(now=NOW))

    def test_run_times_that_were_learned_count(self) -> None:
        self.fill_and_submit()
        before = self.scheduler.get_demand(now=NOW)[0].core_s
        for _ in range(20):
            self.scheduler._run_times.learn(queue="draws-0", declared_s=0.1, actual_s=0.3)
        self.assertGreater(self.scheduler.get_demand(now=NOW)[0].core_s, 2 * before)

    def test_the_words_of_others_come_and_go(self) -> None:
        self.scheduler.note_demand("e2", (make_word(),), now=NOW)
        self.assertEqual(6.0, self.scheduler.demand.get_core_s_ahead("floor", PLAIN, NOW))
        self.scheduler.forget_demand("e2")
        self.assertEqual(0.0, self.scheduler.demand.get_core_s_ahead("floor", PLAIN, NOW))

    def test_nothing_is_told_or_believed_unless_it_is_asked_for(self) -> None:
        self.scheduler = self.make_sharing_scheduler(shares_demand=False)
        self.fill_and_submit()
        self.assertEqual((), self.scheduler.get_demand(now=NOW))
        self.scheduler.note_demand("e2", (make_word(),), now=NOW)
        self.assertEqual(0.0, self.scheduler.demand.get_core_s_ahead("floor", PLAIN, NOW))


class CallerWordTests(SchedulerTestCase):
    """One caller's absurd job waits among those of others: the entry's word is still believed."""

    policy = LoadPolicy(shares_demand=True)

    def test_a_job_of_absurd_length_does_not_spoil_the_word(self) -> None:
        self.scheduler.submit(make_job("usual"), now=NOW)
        for number, estimate_s in enumerate((math.nan, math.inf, -math.inf, -1.0, 1e15)):
            job = make_job(f"j{number}", make_step(estimate_s=estimate_s))
            self.scheduler.submit(job, now=NOW)
        words = self.scheduler.get_demand(now=NOW)
        self.assertTrue(DemandTracker().record("e1", words, NOW))
        self.assertGreaterEqual(sum(word.core_s for word in words), 0.1)

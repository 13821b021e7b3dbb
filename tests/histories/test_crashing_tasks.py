"""Tasks that crash each worker they run on: the number of such starts must stay bounded, also when
the owner, its links or the caller's connection are lost, and other jobs must be served as usual."""

from __future__ import annotations

import unittest
from dataclasses import replace

from tests.histories.base import Cut, Drop, Fault, Freeze, HangUp, History, JobPlan, Kill
from tests.histories.draw import play

PLAYS = 8
WORKERS = 9
AT_ONCE_S = 0.01
LATER_S = 0.25
"""Times from the start of a task to the crash of its worker."""
SOUND_JOBS = 12
SOUND_S = 0.4
CRASHING = JobPlan(at_s=0.0, run_s=(1.0,), crash_s=(AT_ONCE_S,))
LASTS_S = 12.0
MIN_SHARE = 0.95
"""Minimum share of the sound jobs that succeed."""


def make_sound_jobs(entries: int) -> tuple[JobPlan, ...]:
    """Return jobs of four tasks that arrive while the crashing job is open."""
    return tuple(
        JobPlan(at_s=0.05 * number, run_s=(SOUND_S,) * 4, entry=number % entries)
        for number in range(SOUND_JOBS)
    )


class CrashTestCase(unittest.TestCase):
    """Plays one history with several seeds."""

    def play_all(
        self,
        *faults: Fault,
        crashing: tuple[JobPlan, ...] = (CRASHING,),
        entries: int = 2,
        workers: int = WORKERS,
    ) -> float:
        """Check the bound on starts in all plays; return the share of sound jobs that succeed."""
        succeeded = asked = 0
        for crash_s in (AT_ONCE_S, LATER_S):
            crashing_now = tuple(_set_crash_s(job, crash_s) for job in crashing)
            sound = make_sound_jobs(entries)
            drawn = History(
                seed=0,
                jobs=(*crashing_now, *sound),
                faults=faults,
                entries=entries,
                clock_rates=(1.0,) * workers,
                duration_s=LASTS_S,
            )
            for seed in range(PLAYS // 2):
                outcome = play(replace(drawn, seed=seed))
                self.assertEqual([], outcome.broken, "\n".join(outcome.trace[-400:]))
                self.assertGreater(outcome.crashes, 1)
                self.assertEqual(0, outcome.late_starts, "started again after three crashes")
                first = len(crashing_now)
                ends = [outcome.states.get(first + number) for number in range(len(sound))]
                succeeded += ends.count("succeeded")
                asked += len(ends)
                for number in range(first):
                    self.assertNotEqual("succeeded", outcome.states.get(number))
        return succeeded / asked


def _set_crash_s(job: JobPlan, crash_s: float) -> JobPlan:
    """Return a copy of a job whose crashing tasks crash after ``crash_s``."""
    return replace(job, crash_s=tuple(at if at is None else crash_s for at in job.crash_s))


class WithoutOtherFaultsTests(CrashTestCase):
    """Without other faults, sound jobs must succeed beside crashing tasks."""

    def test_a_job_of_one_task(self) -> None:
        self.assertGreaterEqual(self.play_all(entries=1), MIN_SHARE)

    def test_a_job_of_one_task_beside_another_entry(self) -> None:
        self.assertGreaterEqual(self.play_all(), MIN_SHARE)

    def test_one_task_of_four(self) -> None:
        job = JobPlan(at_s=0.0, run_s=(1.0,) * 4, crash_s=(None, AT_ONCE_S, None, None))
        self.assertGreaterEqual(self.play_all(crashing=(job,)), MIN_SHARE)

    def test_all_tasks_of_a_job(self) -> None:
        """All tasks crash their first workers together; no burst of restarts must follow."""
        job = JobPlan(at_s=0.0, run_s=(1.0,) * 4, crash_s=(AT_ONCE_S,) * 4)
        self.assertGreaterEqual(self.play_all(crashing=(job,)), MIN_SHARE)

    def test_two_jobs_at_two_entries(self) -> None:
        other = replace(CRASHING, at_s=0.1, entry=1)
        self.assertGreaterEqual(self.play_all(crashing=(CRASHING, other)), MIN_SHARE)


class SubmittedAgainTests(CrashTestCase):
    """A caller that resubmits the job must not reset the number of its crashes."""

    def test_unnoticed(self) -> None:
        self.play_all(HangUp(job=0, at_s=0.04, is_noticed=False))

    def test_noticed_four_times(self) -> None:
        self.play_all(*(HangUp(job=0, at_s=0.04 + 1.4 * number) for number in range(4)))

    def test_noticed_after_each_crash(self) -> None:
        self.play_all(*(HangUp(job=0, at_s=0.03 + 1.32 * number) for number in range(6)))


class LostOwnerTests(CrashTestCase):
    """The number of crashes must survive processes that know it being killed or unreachable."""

    def test_the_owner_is_killed(self) -> None:
        self.play_all(Kill(process="entry-0", at_s=0.06, for_s=1.0))

    def test_owners_are_killed_in_turn(self) -> None:
        kills = [
            Kill(process=f"entry-{number % 2}", at_s=0.04 + 1.4 * number, for_s=1.0)
            for number in range(4)
        ]
        self.play_all(*kills)

    def test_the_owner_is_paused(self) -> None:
        self.play_all(Freeze(process="entry-0", at_s=0.03, for_s=2.0))

    def test_the_owner_is_cut_off_from_agents(self) -> None:
        cuts = [
            Cut(sender="entry-0", receiver=f"agent-{number}", at_s=0.05, for_s=1.5)
            for number in range(0, WORKERS, 2)
        ]
        self.play_all(*cuts)

    def test_links_are_reset_as_workers_crash(self) -> None:
        drops = [
            Drop(first="entry-0", second=f"agent-{number}", at_s=at_s)
            for number in range(WORKERS)
            for at_s in (0.02, 0.05, 0.3)
        ]
        self.play_all(*drops)

    def test_agents_are_killed(self) -> None:
        kills = [
            Kill(process=f"agent-{number}", at_s=0.02 + 0.1 * number, for_s=0.5)
            for number in range(WORKERS)
        ]
        self.play_all(*kills)

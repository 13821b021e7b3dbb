"""Entries that cannot reach each other must not both grant the id of a job that a caller submits
to one after the other: its task would run twice. Agents that reach both entries prevent it."""

from __future__ import annotations

from dataclasses import replace

from tests.histories.base import (
    CallEffect,
    Cut,
    Fault,
    Freeze,
    HangUp,
    History,
    JobPlan,
    Kill,
)
from tests.histories.draw import draw_cut_history, play
from tests.histories.test_orders import OrdersTestCase, fail_calls

RUN_S = 9.0
CUT_AT_S = 0.1
CUT_S = 6.0
PLAYS = 24
"""Seeds per order of events, enough for packet delays to produce each order."""
UNHEARD = HangUp(job=0, at_s=0.3, is_noticed=False)


def cut(sender: str, receiver: str, *, is_both_ways: bool = True) -> Cut:
    """Return a cut between two hosts that begins shortly after the job starts."""
    return Cut(
        sender=sender, receiver=receiver, at_s=CUT_AT_S, for_s=CUT_S, is_both_ways=is_both_ways
    )


class CutEntriesTestCase(OrdersTestCase):
    def check_cut(self, *faults: Fault, entries: int = 2) -> None:
        """Check that no play runs the job's task twice."""
        self.check(*faults, UNHEARD, runs=(RUN_S,), entries=entries, plays=PLAYS, duration_s=7.0)


class CommonAgentsTests(CutEntriesTestCase):
    """At least one agent can reach both entries."""

    def test_two_entries_are_cut_off_from_each_other(self) -> None:
        self.check_cut(cut("entry-0", "entry-1"))

    def test_the_second_entry_does_not_receive_from_the_first(self) -> None:
        self.check_cut(cut("entry-0", "entry-1", is_both_ways=False))

    def test_the_first_entry_does_not_receive_from_the_second(self) -> None:
        self.check_cut(cut("entry-1", "entry-0", is_both_ways=False))

    def test_three_entries_are_cut_off_each_from_each(self) -> None:
        cuts = [("entry-0", "entry-1"), ("entry-0", "entry-2"), ("entry-1", "entry-2")]
        self.check_cut(*(cut(*pair) for pair in cuts), entries=3)

    def test_two_entries_are_cut_off_and_the_third_is_killed(self) -> None:
        kill = Kill(process="entry-2", at_s=CUT_AT_S, for_s=CUT_S)
        self.check_cut(cut("entry-0", "entry-1"), kill, entries=3)

    def test_two_entries_are_cut_off_and_one_agent_is_paused(self) -> None:
        for agent in ("agent-0", "agent-1"):
            freeze = Freeze(process=agent, at_s=0.2, for_s=1.0)
            self.check_cut(cut("entry-0", "entry-1"), freeze)

    def test_the_second_entry_restarts_beyond_the_cut(self) -> None:
        kill = Kill(process="entry-1", at_s=0.2, for_s=0.4)
        self.check_cut(cut("entry-0", "entry-1"), kill)

    def test_both_entries_reach_only_one_of_the_agents(self) -> None:
        self.check_cut(cut("entry-0", "entry-1"), cut("entry-1", "agent-1"))

    def test_the_job_is_submitted_while_its_entry_is_cut_off_already(self) -> None:
        jobs = (JobPlan(at_s=1.5, run_s=(RUN_S,)),)
        hang_up = replace(UNHEARD, at_s=1.8)
        self.check(
            cut("entry-0", "entry-1"), hang_up, jobs=jobs, entries=2, plays=PLAYS, duration_s=7.0
        )


class SplitTests(CutEntriesTestCase):
    """No process can reach both entries."""

    def test_each_agent_hears_only_one_of_the_entries(self) -> None:
        self.check_cut(
            cut("entry-0", "entry-1"), cut("entry-0", "agent-1"), cut("entry-1", "agent-0")
        )

    def test_a_drawn_split_by_cuts_of_which_one_is_one_way(self) -> None:
        """Seed 3742 of the drawn histories with cut entries."""
        self.check_drawn(3742)

    def test_a_drawn_split_into_which_a_job_is_moved(self) -> None:
        """Seed 10398: the first entry lost its run and restarted it in its own partition."""
        self.check_drawn(10398)

    def check_drawn(self, seed: int) -> None:
        history = draw_cut_history(seed)
        for _ in range(PLAYS):
            outcome = play(history)
            self.assertEqual([], outcome.broken, "\n".join(outcome.trace))


class CutOffTests(CutEntriesTestCase):
    """An isolated entry that reaches agents before the other entry must not start its jobs again:
    its claims have expired, and the other entry may run them."""

    HEALS_S = (1.2, 1.6, 2.0, 2.5, 3.0, 4.0)
    """How long the connections to agents are cut; the shortest is about the lifetime of a claim."""

    def check_cut_off(self, hang_up: HangUp, *jobs: JobPlan, peers_s: float = CUT_S) -> None:
        for heal_s in self.HEALS_S:
            cuts = [
                Cut(sender="entry-0", receiver=agent, at_s=CUT_AT_S, for_s=heal_s)
                for agent in ("agent-0", "agent-1")
            ]
            between = Cut(sender="entry-0", receiver="entry-1", at_s=CUT_AT_S, for_s=peers_s)
            self.check(
                between, *cuts, hang_up, jobs=jobs, entries=2, plays=PLAYS // 2, duration_s=7.0
            )

    def test_a_job_that_had_begun(self) -> None:
        self.check_cut_off(UNHEARD, JobPlan(at_s=0.0, run_s=(RUN_S,)))

    def test_a_job_that_waited_for_capacity(self) -> None:
        others = JobPlan(at_s=0.0, run_s=(1.0,) * 8, entry=1)
        waiting = JobPlan(at_s=0.02, run_s=(RUN_S,))
        self.check_cut_off(replace(UNHEARD, job=1), others, waiting)

    def test_a_job_that_came_meanwhile(self) -> None:
        hang_up = replace(UNHEARD, at_s=0.7)
        self.check_cut_off(hang_up, JobPlan(at_s=0.6, run_s=(RUN_S,)))


class RemainingRunsTests(CutEntriesTestCase):
    """An entry that starts after agents have lost another one must not grant itself the ids of that
    entry's jobs before the leases of their runs have expired."""

    def test_an_entry_starts_as_agents_lose_the_one_that_it_never_met(self) -> None:
        stops = fail_calls("stop", CallEffect.LOST, for_s=3.0)
        for at_s in (0.5, 0.7, 0.9, 1.1, 1.3):
            begins = Kill(process="entry-1", at_s=-0.9, for_s=at_s + 0.85)
            apart = Cut(sender="entry-0", receiver="entry-1", at_s=-0.95, for_s=9.0)
            cuts = [
                Cut(sender="entry-0", receiver=agent, at_s=at_s, for_s=4.0)
                for agent in ("agent-0", "agent-1")
            ]
            for left_at_s in (0.1, 0.2, 0.3):
                hang_up = replace(UNHEARD, at_s=left_at_s)
                self.check(
                    begins,
                    apart,
                    *cuts,
                    hang_up,
                    *stops,
                    runs=(RUN_S,),
                    entries=2,
                    plays=PLAYS // 2,
                )


class AloneTests(CutEntriesTestCase):
    """An entry whose peers are all down must still accept jobs."""

    def test_an_entry_whose_only_peer_is_dead_starts_all_jobs(self) -> None:
        jobs = tuple(JobPlan(at_s=0.2 * number, run_s=(0.1,)) for number in range(12))
        for seed in range(3):
            dead = Kill(process="entry-1", at_s=-0.9, for_s=30.0)
            history = History(seed=seed, jobs=jobs, faults=(dead,), entries=2)
            outcome = play(history)
            self.assertEqual([], outcome.broken, "\n".join(outcome.trace))
            self.assertEqual(len(jobs), outcome.starts)
            self.assertEqual(["JobDone"] * len(jobs), outcome.answers)

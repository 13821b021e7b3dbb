"""The supervisor of one worker: pure decisions, fed by messages and a clock value.

It is the only caller of its worker, hence the one place where room is kept. Room counts as taken
from the moment an order is given until the worker lists the run's end, or until the order's lease
has ended on the worker's clock without the run being listed.

A run is kept alive by its owner's words, each for as long as the agent's patience. The worker's
lease follows the run whose owner has been silent for longest, so that a run ends by itself even if
every stop gets lost.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from dalemast.core.scheduling.actions import CapacityRequest, EndReason
from dalemast.core.scheduling.load import (
    DEFAULT_LOAD_POLICY,
    CapacityRelease,
    LoadPolicy,
)
from dalemast.core.supervision.acceptance import Acceptance
from dalemast.core.supervision.actions import (
    Action,
    OrderStart,
    OrderStop,
    PreemptRun,
    ReportCapacity,
    ReportEnd,
)
from dalemast.core.supervision.base import (
    EndedRun,
    ListedRun,
    RunId,
    StartOutcome,
    StartRequest,
    WorkerIncarnation,
)
from dalemast.core.supervision.capacity_releases import list_releases
from dalemast.core.supervision.departures import DepartureWatch
from dalemast.core.supervision.health import WorkerHealth
from dalemast.core.supervision.incarnations import WorkerIncarnations
from dalemast.core.supervision.leases import MIN_LEASE_SHARE
from dalemast.core.supervision.owner_leases import OwnerLeases
from dalemast.core.supervision.preemption import (
    FRESH_S,
    PreemptionBudget,
    PreemptionReservations,
    VictimChoice,
    get_lost_core_s,
)
from dalemast.core.supervision.runs import (
    Run,
    RunPhase,
    estimate_min_pace,
)
from dalemast.core.supervision.slow import judge_run
from dalemast.core.supervision.speeds import SpeedRecord
from dalemast.core.workloads import Resources

__all__ = ["Supervisor", "SupervisorLimits"]

STOP_MARGIN_S = 0.03
"""Added to the time of a stop for the worker's clock and the way of its answer."""
GONE_AFTER_S = 0.25
"""How long after its order was answered a run may be missing from the worker's list, and from
the ends, before it is taken as over. Answers on other connections can be overtaken by this much."""


@dataclass(frozen=True, kw_only=True, slots=True)
class SupervisorLimits:
    """``owner_timeout_s``: an owner's runs are stopped when it is silent for longer.

    ``lease_s`` is how long the worker runs on after its agent's last word, and ``stop_s`` the
    longest time that a stop takes on it.
    """

    owner_timeout_s: float
    lease_s: float
    stop_s: float


class Supervisor:
    """Keeps one worker's room and runs. Every method returns the actions that follow."""

    def __init__(
        self, *, limits: SupervisorLimits, policy: LoadPolicy = DEFAULT_LOAD_POLICY
    ) -> None:
        self._limits = limits
        self._policy = policy
        self._lives = WorkerIncarnations()
        self._acceptance = Acceptance()
        self._runs: dict[RunId, Run] = {}
        self._used = Resources()
        """What the runs take together; summing it up anew for each report to each owner took 4 % of
        an agent's processor time."""
        self._strays: set[RunId] = set()
        self._health = WorkerHealth()
        self._speeds = SpeedRecord()
        self._speeds_life = ""
        """The life of the worker whose speed is recorded."""
        self._words = OwnerLeases(timeout_s=limits.owner_timeout_s)
        self._budget = PreemptionBudget()
        self._takeovers = PreemptionReservations()
        self._departures = DepartureWatch()
        self._has_looked = False
        self._has_settled = False

    @property
    def incarnation(self) -> WorkerIncarnation | None:
        """The worker's life, once it has reported."""
        return self._lives.current

    @property
    def runs(self) -> dict[RunId, Run]:
        """What runs or was ordered."""
        return self._runs

    @property
    def orphaned_runs(self) -> frozenset[RunId]:
        """What runs on the worker that this life of the agent does not know."""
        return frozenset(self._strays)

    @property
    def health(self) -> WorkerHealth:
        """Whether the worker is trusted."""
        return self._health

    @property
    def budget_core_s(self) -> float:
        """What may be thrown away for more urgent work now, in core-seconds."""
        return self._budget.core_s

    @property
    def reservations(self) -> PreemptionReservations:
        """The room that is being made for owners, or kept for them."""
        return self._takeovers

    @property
    def speeds(self) -> SpeedRecord:
        """How fast this life of the worker is, by the runs of all owners."""
        return self._speeds

    @property
    def has_work(self) -> bool:
        """Whether the worker has to be looked at: something runs, or nobody knows yet."""
        acceptance = self._acceptance
        if self._lives.claimant is not None or acceptance.is_silent or acceptance.is_ending:
            return True
        return bool(self._runs or self._strays or not self._has_looked)

    @property
    def lease_s(self) -> float:
        """How long the worker runs on after its agent's last word, in seconds."""
        return self._limits.lease_s

    @property
    def is_leaving(self) -> bool:
        """Whether the worker has said that it leaves, so that its end is no crash."""
        return self._acceptance.is_ending or (
            self.incarnation is not None and self.incarnation.is_leaving
        )

    @property
    def is_idle(self) -> bool:
        """Whether no owner's run is left."""
        return not self._runs

    @property
    def is_settled(self) -> bool:
        """Whether nothing runs on the worker that this life of the agent does not know."""
        return self.incarnation is not None and self._has_looked and not self._strays

    @property
    def has_settled(self) -> bool:
        """Whether nothing unknown has run there at some moment since the worker was met.

        Owners take it from the agent that a run which it does not list is over. So a new life of an
        agent keeps its worker to itself until it has looked, which also bars the orders that its
        last life left under way by a higher fencing token, and until all strays have ended. A stray
        that begins later is none of the runs that owners still count on.
        """
        return self.incarnation is not None and self._has_settled

    def get_free(self) -> Resources:
        """Return what is free on the worker."""
        incarnation = self._lives.current
        return Resources() if incarnation is None else incarnation.capacity - self._used

    def get_free_for(self, owner: str) -> Resources:
        """Return what an owner may count on: what is free, less what is kept for others."""
        return self.get_free() - Resources(cpu=self._takeovers.get_held_cpu(owner))

    def get_remaining_s(self, *, now: float) -> float | None:
        """Return the least time that the worker has left, in seconds; None if it stays."""
        return self._departures.get_remaining_s(now=now)

    def get_pace(self) -> float:
        """Return how slow the jobs that run show the worker to be, or 0 if they are too few."""
        return estimate_min_pace(self._runs.values())

    def get_releases(self, *, now: float) -> tuple[CapacityRelease, ...]:
        """Return when room comes free for starts, soonest first."""
        return list_releases(self._runs.values(), now=now) if self.is_accepting(now=now) else ()

    def is_accepting(self, *, now: float) -> bool:
        """Tell whether starts are taken."""
        if self.incarnation is None or not self._acceptance.allows(self.incarnation):
            return False
        if not self.is_settled:
            return False
        if self.get_lease_limit() - now < MIN_LEASE_SHARE * self._limits.lease_s:
            # Something can't be stopped, so all that runs there may soon end with the lease.
            return False
        return self._health.may_start(running=len(self._runs), now=now)

    def get_lease_limit(self) -> float:
        """Return until when the worker may be told to run on; minus infinity is not at all.

        What this life of the agent does not know may have an owner that counts it as over.
        """
        if not self.is_settled or self._acceptance.is_ending:
            return float("-inf")
        return self._words.get_first_expiry(self._runs.values()) + self._limits.lease_s

    def get_order_limit(self, run_id: RunId) -> float:
        """Return the same for a start; minus infinity once the run is not wanted any more."""
        run = self._runs.get(run_id)
        if run is None or run.phase is not RunPhase.ORDERED:
            return float("-inf")
        return self.get_lease_limit()

    def register_incarnation(self, incarnation: WorkerIncarnation, *, now: float) -> list[Action]:
        """Take in a worker's account of itself. With a new life, all that ran is over.

        While another life is known, it stays until the worker has shown which of the two is there.
        """
        known = self.incarnation
        if not self._lives.meet(incarnation, now=now):
            return []
        if known is None:
            return [*self._begin_life(), *self._watch_departure(incarnation, now)]
        has_changed = (known.is_leaving, known.capacity) != (
            incarnation.is_leaving,
            incarnation.capacity,
        )
        changes: list[Action] = [ReportCapacity()] if has_changed else []
        return [*changes, *self._watch_departure(incarnation, now)]

    def lose_incarnation(self, *, is_over: bool, is_refused: bool = False) -> list[Action]:
        """Note that the worker is gone: its process ended, so nothing runs there.

        ``is_over`` tells that this life can't come back: it said that it ends, or another life
        answers in its place. One that is only out of reach may report again. ``is_refused`` tells
        that nothing listens in its place.
        """
        has_said_so = self._acceptance.is_ending
        reason = self._explain_loss(is_process_gone=is_over or is_refused)
        claimant = self._lives.lose(is_over=is_over, has_said_so=has_said_so)
        self._strays.clear()
        self._departures.begin_incarnation()
        self._acceptance.is_ending = False
        self._acceptance.is_silent = False
        actions = [*self._end_all(reason), ReportCapacity()]
        if claimant is not None:
            actions += self._begin_life()
        return actions

    def end_incarnation(self, life_id: str) -> list[Action]:
        """Take in a life's word that it ends.

        It may run on for some seconds, with what runs there: that is over once the worker refuses
        connections or its lease, which is renewed no more, has lapsed.
        """
        if self.incarnation is None or self.incarnation.id != life_id:
            self._lives.bar(life_id)
            return []
        self._acceptance.is_ending = True
        return [ReportCapacity()]

    def restore_incarnation(self, life_id: str) -> bool:
        """Take a life's word back that it ends, since it was another writer's.

        Return whether it had been believed. The life's own reports and answers tell the rest.
        """
        if self.incarnation is not None and self.incarnation.id == life_id:
            was_ending = self._acceptance.is_ending
            self._acceptance.is_ending = False
            return was_ending
        return self._lives.restore(life_id)

    def drain(self) -> list[Action]:
        """Take no more starts."""
        self._acceptance.is_draining = True
        return [ReportCapacity()]

    def set_evacuated(self, data_centres: frozenset[str]) -> list[Action]:
        """Take no starts while the worker is in one of these data centres; what runs goes on."""
        self._acceptance.evacuated = data_centres
        return [ReportCapacity()]

    def note_unresponsive(self) -> list[Action]:
        """Take no starts until the worker answers a look."""
        self._acceptance.is_silent = True
        return [ReportCapacity()]

    def start(self, request: StartRequest, *, now: float) -> list[Action]:
        """Take an owner's start, or say that it was not taken."""
        known = self._runs.get(request.run_id)
        if known is not None and known.request.is_same(request):
            return []
        if known is not None or self._words.is_expired(request.sent_at, now=now):
            # A run of this name is one of the job's earlier submission, which is about to end.
            return [self._refuse(request, EndReason.NOT_TAKEN), ReportCapacity()]
        self.renew_owner(request.owner, sent_at=request.sent_at)
        if not self.is_accepting(now=now):
            return [self._refuse(request, EndReason.NOT_TAKEN), ReportCapacity()]
        held = Resources(cpu=self._takeovers.get_held_from(request.owner, request.priority))
        if not request.resources.fits(self.get_free() - held):
            return [self._refuse(request, EndReason.NO_ROOM), ReportCapacity()]
        self._runs[request.run_id] = Run(request=request, ordered_at=now)
        self._used += request.resources
        self._takeovers.note_start(request.owner, request.priority)
        return [OrderStart(request=request), ReportCapacity()]

    def handle_start_outcome(
        self, run_id: RunId, outcome: StartOutcome, *, now: float, expires_at: float
    ) -> list[Action]:
        """Take in what became of an order. ``expires_at`` is when it can no longer be done."""
        run = self._runs.get(run_id)
        if run is None or not run.is_order_open:
            return []
        run.is_order_open = False
        if run.phase is not RunPhase.ORDERED:
            if run.phase is RunPhase.STOPPING and outcome is StartOutcome.UNANSWERED:
                # It may begin yet, however long ago it was told to stop.
                run.expires_at = expires_at
            return []
        if outcome is StartOutcome.RUNNING:
            run.phase = RunPhase.RUNNING
            run.has_begun = True
            run.started_at = now
            run.progressed_at = now
            return []
        if outcome is StartOutcome.UNANSWERED:
            self._health.note_failed(run_id.job_id, now=now)
            self._begin_stop(run, now)
            run.expires_at = expires_at
            return [OrderStop(run_id=run_id), ReportCapacity()]
        if outcome is StartOutcome.NOT_LISTENING:
            # Until a look finds the worker there, or gone: others would be turned away one by one.
            self._acceptance.is_silent = True
            return self._end(run, EndReason.NOT_TAKEN, now)
        if outcome in (StartOutcome.REJECTED, StartOutcome.WRONG_LIFE, StartOutcome.FENCED):
            self._health.note_failed(run_id.job_id, now=now)
            return self._end(run, EndReason.NOT_TAKEN, now)
        if outcome is StartOutcome.RUN_USED:
            # An earlier try of this order may have been carried out unanswered, and its run may
            # have ended since: the next look tells how, if it did.
            self._begin_stop(run, now)
            run.expires_at = now
            return []
        return self._end(run, EndReason.NO_ROOM, now)

    def stop(self, run_id: RunId, *, owner: str, now: float) -> list[Action]:
        """Stop a run at its owner's wish; another owner may have one of the same name."""
        run = self._runs.get(run_id)
        if run is None or run.request.owner != owner or run.phase is RunPhase.STOPPING:
            return []
        return [self._begin_stop(run, now)]

    def preempt(
        self, owner: str, want: CapacityRequest, *, sent_at: float, now: float
    ) -> list[Action]:
        """Stop less urgent runs for a job that finds no room, if that is worth what is lost.

        ``sent_at`` is when the owner said so at the earliest, by this agent's steady clock.
        """
        incarnation = self._lives.current
        if incarnation is None or not self.is_accepting(now=now) or self._takeovers.has_open(owner):
            return []
        if not now - sent_at <= FRESH_S:
            return []
        choice = VictimChoice(
            stop_s=self._limits.stop_s,
            free_cpu=self.get_free_for(owner).cpu,
            capacity_cpu=incarnation.capacity.cpu,
            budget_core_s=self._budget.core_s,
        )
        victims = choice.choose(self._runs.values(), want, now=now)
        if not victims:
            return []
        self._takeovers.begin(owner, want, victims, now=now)
        return [self._preempt_run(run, want, now) for run in victims]

    def withdraw_request(self, owner: str) -> list[Action]:
        """Note that an owner wants no room any more, so that others get what was kept for it."""
        return [ReportCapacity()] if self._takeovers.give_up(owner) else []

    def handle_stop_response(self, run_id: RunId, *, now: float) -> list[Action]:
        """Note that the worker answered a stop.

        A run that was never listed can't begin any more. It may be going, though, and then it ends
        within the time that a stop takes.
        """
        run = self._runs.get(run_id)
        if run is not None and run.expires_at is not None and not run.was_listed:
            run.barred_at = now + self._limits.stop_s + STOP_MARGIN_S
        return []

    def handle_poll(
        self,
        running: Iterable[ListedRun],
        ended: Iterable[EndedRun],
        *,
        asked_at: float,
        now: float,
    ) -> list[Action]:
        """Take in the worker's lists, as they were after ``asked_at``."""
        was_ready = self.is_settled and not self._acceptance.is_silent
        self._acceptance.is_silent = False
        self._lives.confirm(asked_at=asked_at)
        actions: list[Action] = []
        for end in ended:
            actions += self._see_end(end, now)
        listed = set()
        for row in running:
            listed.add(row.run_id)
            actions += self._see_running(row, now)
        self._strays &= listed
        self._has_looked = True
        self._has_settled |= self.is_settled
        if self.is_settled and not was_ready:
            # From now on starts are taken, and owners hear of it by the report alone.
            actions.append(ReportCapacity())
        for run in self._runs.values():
            if run.phase is RunPhase.RUNNING:
                actions += self._judge_pace(run, now)
        actions += self._departures.review(self._runs.values(), now=now)
        for run in list(self._runs.values()):
            if run.request.run_id not in listed:
                actions += self._see_missing(run, asked_at, now)
        return actions

    def renew_owner(self, owner: str, *, sent_at: float) -> None:
        """Note that an owner keeps its runs alive, but for those that were told to stop."""
        self._words.renew(owner, sent_at=sent_at)

    def reset_departure_reports(self, owner: str) -> None:
        """Let an owner that was just met be told anew of runs that are cut short."""
        for run in self._runs.values():
            if run.request.owner == owner:
                run.told_cut = None

    def get_owner_runs(self, owner: str) -> list[RunId]:
        """Return the runs of one owner."""
        return [run_id for run_id, run in self._runs.items() if run.request.owner == owner]

    def tick(self, *, now: float) -> list[Action]:
        """Stop the runs of owners that fell silent; end those that are barred."""
        actions: list[Action] = []
        for run in list(self._runs.values()):
            if run.barred_at is not None and now >= run.barred_at and not run.was_listed:
                actions += self._end(run, EndReason.STOPPED, now)
        for run in self._runs.values():
            if run.phase is not RunPhase.STOPPING and now > self._words.get_expiry(run):
                actions.append(self._begin_stop(run, now))
        if self._takeovers.drop_overdue(now=now):
            actions.append(ReportCapacity())
        return actions

    def get_unstopped(self, *, now: float, older_than_s: float) -> list[RunId]:
        """Return runs that were told to stop and are still listed, so that it is said again."""
        return [
            run_id
            for run_id, run in self._runs.items()
            if run.stopping_since is not None and now - run.stopping_since > older_than_s
        ]

    def _begin_stop(self, run: Run, now: float) -> OrderStop:
        """Tell a run to stop. From now on its owner's words keep it alive no longer."""
        run.kept_until = self._words.get_expiry(run)
        run.phase = RunPhase.STOPPING
        run.stopping_since = now
        return OrderStop(run_id=run.request.run_id)

    def _preempt_run(self, run: Run, want: CapacityRequest, now: float) -> PreemptRun:
        """Tell a run to give way. It counts as going until the worker has shown that it ended."""
        assert want.preempts_from is not None
        self._begin_stop(run, now)
        run.is_preempted = True
        lost_core_s = get_lost_core_s(run, now=now)
        self._budget.spend(lost_core_s)
        return PreemptRun(
            run_id=run.request.run_id,
            priority=run.request.priority,
            preempts_from=want.preempts_from,
            age_s=now - run.started_at,
            lost_core_s=lost_core_s,
        )

    def _see_running(self, row: ListedRun, now: float) -> list[Action]:
        run = self._runs.get(row.run_id)
        if run is None:
            self._strays.add(row.run_id)
            return [OrderStop(run_id=row.run_id)]
        run.listed_at = now
        run.has_begun = True
        if run.phase is RunPhase.ORDERED:
            run.phase = RunPhase.RUNNING
            run.started_at = now
        if row.percent > run.percent:
            run.percent = row.percent
            run.progressed_at = now
        return []

    def _judge_pace(self, run: Run, now: float) -> list[Action]:
        report = judge_run(run, get_worker_pace=self.get_pace, now=now)
        if report is None:
            return []
        if report.is_stalled:
            self._health.note_failed(report.run_id.job_id, now=now)
        return [report]

    def _see_missing(self, run: Run, asked_at: float, now: float) -> list[Action]:
        if run.expires_at is not None:
            return self._end(run, EndReason.STOPPED, now) if asked_at > run.expires_at else []
        if run.is_order_open or asked_at - run.started_at < GONE_AFTER_S:
            return []
        return self._end(run, EndReason.STOPPED, now)

    def _see_end(self, end: EndedRun, now: float) -> list[Action]:
        self._strays.discard(end.run_id)
        run = self._runs.get(end.run_id)
        if run is None:
            return []
        if end.reason is EndReason.DONE:
            self._health.note_done()
            self._note_work(run, now)
            self._learn_speed(run, now)
        elif end.reason is EndReason.FAILED:
            self._health.note_failed(end.run_id.job_id, now=now)
        return self._end(run, end.reason, now)

    def _note_work(self, run: Run, now: float) -> None:
        """Count work that ended well: a share of it may be thrown away for more urgent work."""
        incarnation = self._lives.current
        if incarnation is not None:
            core_s = get_lost_core_s(run, now=now)
            self._budget.note_done(core_s, capacity_cpu=incarnation.capacity.cpu)

    def _learn_speed(self, run: Run, now: float) -> None:
        request = run.request
        job_id = request.run_id.job_id
        run_s = now - run.started_at
        self._speeds.learn(job_id, run_s=run_s, expected_s=request.expected_s)

    def _end(self, run: Run, reason: EndReason, now: float) -> list[Action]:
        request = run.request
        del self._runs[request.run_id]
        self._used -= request.resources
        self._takeovers.note_end(request.run_id, now=now)
        report = ReportEnd(
            owner=request.owner,
            run_id=request.run_id,
            reason=_name_end(run, reason),
            run_s=now - run.started_at,
        )
        return [report, ReportCapacity()]

    def _watch_departure(self, incarnation: WorkerIncarnation, now: float) -> list[Action]:
        """Tell owners when the worker leaves, and which of their runs it can't end."""
        if not self._policy.plans_departures:
            return []
        told = self._departures.meet(incarnation, now=now)
        if not incarnation.is_leaving:
            # Owners forget what is cut short, and are told anew if it leaves after all.
            for run in self._runs.values():
                run.told_cut = None
        return [*told, *self._departures.review(self._runs.values(), now=now)]

    def _begin_life(self) -> list[Action]:
        """Start over with a life of which nothing is known yet, or that was out of reach."""
        incarnation = self.incarnation
        if incarnation is not None and incarnation.id != self._speeds_life:
            self._speeds = SpeedRecord()
            self._speeds_life = incarnation.id
        self._health = WorkerHealth()
        self._takeovers.clear()
        self._strays.clear()
        self._has_looked = False
        self._has_settled = False
        self._acceptance.is_silent = False
        return [ReportCapacity()]

    def _explain_loss(self, *, is_process_gone: bool) -> EndReason:
        """Return how the runs ended that a lost life had.

        One that is only silent may be cut off, and one that leaves ends as it was planned to.
        """
        return EndReason.CRASHED if is_process_gone and not self.is_leaving else EndReason.STOPPED

    def _end_all(self, reason: EndReason) -> list[Action]:
        ends: list[Action] = [
            ReportEnd(
                owner=run.request.owner, run_id=run_id, reason=_name_end(run, reason), run_s=0.0
            )
            for run_id, run in self._runs.items()
        ]
        self._runs.clear()
        self._takeovers.clear()
        self._used = Resources()
        return ends

    def _refuse(self, request: StartRequest, reason: EndReason) -> ReportEnd:
        return ReportEnd(owner=request.owner, run_id=request.run_id, reason=reason, run_s=0.0)


def _name_end(run: Run, reason: EndReason) -> EndReason:
    """Return how a run ended; one that ended otherwise before its stop did so that way."""
    if run.is_preempted and reason is EndReason.STOPPED:
        return EndReason.PREEMPTED
    return reason

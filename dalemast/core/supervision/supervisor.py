"""The supervisor of one worker: decisions without I/O, from messages and clock readings.

Its agent is the worker's only caller, so this is the one place that accounts for capacity. Capacity
counts as used from the order of a run until the worker lists the run's end, or until the order's
lease has ended on the worker's clock without the run being listed.

Each message of an owner keeps its runs alive for the owner timeout. The worker's lease follows the
run with the earliest expiry, so that runs end by themselves even if every stop is lost.
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
    MAX_REQUEST_AGE_S,
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
from dalemast.core.supervision.slow import get_slow_report
from dalemast.core.supervision.speeds import SpeedRecord
from dalemast.core.workloads import Resources

__all__ = ["Supervisor", "SupervisorLimits"]

STOP_MARGIN_S = 0.03
"""Added to the time of a stop, for clock error and the delay of its answer, in seconds."""
GONE_AFTER_S = 0.25
"""How long after its start a run may be missing from the worker's lists before it counts as ended,
in seconds, since answers on different connections may arrive out of order."""


@dataclass(frozen=True, kw_only=True, slots=True)
class SupervisorLimits:
    """Time limits of a supervisor, in seconds.

    An owner's runs are stopped ``owner_timeout_s`` after it sent its last message. All runs end
    ``lease_s`` after the agent last renewed the lease. ``stop_s`` is the maximum time that a stop
    takes.
    """

    owner_timeout_s: float
    lease_s: float
    stop_s: float


class Supervisor:
    """Manages one worker's capacity and runs. Methods that handle an event return the actions."""

    def __init__(
        self, *, limits: SupervisorLimits, policy: LoadPolicy = DEFAULT_LOAD_POLICY
    ) -> None:
        self._limits = limits
        self._policy = policy
        self._incarnations = WorkerIncarnations()
        self._acceptance = Acceptance()
        self._runs: dict[RunId, Run] = {}
        self._used = Resources()
        """The resources used by all runs, kept up to date because summing them up for each report
        is slow."""
        self._orphaned_runs: set[RunId] = set()
        self._health = WorkerHealth()
        self._speeds = SpeedRecord()
        self._speeds_incarnation_id = ""
        """Id of the incarnation whose speed is recorded."""
        self._owner_leases = OwnerLeases(timeout_s=limits.owner_timeout_s)
        self._budget = PreemptionBudget()
        self._reservations = PreemptionReservations()
        self._departures = DepartureWatch()
        self._has_polled = False
        self._has_settled = False
        self._answered_at = float("-inf")

    @property
    def answered_at(self) -> float:
        """When the last poll was sent that the current incarnation has answered."""
        return self._answered_at

    @property
    def incarnation(self) -> WorkerIncarnation | None:
        """The worker's current incarnation, once it has reported."""
        return self._incarnations.current

    @property
    def runs(self) -> dict[RunId, Run]:
        """The runs that were ordered and have not ended."""
        return self._runs

    @property
    def orphaned_runs(self) -> frozenset[RunId]:
        """Runs on the worker that this incarnation of the agent did not order."""
        return frozenset(self._orphaned_runs)

    @property
    def health(self) -> WorkerHealth:
        """The worker's health, by how its runs ended."""
        return self._health

    @property
    def budget_core_s(self) -> float:
        """The work that may be lost to preemption now, in core-seconds."""
        return self._budget.core_s

    @property
    def reservations(self) -> PreemptionReservations:
        """The capacity that is freed or reserved for owners by preemption."""
        return self._reservations

    @property
    def speeds(self) -> SpeedRecord:
        """The speed of this incarnation of the worker, by the runs of all owners."""
        return self._speeds

    @property
    def has_work(self) -> bool:
        """Whether the worker must be polled: something runs, or its state is not known."""
        acceptance = self._acceptance
        if (
            self._incarnations.claimant is not None
            or acceptance.is_unresponsive
            or acceptance.is_ending
        ):
            return True
        return bool(self._runs or self._orphaned_runs or not self._has_polled)

    @property
    def lease_s(self) -> float:
        """How long runs continue after the last renewal of the lease, in seconds."""
        return self._limits.lease_s

    @property
    def is_leaving(self) -> bool:
        """Whether the worker has reported that it leaves, so that its end is not a crash."""
        return self._acceptance.is_ending or (
            self.incarnation is not None and self.incarnation.is_leaving
        )

    @property
    def is_idle(self) -> bool:
        """Whether there are no runs."""
        return not self._runs

    @property
    def is_settled(self) -> bool:
        """Whether the worker has been polled and runs nothing that the agent did not order."""
        return self.incarnation is not None and self._has_polled and not self._orphaned_runs

    @property
    def has_settled(self) -> bool:
        """Whether the worker has been settled at some time since it was registered.

        Owners treat a run that the agent does not list as ended. So a restarted agent does not
        offer its worker until its first poll, whose higher fencing token also invalidates orders
        that were still being sent, and until all orphaned runs have ended. Orphaned runs that begin
        later are none that owners still count on.
        """
        return self.incarnation is not None and self._has_settled

    def get_free(self) -> Resources:
        """Return the free capacity of the worker."""
        incarnation = self._incarnations.current
        return Resources() if incarnation is None else incarnation.capacity - self._used

    def get_free_for(self, owner: str) -> Resources:
        """Return the free capacity without what is reserved for other owners."""
        return self.get_free() - Resources(cpu=self._reservations.get_reserved_cpu(owner))

    def get_remaining_s(self, *, now: float) -> float | None:
        """Return the minimum time until the worker ends, in seconds; None if it stays."""
        return self._departures.get_remaining_s(now=now)

    def get_pace(self) -> float:
        """Return a lower estimate of the worker's pace from its runs, or 0 if they are too few."""
        return estimate_min_pace(self._runs.values())

    def get_releases(self, *, now: float) -> tuple[CapacityRelease, ...]:
        """Return the expected capacity releases, soonest first."""
        return list_releases(self._runs.values(), now=now) if self.is_accepting(now=now) else ()

    def is_accepting(self, *, now: float) -> bool:
        """Return whether starts are accepted."""
        if self.incarnation is None or not self._acceptance.allows(self.incarnation):
            return False
        if not self.is_settled:
            return False
        if self.get_lease_limit() - now < MIN_LEASE_SHARE * self._limits.lease_s:
            # The lease can't be renewed because of a run that does not stop, so all runs may end
            # with it soon.
            return False
        return self._health.may_start(running=len(self._runs), now=now)

    def get_lease_limit(self) -> float:
        """Return until when the worker's lease may be renewed; minus infinity if not at all.

        Orphaned runs must not be renewed: their owners may count them as ended.
        """
        if not self.is_settled or self._acceptance.is_ending:
            return float("-inf")
        return self._owner_leases.get_first_expiry(self._runs.values()) + self._limits.lease_s

    def get_order_limit(self, run_id: RunId) -> float:
        """Return the lease limit for a start; minus infinity once the run must not start."""
        run = self._runs.get(run_id)
        if run is None or run.phase is not RunPhase.ORDERED:
            return float("-inf")
        return self.get_lease_limit()

    def register_incarnation(self, incarnation: WorkerIncarnation, *, now: float) -> list[Action]:
        """Apply a report of the worker.

        A known incarnation is kept until an answer of the worker shows which of the two is running.
        """
        known = self.incarnation
        if not self._incarnations.register(incarnation, now=now):
            return []
        if known is None:
            return [*self._begin_incarnation(), *self._watch_departure(incarnation, now)]
        has_changed = (known.is_leaving, known.capacity) != (
            incarnation.is_leaving,
            incarnation.capacity,
        )
        changes: list[Action] = [ReportCapacity()] if has_changed else []
        return [*changes, *self._watch_departure(incarnation, now)]

    def lose_incarnation(self, *, is_over: bool, is_refused: bool = False) -> list[Action]:
        """Give up the current incarnation, and with it all runs.

        ``is_over`` tells that it can't come back, since another incarnation answers in its place;
        one that is only unreachable may report again. ``is_refused`` tells that connections to its
        address are refused.
        """
        has_deregistered = self._acceptance.is_ending
        reason = self._get_loss_reason(is_process_gone=is_over or is_refused)
        claimant = self._incarnations.lose(is_over=is_over, has_deregistered=has_deregistered)
        self._orphaned_runs.clear()
        self._departures.begin_incarnation()
        self._acceptance.is_ending = False
        self._acceptance.is_unresponsive = False
        actions = [*self._end_all(reason), ReportCapacity()]
        if claimant is not None:
            actions += self._begin_incarnation()
        return actions

    def end_incarnation(self, incarnation_id: str) -> list[Action]:
        """Handle the deregistration of an incarnation.

        The worker and its runs may continue for some seconds. They have ended once it refuses
        connections or once its lease, which is no longer renewed, has ended.
        """
        if self.incarnation is None or self.incarnation.id != incarnation_id:
            self._incarnations.mark_ended(incarnation_id)
            return []
        self._acceptance.is_ending = True
        return [ReportCapacity()]

    def restore_incarnation(self, incarnation_id: str) -> bool:
        """Undo a deregistration that another process sent; return whether it had been applied.

        The incarnation itself is registered again by its own reports.
        """
        if self.incarnation is not None and self.incarnation.id == incarnation_id:
            was_ending = self._acceptance.is_ending
            self._acceptance.is_ending = False
            return was_ending
        return self._incarnations.restore(incarnation_id)

    def drain(self) -> list[Action]:
        """Accept no further starts."""
        self._acceptance.is_draining = True
        return [ReportCapacity()]

    def set_evacuated(self, data_centres: frozenset[str]) -> list[Action]:
        """Accept no starts while the worker is in one of these data centres; runs continue."""
        self._acceptance.evacuated = data_centres
        return [ReportCapacity()]

    def note_unresponsive(self) -> list[Action]:
        """Accept no starts until the worker answers a poll."""
        self._acceptance.is_unresponsive = True
        return [ReportCapacity()]

    def start(self, request: StartRequest, *, now: float) -> list[Action]:
        """Order the start of an owner's task, or report that it was refused."""
        known = self._runs.get(request.run_id)
        if known is not None and known.request.is_same(request):
            return []
        if known is not None or self._owner_leases.is_expired(request.sent_at, now=now):
            # A known run with this id belongs to an earlier submission of the job and ends soon.
            return [self._refuse(request, EndReason.NOT_TAKEN), ReportCapacity()]
        self.renew_owner(request.owner, sent_at=request.sent_at)
        if not self.is_accepting(now=now):
            return [self._refuse(request, EndReason.NOT_TAKEN), ReportCapacity()]
        held = Resources(
            cpu=self._reservations.get_cpu_reserved_from(request.owner, request.priority)
        )
        if not request.resources.fits(self.get_free() - held):
            return [self._refuse(request, EndReason.NO_ROOM), ReportCapacity()]
        self._runs[request.run_id] = Run(request=request, ordered_at=now)
        self._used += request.resources
        self._reservations.note_start(request.owner, request.priority)
        return [OrderStart(request=request), ReportCapacity()]

    def handle_start_outcome(
        self, run_id: RunId, outcome: StartOutcome, *, now: float, expires_at: float
    ) -> list[Action]:
        """Handle the outcome of an order, which can't be executed after ``expires_at``."""
        run = self._runs.get(run_id)
        if run is None or not run.is_order_open:
            return []
        run.is_order_open = False
        if run.phase is not RunPhase.ORDERED:
            if run.phase is RunPhase.STOPPING and outcome is StartOutcome.UNANSWERED:
                # It may still begin, however long ago its stop was ordered.
                run.expires_at = expires_at
            return []
        if outcome is StartOutcome.RUNNING:
            run.phase = RunPhase.RUNNING
            run.has_begun = True
            run.started_at = now
            run.progressed_at = now
            return []
        if outcome is StartOutcome.UNANSWERED:
            self._health.record_failure(run_id.job_id, now=now)
            self._begin_stop(run, now)
            run.expires_at = expires_at
            return [OrderStop(run_id=run_id), ReportCapacity()]
        if outcome is StartOutcome.NOT_LISTENING:
            # Refuse further starts until a poll shows whether the worker is running.
            self._acceptance.is_unresponsive = True
            return self._end(run, EndReason.NOT_TAKEN, now)
        if outcome in (StartOutcome.REJECTED, StartOutcome.WRONG_INCARNATION, StartOutcome.FENCED):
            self._health.record_failure(run_id.job_id, now=now)
            return self._end(run, EndReason.NOT_TAKEN, now)
        if outcome in (StartOutcome.RUN_USED, StartOutcome.RUN_RECEIVED):
            # An earlier attempt at this order may have been executed without an answer, and its
            # run may have ended since. The next poll shows how it ended.
            self._begin_stop(run, now)
            run.expires_at = now
            run.is_number_used = outcome is StartOutcome.RUN_USED
            return []
        return self._end(run, EndReason.NO_ROOM, now)

    def stop(self, run_id: RunId, *, owner: str, now: float) -> list[Action]:
        """Stop a run for its owner. A run with the same id may belong to another owner."""
        run = self._runs.get(run_id)
        if run is None or run.request.owner != owner or run.phase is RunPhase.STOPPING:
            return []
        return [self._begin_stop(run, now)]

    def preempt(
        self, owner: str, capacity_request: CapacityRequest, *, sent_at: float, now: float
    ) -> list[Action]:
        """Stop less urgent runs for an owner's capacity request, within the bounds of preemption.

        ``sent_at`` is the earliest time at which the owner may have sent the request, by the
        agent's steady clock in seconds.
        """
        incarnation = self._incarnations.current
        if (
            incarnation is None
            or not self.is_accepting(now=now)
            or self._reservations.has_open(owner)
        ):
            return []
        if not now - sent_at <= MAX_REQUEST_AGE_S:
            return []
        choice = VictimChoice(
            stop_s=self._limits.stop_s,
            free_cpu=self.get_free_for(owner).cpu,
            capacity_cpu=incarnation.capacity.cpu,
            budget_core_s=self._budget.core_s,
        )
        victims = choice.choose(self._runs.values(), capacity_request, now=now)
        if not victims:
            return []
        self._reservations.begin(owner, capacity_request, victims, now=now)
        return [self._preempt_run(run, capacity_request, now) for run in victims]

    def withdraw_request(self, owner: str) -> list[Action]:
        """Withdraw an owner's capacity request, so that others may use what was reserved."""
        return [ReportCapacity()] if self._reservations.cancel(owner) else []

    def handle_stop_response(self, run_id: RunId, *, now: float) -> list[Action]:
        """Handle the worker's answer to a stop.

        A run that was never listed can't begin any more. If it is running all the same, it ends
        within the time that a stop takes.
        """
        run = self._runs.get(run_id)
        if run is not None and run.expires_at is not None and not run.was_listed:
            run.certain_end_at = now + self._limits.stop_s + STOP_MARGIN_S
        return []

    def handle_poll(
        self,
        running: Iterable[ListedRun],
        ended: Iterable[EndedRun],
        *,
        asked_at: float,
        now: float,
    ) -> list[Action]:
        """Apply the worker's lists of runs from the answer to a poll sent at ``asked_at``."""
        could_start = self.is_settled and not self._acceptance.is_unresponsive
        self._acceptance.is_unresponsive = False
        self._answered_at = max(self._answered_at, asked_at)
        self._incarnations.confirm(asked_at=asked_at)
        actions: list[Action] = []
        for end in ended:
            actions += self._handle_end(end, now)
        listed = set()
        for row in running:
            listed.add(row.run_id)
            actions += self._handle_listed(row, now)
        self._orphaned_runs &= listed
        self._has_polled = True
        self._has_settled |= self.is_settled
        if self.is_settled and not could_start:
            # Starts are accepted from now on. Without this report, owners would not learn of it.
            actions.append(ReportCapacity())
        for run in self._runs.values():
            if run.phase is RunPhase.RUNNING:
                actions += self._check_pace(run, now)
        actions += self._departures.review(self._runs.values(), now=now)
        for run in list(self._runs.values()):
            if run.request.run_id not in listed:
                actions += self._handle_unlisted(run, asked_at, now)
        return actions

    def renew_owner(self, owner: str, *, sent_at: float) -> None:
        """Extend the expiry of an owner's runs, except for runs that were told to stop."""
        self._owner_leases.renew(owner, sent_at=sent_at)

    def reset_departure_reports(self, owner: str) -> None:
        """Report runs at risk again to an owner that has just connected."""
        for run in self._runs.values():
            if run.request.owner == owner:
                run.reported_risk = None

    def get_owner_runs(self, owner: str) -> list[RunId]:
        """Return the ids of one owner's runs."""
        return [run_id for run_id, run in self._runs.items() if run.request.owner == owner]

    def tick(self, *, now: float) -> list[Action]:
        """Stop runs whose owner has timed out, and end those that have certainly ended."""
        actions: list[Action] = []
        for run in list(self._runs.values()):
            if run.certain_end_at is not None and now >= run.certain_end_at and not run.was_listed:
                actions += self._end(run, EndReason.STOPPED, now)
        for run in self._runs.values():
            if run.phase is not RunPhase.STOPPING and now > self._owner_leases.get_expiry(run):
                actions.append(self._begin_stop(run, now))
        if self._reservations.drop_expired(now=now):
            actions.append(ReportCapacity())
        return actions

    def get_unstopped(self, *, now: float, older_than_s: float) -> list[RunId]:
        """Return runs that were told to stop longer ago than this and have not ended."""
        return [
            run_id
            for run_id, run in self._runs.items()
            if run.stopping_since is not None and now - run.stopping_since > older_than_s
        ]

    def _begin_stop(self, run: Run, now: float) -> OrderStop:
        """Begin to stop a run. From now on its owner's messages no longer extend its expiry."""
        run.kept_alive_until = self._owner_leases.get_expiry(run)
        run.phase = RunPhase.STOPPING
        run.stopping_since = now
        return OrderStop(run_id=run.request.run_id)

    def _preempt_run(self, run: Run, capacity_request: CapacityRequest, now: float) -> PreemptRun:
        """Preempt a run. It counts as running until the worker has listed its end."""
        assert capacity_request.preempts_from is not None
        self._begin_stop(run, now)
        run.is_preempted = True
        lost_core_s = get_lost_core_s(run, now=now)
        self._budget.spend(lost_core_s)
        return PreemptRun(
            run_id=run.request.run_id,
            priority=run.request.priority,
            preempts_from=capacity_request.preempts_from,
            age_s=now - run.started_at,
            lost_core_s=lost_core_s,
        )

    def _handle_listed(self, row: ListedRun, now: float) -> list[Action]:
        run = self._runs.get(row.run_id)
        if run is None:
            self._orphaned_runs.add(row.run_id)
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

    def _check_pace(self, run: Run, now: float) -> list[Action]:
        report = get_slow_report(run, get_worker_pace=self.get_pace, now=now)
        if report is None:
            return []
        if report.is_stalled:
            self._health.record_failure(report.run_id.job_id, now=now)
        return [report]

    def _handle_unlisted(self, run: Run, asked_at: float, now: float) -> list[Action]:
        if run.expires_at is not None:
            return self._end(run, EndReason.STOPPED, now) if asked_at > run.expires_at else []
        if run.is_order_open or asked_at - run.started_at < GONE_AFTER_S:
            return []
        return self._end(run, EndReason.STOPPED, now)

    def _handle_end(self, end: EndedRun, now: float) -> list[Action]:
        self._orphaned_runs.discard(end.run_id)
        run = self._runs.get(end.run_id)
        if run is None:
            return []
        if end.reason is EndReason.DONE:
            self._health.record_success()
            self._record_work(run, now)
            self._record_speed(run, now)
        elif end.reason is EndReason.FAILED:
            self._health.record_failure(end.run_id.job_id, now=now)
        return self._end(run, end.reason, now)

    def _record_work(self, run: Run, now: float) -> None:
        """Record successful work, a share of which may be lost to preemption."""
        incarnation = self._incarnations.current
        if incarnation is not None:
            core_s = get_lost_core_s(run, now=now)
            self._budget.record_work(core_s, capacity_cpu=incarnation.capacity.cpu)

    def _record_speed(self, run: Run, now: float) -> None:
        request = run.request
        job_id = request.run_id.job_id
        run_s = now - run.started_at
        self._speeds.learn(job_id, run_s=run_s, expected_s=request.expected_s)

    def _end(self, run: Run, reason: EndReason, now: float) -> list[Action]:
        request = run.request
        del self._runs[request.run_id]
        self._used -= request.resources
        self._reservations.note_end(request.run_id, now=now)
        report = ReportEnd(
            owner=request.owner,
            run_id=request.run_id,
            reason=_get_end_reason(run, reason),
            run_s=now - run.started_at,
        )
        return [report, ReportCapacity()]

    def _watch_departure(self, incarnation: WorkerIncarnation, now: float) -> list[Action]:
        """Return the reports due on when the worker leaves and which runs are at risk."""
        if not self._policy.plans_departures:
            return []
        reported = self._departures.update(incarnation, now=now)
        if not incarnation.is_leaving:
            # Owners discard their records of runs at risk, so all are reported again if the
            # worker leaves after all.
            for run in self._runs.values():
                run.reported_risk = None
        return [*reported, *self._departures.review(self._runs.values(), now=now)]

    def _begin_incarnation(self) -> list[Action]:
        """Reset the state for an incarnation that is new or was unreachable."""
        incarnation = self.incarnation
        if incarnation is not None and incarnation.id != self._speeds_incarnation_id:
            self._speeds = SpeedRecord()
            self._speeds_incarnation_id = incarnation.id
        self._health = WorkerHealth()
        self._reservations.clear()
        self._orphaned_runs.clear()
        self._has_polled = False
        self._has_settled = False
        self._answered_at = float("-inf")
        self._acceptance.is_unresponsive = False
        return [ReportCapacity()]

    def _get_loss_reason(self, *, is_process_gone: bool) -> EndReason:
        """Return the reason with which the runs of a lost incarnation end.

        Only a worker whose process is gone has crashed. An unresponsive one may be unreachable, and
        one that leaves ends as planned.
        """
        return EndReason.CRASHED if is_process_gone and not self.is_leaving else EndReason.STOPPED

    def _end_all(self, reason: EndReason) -> list[Action]:
        ends: list[Action] = [
            ReportEnd(
                owner=run.request.owner,
                run_id=run_id,
                reason=_get_end_reason(run, reason),
                run_s=0.0,
                is_confirmed=False,
            )
            for run_id, run in self._runs.items()
        ]
        self._runs.clear()
        self._reservations.clear()
        self._used = Resources()
        return ends

    def _refuse(self, request: StartRequest, reason: EndReason) -> ReportEnd:
        return ReportEnd(owner=request.owner, run_id=request.run_id, reason=reason, run_s=0.0)


def _get_end_reason(run: Run, reason: EndReason) -> EndReason:
    """Return a run's end reason: why it was stopped, or that it was never started."""
    if run.is_preempted and reason is EndReason.STOPPED:
        return EndReason.PREEMPTED
    if run.is_number_used and reason is EndReason.STOPPED:
        return EndReason.RUN_USED
    return reason

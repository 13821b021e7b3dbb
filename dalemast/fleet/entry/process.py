"""The process of an entry: creates its components and runs their periodic work."""

from __future__ import annotations

import asyncio

import msgspec

from dalemast import clock
from dalemast.core.evacuations import (
    EvacuationChanges,
    EvacuationRecord,
    Evacuations,
)
from dalemast.core.scheduling import (
    BalancedPlacement,
    BasePlacement,
    FastestPlacement,
    LoadPolicy,
    Scheduler,
    SchedulerLimits,
)
from dalemast.core.workloads import JobRequest, Queue, QueueTable
from dalemast.fleet.address_book import AddressBook
from dalemast.fleet.backends import load_backend
from dalemast.fleet.base import (
    BaseIngress,
    CancelOutcome,
    Configuration,
    JobOutcome,
    JobRejected,
    Member,
)
from dalemast.fleet.crashes import make_presumed_crashed
from dalemast.fleet.entry.agents import AgentLinks
from dalemast.fleet.entry.cancellations import Cancellations
from dalemast.fleet.entry.configuration import ConfigurationInForce
from dalemast.fleet.entry.demand import DemandExchange
from dalemast.fleet.entry.job_tracker import JobTracker
from dalemast.fleet.entry.peers import PeerLinks
from dalemast.fleet.evacuations import EvacuationsInForce
from dalemast.fleet.frames import AgentMessage, PeerMessage
from dalemast.fleet.links import LinkListener, LinkRoute
from dalemast.fleet.paths import AGENTS_PATH, PEERS_PATH
from dalemast.fleet.pauses import PauseWatch
from dalemast.fleet.process import TICK_S, BaseFleetProcess
from dalemast.observability import log_event
from dalemast.process import make_incarnation
from dalemast.settings import FleetEntrySettings

__all__ = ["FleetEntryProcess"]

BALANCER_DELAY_S = 2.3
"""How long new connections may still arrive after a planned stop has begun: the load balancer polls
readiness once a second and removes an entry after two failures."""
DRAINING_RETRY_S = 0.1
"""Retry delay for callers that are rejected during a planned stop and should use another entry."""
STOP_WAIT_S = 0.1
"""How long a stopping entry waits for the stops of the jobs that it dropped, so that their ids are
free when callers submit them elsewhere."""
MIN_DRAIN_S = 0.3
"""Minimum duration of a planned stop, within which requests in flight at its start arrive."""


class FleetEntryProcess(BaseFleetProcess):
    """An entry on a platform with leased workers."""

    _settings: FleetEntrySettings

    def __init__(self, *, settings: FleetEntrySettings) -> None:
        self._member = Member(
            name=settings.name,
            incarnation=make_incarnation(),
            address=settings.advertised or settings.links.address,
            data_centre=settings.data_centre,
        )
        super().__init__(settings=settings, book=AddressBook(own_address=self._member.address))
        self._configuration = ConfigurationInForce()
        self._evacuation_record = EvacuationRecord()
        self._evacuations = EvacuationsInForce(metrics=self._metrics)
        self._scheduler = Scheduler(
            order=load_backend(settings.order),
            placement=make_placement(settings),
            limits=SchedulerLimits(lost_run_s=self._times.lost_run_s, stop_s=self._times.stop_s),
            started_at=clock.monotonic(),
            policy=LoadPolicy(**msgspec.structs.asdict(settings.load)),
        )
        self._tracker = JobTracker(
            scheduler=self._scheduler,
            times=self._times,
            metrics=self._metrics,
            send=lambda starts, stops: self._agents.send(starts, stops),
            request_capacity=lambda request: self._agents.send_capacity_requests(request),
            check_pause=self._check_pause,
            report_unobserved_end=lambda run: self._peers.send_crash(make_presumed_crashed(run)),
        )
        self._agents = AgentLinks(
            member=self._member,
            book=self._book,
            scheduler=self._scheduler,
            evacuations=self._evacuations,
            times=self._times,
            apply=self._tracker.apply,
            get_checked_at=lambda: self._pauses.checked_at,
            check_pause=self._check_pause,
            record_run_end=self._tracker.record_run_end,
            notify_peers=lambda crashed: self._peers.send_crash(crashed),
        )
        self._demand = DemandExchange(
            scheduler=self._scheduler,
            is_on=settings.load.shares_demand,
            metrics=self._metrics,
        )
        self._peers = PeerLinks(
            member=self._member,
            book=self._book,
            configuration=self._configuration,
            evacuations=self._evacuations,
            times=self._times,
            jobs=self._tracker,
            notify_agents=self._agents.send_members,
            handle_crash=self._agents.handle_relayed_reports,
            make_crashes=self._agents.make_relayed_reports,
            demand=self._demand,
            metrics=self._metrics,
        )
        self._tracker.set_claims(self._peers.claims)
        self._cancellations = Cancellations(
            claims=self._peers.claims,
            is_open=self._tracker.is_open,
            check_pause=self._check_pause,
            metrics=self._metrics,
        )
        self._agents.set_routes(self._peers.routes)
        self._evacuations.on_change(self._apply_evacuations)
        self._evacuations.on_change(self._agents.send_evacuations)
        self._evacuations.on_change(self._peers.send_evacuations)
        self._ingress: BaseIngress = load_backend(
            settings.backends.ingress, settings=settings, jobs=self
        )
        self._pauses = PauseWatch(limit_s=self._times.link_timeout_s)
        self._draining_since: float | None = None

    @property
    def is_ready(self) -> bool:
        """Whether this entry should receive new connections."""
        if self.is_draining or self._configuration.current is None:
            return False
        return self._agents.has_workers and not self._peers.is_isolated

    @property
    def is_draining(self) -> bool:
        """Whether a planned stop has begun."""
        return self._draining_since is not None

    @property
    def queues(self) -> QueueTable:
        """The queue table. Raises ``QueuesUnknown`` before the first configuration."""
        return self._configuration.table

    async def run(self, request: JobRequest) -> JobOutcome:
        """Run a job, unless a planned stop leaves too little time for it."""
        if not self._has_time_for(request):
            log_event("job:refused", job=request.id, queue=request.queue.name, cause="draining")
            return JobRejected(cause="draining", retry_after_s=DRAINING_RETRY_S)
        return await self._tracker.run(request)

    async def cancel(self, *, queue: Queue, job_id: str, timeout_s: float) -> CancelOutcome:
        """Cancel a job of a queue, whichever entry has it."""
        return await self._cancellations.cancel(
            queue=queue.name, job_id=job_id, timeout_s=timeout_s
        )

    def handle_disconnect(self, job_id: str) -> None:
        """Cancel a job whose caller has disconnected."""
        self._tracker.leave(job_id)

    def handle_evacuations(self, changes: EvacuationChanges) -> None:
        """Apply changes of the evacuations from the store."""
        self._evacuations.offer(self._evacuation_record.apply(changes), source="store")

    def handle_configuration(self, configuration: Configuration) -> None:
        """Offer a configuration from the store."""
        self._configuration.offer(configuration, source="store")

    async def start(self) -> None:
        """Listen, connect to the other entries, and watch the store."""
        self._listener = LinkListener(
            address=self._settings.links.address,
            routes=(
                LinkRoute(path=AGENTS_PATH, message_type=AgentMessage, accept=self._agents.accept),
                LinkRoute(path=PEERS_PATH, message_type=PeerMessage, accept=self._peers.accept),
            ),
        )
        await self._listener.start()
        self._ingress.start()
        self._start_metrics()
        self._book.add_addresses(self._settings.seeds)
        self._peers.start()
        self._start_tasks(
            self._tick_forever(),
            self._store.announce(self._member),
            self._store.watch_members(self._add_member),
            self._store.watch_declarations(self),
        )
        log_event(
            "process:started",
            incarnation=self._member.incarnation,
            data_centre=self._member.data_centre,
            seeds=self._settings.seeds,
        )

    async def drain(self) -> None:
        """Finish the open jobs, and those that still arrive and can be finished in time.

        Jobs that are open at the end are dropped with a response, so that their callers can submit
        them elsewhere at once instead of waiting for a lost connection.
        """
        self._draining_since = clock.monotonic()
        # Callers on open connections would submit jobs here until the end of the stop, when long
        # jobs can't be finished any more. The load balancer routes a new connection elsewhere.
        closed = self._ingress.close_idle()
        log_event("process:stopping", open_jobs=len(self._tracker), closed_connections=closed)
        deadline = self._draining_since + self._get_drain_s()
        while clock.monotonic() < deadline:
            drained_s = clock.monotonic() - self._draining_since
            is_idle = not len(self._tracker)
            if is_idle and drained_s > MIN_DRAIN_S and not self._ingress.open_connections:
                break
            if is_idle and drained_s > BALANCER_DELAY_S:
                break
            await asyncio.sleep(TICK_S)
        if len(self._tracker):
            self._tracker.abandon_all()
            await asyncio.sleep(STOP_WAIT_S)
        log_event("process:stopped", open_jobs=len(self._tracker))

    def get_unfinished(self) -> list[str]:
        """Return descriptions of the jobs that would be interrupted by stopping now."""
        return [f"job {job_id}" for job_id in self._tracker.get_open_ids()]

    def get_state(self) -> dict[str, object]:
        """Return the state of this process for operators."""
        current = self._configuration.current
        return {
            "name": self._member.name,
            "incarnation": self._member.incarnation,
            "is_ready": self.is_ready,
            "configuration": None if current is None else current.version,
            "evacuated": sorted(self._evacuations.data_centres),
            "open_jobs": len(self._tracker),
            "claims": len(self._peers.claims),
            "cancelled_ids": self._peers.claims.cancelled_count,
            "peers": self._peers.peers,
            "partition": self._peers.partitions.get_state(),
            "demand": self._demand.get_state(),
            "placement": self._scheduler.placement.describe(),
            "workers": {
                view.name: {
                    "is_accepting": view.is_accepting,
                    "data_centre": view.data_centre,
                    "free_cpu": view.free.cpu,
                    "leaves_in_s": _get_remaining_s(view.leaves_at),
                    "slowness": round(view.get_slowness(clock.monotonic()), 3),
                    "coming": [
                        (round(row.in_s, 3), row.cpu)
                        for row in view.get_releases(clock.monotonic())
                    ],
                    "kind_slowness": view.baseline_slowness,
                }
                for view in self._scheduler.workers.values()
            },
        }

    def _has_time_for(self, request: JobRequest) -> bool:
        """Return whether a job is expected to end before a planned stop does."""
        if self._draining_since is None:
            return True
        left_s = self._draining_since + self._get_drain_s() - clock.monotonic()
        return self._scheduler.estimate_completion_s(request) <= left_s

    def _apply_evacuations(self, evacuations: Evacuations) -> None:
        """Start no tasks in evacuated data centres, and use restored ones again."""
        data_centres = evacuations.data_centres
        self._tracker.apply(self._scheduler.set_evacuated(data_centres, now=clock.monotonic()))

    def _add_member(self, member: Member) -> None:
        if member.incarnation != self._member.incarnation:
            self._peers.add_members([member])

    async def _close_parts(self) -> None:
        self._peers.stop()
        await self._ingress.close()
        await self._listener.close()

    def _reset_liveness_timers(self, late_s: float) -> None:
        """Exclude the time that this process was late from the liveness timers of all links."""
        self._agents.reset_liveness_timers(late_s)
        self._peers.reset_liveness_timers(late_s)

    def _recover_from_pause(self) -> None:
        """Drop the started jobs, whose runs may have been stopped during the pause."""
        self._peers.note_process_pause()
        self._cancellations.note_process_pause()
        self._tracker.abandon_started(clock.monotonic())

    @property
    def _is_busy(self) -> bool:
        """Whether any job is open at this entry."""
        return bool(len(self._tracker))

    def _tick(self) -> None:
        self._check_pause()
        now = clock.monotonic()
        self._agents.tick(now)
        self._peers.tick(now)
        if self._peers.is_isolated:
            self._tracker.abandon_on_isolation()
        self._tracker.tick(now)


def _get_remaining_s(leaves_at: float | None) -> float | None:
    """Return the minimum time in seconds until a worker leaves, or None if it stays."""
    return None if leaves_at is None else round(max(leaves_at - clock.monotonic(), 0.0), 3)


def make_placement(settings: FleetEntrySettings) -> BasePlacement:
    """Return the placement that the settings select."""
    kind = BalancedPlacement if settings.load.balances else FastestPlacement
    return kind(remote_factor=settings.remote_factor, far_penalty=settings.far_penalty)

"""Calls the worker on this host as the platform's pages say."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

import msgspec

from dalemast import clock
from dalemast.core.clocks import MinClockLead
from dalemast.core.scheduling import EndReason
from dalemast.core.supervision import (
    EndedRun,
    ListedRun,
    PollPlan,
    RunId,
    StartOutcome,
    StartRequest,
    WorkerIncarnation,
    WorkerLease,
)
from dalemast.core.workloads import TaskKey
from dalemast.fleet.base import (
    BaseWorkerDriver,
    PollResult,
    WorkerGone,
    WorkerReplaced,
    WorkerUnanswered,
)
from dalemast.fleet.timing import WORKER_CLOCK_ERROR, WORKER_CLOCK_STRETCH
from dalemast.http.direct import DirectClient, Greeting
from dalemast.http.messages import HttpFailure, JsonResponse
from dalemast.observability import log_event
from dalemast.platform.lives import read_life_id
from dalemast.platform.wire import (
    EXPECTED_LIFE_HEADER,
    ClockAnswer,
    HoldAnswer,
    HoldCall,
    StartCall,
    StopCall,
)
from dalemast.settings import FleetAgentSettings

__all__ = ["PlatformWorkerDriver"]

START_PATH = "/v1/run-start"
STOP_PATH = "/v1/run-stop"
LOOK_PATH = "/v1/hold"
STOP_TIMEOUT_S = 0.15
"""A worker on the same host answers within a few milliseconds, also when this process is slowed."""
START_TIMEOUTS_S = (0.04, 0.08, 0.15)
"""A start that stays unanswered is said again, since the worker takes a run only once. The first
try is short: answers usually come within 2 ms, and the task waits meanwhile."""
ORDER_CONNECTIONS = 4
"""Connections for orders. New ones are priced, and one that is not answered blocks the others."""
FENCE_STEP = 60_000
"""How far a token is raised when the worker has seen a higher one: more than a clock steps."""
WRONG_LIFE = 421
REJECTIONS = {
    "old": StartOutcome.RUN_USED,
    "room": StartOutcome.NO_CAPACITY,
    "late": StartOutcome.EXPIRED,
    "fence": StartOutcome.FENCED,
}
SURE_AFTER_SILENCE = frozenset({StartOutcome.RUNNING, StartOutcome.RUN_USED})
"""Answers that tell what became of an earlier try that got none. Any other leaves open whether that
one was carried out, or will be once there is room or the worker is sound."""
END_REASONS = {"done": EndReason.DONE, "failed": EndReason.FAILED}
"""All other words (stopped, lapsed, broken, alone) say that the run did not come to its end."""


class OtherLife(HttpFailure):
    """Another life of the worker is at the other end of a connection; it was told nothing."""

    def __init__(self) -> None:
        super().__init__("another life answers", is_unreachable=True)


class PlatformWorkerDriver(BaseWorkerDriver):
    """One worker. Its clock is followed by what its answers say.

    A call names the worker's id, which its next life may have too: its clock and its numbers of
    ends begin anew, so that a lease or an end that is taken note of means something else there. So
    each connection begins with a look that shows which life is at its other end, and carries calls
    for that one alone.
    """

    def __init__(self, *, settings: FleetAgentSettings, lease_s: float) -> None:
        self._lease_s = lease_s
        self._address = settings.worker.address
        self._life_id = ""
        self._is_greeting = False
        """Whether connections begin with a look, since lives may share an id."""
        self._orders = self._make_client(ORDER_CONNECTIONS, greeting=None)
        self._looks = self._make_client(1, greeting=None)
        # Of all tokens that this host's agents ever sent, the newest life's must be the highest:
        # the time of day rises from one life to the next, and _raise_fence mends what steps spoil.
        self._fence = int(time.time() * 1000)
        self._headers: dict[str, str] = {}
        self._clock = MinClockLead(drift=WORKER_CLOCK_ERROR)
        """The worker's clock against this one. Taken as it was read, that of a worker that had been
        idle for 30 s let what was started then run on for 0.6 s more."""
        self._lease = WorkerLease(lease_s=lease_s)
        self._ends_seen = 0
        self._was_stop_unanswered = False

    @property
    def leased_until(self) -> float:
        """When everything on the worker has surely lapsed, by what was sent so far."""
        return self._lease.ends_at + self._lease_s * (WORKER_CLOCK_STRETCH - 1.0)

    def register(self, life: WorkerIncarnation) -> None:
        """Address all further calls to this life."""
        worker_id, _ = read_life_id(life.id)
        if self._life_id:
            # Bars what was said to an earlier life under this id and arrives only now.
            self._fence += 1
        self._life_id = life.id
        self._headers = {EXPECTED_LIFE_HEADER: worker_id}
        self._open_clients()
        self._clock = MinClockLead(drift=WORKER_CLOCK_ERROR)
        self._ends_seen = 0

    async def start(self, request: StartRequest, *, get_limit: Callable[[], float]) -> StartOutcome:
        """Order a start, trying again while it stays unanswered.

        All tries are meant for the life that was known at the first one: a run must not begin on a
        later life, since its owner is told that it ended with the life it was meant for. Each try
        asks anew how long the run is kept alive: this process may have stood still since the last.
        """
        headers, orders = self._headers, self._orders
        is_fresh = False
        may_have_arrived = False
        for timeout_s in START_TIMEOUTS_S:
            lease_end = self._lease.join(now=clock.monotonic(), limit=get_limit())
            if lease_end is None:
                break
            call = StartCall(
                task=_name_task(request.run_id),
                run=request.run_id.run,
                payload=request.payload,
                until_ms=self._to_worker_ms(lease_end),
                fence=self._fence,
            )
            try:
                response = await orders.request(
                    "POST",
                    START_PATH,
                    body=call,
                    headers=headers,
                    timeout_s=timeout_s,
                    is_fresh=is_fresh,
                )
            except HttpFailure as failure:
                # Counted and logged by the caller once all tries are over.
                is_fresh = True
                may_have_arrived |= not failure.is_unreachable
                continue
            outcome = self._read_start(response, headers)
            if outcome is StartOutcome.FENCED:
                continue
            if may_have_arrived and outcome not in SURE_AFTER_SILENCE:
                return StartOutcome.UNANSWERED
            return outcome
        if may_have_arrived:
            return StartOutcome.UNANSWERED
        return StartOutcome.NOT_LISTENING if is_fresh else StartOutcome.EXPIRED

    async def stop(self, run_id: RunId) -> bool:
        """Order a stop; return whether it was answered."""
        call = StopCall(task=_name_task(run_id), run=run_id.run, fence=self._fence)
        try:
            response = await self._orders.request(
                "POST",
                STOP_PATH,
                body=call,
                headers=self._headers,
                timeout_s=STOP_TIMEOUT_S,
                is_fresh=self._was_stop_unanswered,
            )
        except HttpFailure as failure:
            self._was_stop_unanswered = True
            log_event("stop:unanswered", job=run_id.job_id, reason=failure.message)
            return False
        self._was_stop_unanswered = False
        return response.status == 200

    async def poll(self, plan: PollPlan, *, limit: float) -> PollResult:
        """Ask what runs and what ended."""
        asked_at = clock.monotonic()
        headers = self._headers
        is_clock_known = self._clock.is_known
        lease_end = None
        if plan.renews and is_clock_known:
            lease_end = self._lease.renew(now=asked_at, limit=limit)
        call = HoldCall(
            fence=self._fence,
            ends_seen=self._ends_seen,
            until_ms=None if lease_end is None else self._to_worker_ms(lease_end),
            wait_ms=round(plan.wait_s * 1000) if plan.wait_s and is_clock_known else None,
        )
        try:
            response = await self._looks.request(
                "POST",
                LOOK_PATH,
                body=call,
                headers=headers,
                timeout_s=plan.wait_s + plan.slack_s,
            )
        except OtherLife as failure:
            raise WorkerReplaced(failure.message) from failure
        except HttpFailure as failure:
            if failure.is_unreachable:
                raise WorkerGone(failure.message) from failure
            raise WorkerUnanswered(failure.message) from failure
        if headers is not self._headers:
            raise WorkerUnanswered("the answer is an earlier life's")
        if response.status == WRONG_LIFE:
            raise WorkerReplaced("another life answers")
        if response.status != 200:
            self._read_start(response, headers)
            raise WorkerUnanswered(f"status {response.status}")
        return self._read_look(response, asked_at)

    def _open_clients(self) -> None:
        """Open connections to the life that was met, and close those to another one.

        Lives with ids of their own need none: each refuses what is meant for another one.
        """
        greeting = self._make_greeting()
        if greeting is None and not self._is_greeting:
            return
        self._is_greeting = greeting is not None
        self._orders.close()
        self._looks.close()
        self._orders = self._make_client(ORDER_CONNECTIONS, greeting=greeting)
        self._looks = self._make_client(1, greeting=greeting)

    def _make_client(self, connections: int, *, greeting: Greeting | None) -> DirectClient:
        return DirectClient(address=self._address, max_connections=connections, greeting=greeting)

    def _make_greeting(self) -> Greeting | None:
        """Return a look that neither renews a lease nor takes note of ends, if lives share ids."""
        _, born_ms = read_life_id(self._life_id)
        if born_ms is msgspec.UNSET:
            return None
        headers = self._headers

        def accept(response: JsonResponse) -> None:
            if response.status == WRONG_LIFE:
                raise OtherLife
            if response.status != 200:
                self._read_start(response, headers)
                raise HttpFailure(f"status {response.status}", is_unreachable=False)
            if response.decode(HoldAnswer).born != born_ms:
                raise OtherLife

        call = HoldCall(fence=self._fence, ends_seen=0)
        return Greeting(path=LOOK_PATH, body=call, headers=headers, accept=accept)

    def _to_worker_ms(self, at: float) -> int:
        """Return a moment in milliseconds of the worker's clock, no later than it truly is."""
        if not self._clock.is_known:
            # Past on any clock: the worker refuses the order as too late.
            return 0
        return int((at + self._clock.get(now=clock.monotonic())) * 1000)

    def _read_start(self, response: JsonResponse, headers: dict[str, str]) -> StartOutcome:
        if response.status == WRONG_LIFE:
            return StartOutcome.WRONG_INCARNATION
        answer = _decode_clock(response)
        if headers is self._headers:
            self._follow_clock(answer.clock_ms)
        if response.status == 200:
            return StartOutcome.RUNNING
        if response.status == 409 and answer.reason == "fence":
            self._raise_fence()
        return REJECTIONS.get(answer.reason, StartOutcome.REJECTED)

    def _read_look(self, response: JsonResponse, asked_at: float) -> PollResult:
        answer = response.decode(HoldAnswer)
        _, born_ms = read_life_id(self._life_id)
        if answer.born != born_ms:
            raise WorkerReplaced("another life answers")
        self._follow_clock(answer.clock_ms)
        ended = tuple(_read_end(row) for row in answer.ended)
        for end in ended:
            self._ends_seen = max(self._ends_seen, end.number)
        running = tuple(
            ListedRun(run_id=_read_run(row[0], row[1]), percent=float(row[3]))
            for row in answer.running
        )
        return PollResult(running=running, ended=ended, asked_at=asked_at)

    def _follow_clock(self, clock_ms: float | None) -> None:
        if clock_ms is not None:
            now = clock.monotonic()
            self._clock.observe(clock_ms / 1000 - now, now=now)

    def _raise_fence(self) -> None:
        self._fence += FENCE_STEP
        log_event("worker:fence-raised", fence=self._fence)


def _decode_clock(response: JsonResponse) -> ClockAnswer:
    try:
        answer = response.decode(ClockAnswer)
    except msgspec.MsgspecError:
        # Rejections such as 429 may come without a body; the status says what matters.
        return ClockAnswer()
    assert isinstance(answer, ClockAnswer)
    return answer


def _name_task(run_id: RunId) -> str:
    """Return the task's name on the wire; the 0 is the time, for jobs that run at set times."""
    return f"{run_id.job_id}.0.{run_id.task.step}.{run_id.task.position}"


def _read_run(name: str, run: int) -> RunId:
    job_id, _, step, position = name.split(".")
    return RunId(job_id, TaskKey(int(step), int(position)), run)


def _read_end(row: tuple[Any, ...]) -> EndedRun:
    number, name, run, how = row[:4]
    reason = END_REASONS.get(how, EndReason.STOPPED)
    return EndedRun(number=number, run_id=_read_run(name, run), reason=reason)

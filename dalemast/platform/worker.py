"""Calls to the worker on this host, by the platform's worker protocol."""

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
from dalemast.http.direct import ConnectionHandshake, DirectClient
from dalemast.http.messages import HttpFailure, JsonResponse
from dalemast.observability import log_event
from dalemast.platform.incarnations import parse_incarnation_id
from dalemast.platform.wire import (
    EXPECTED_INCARNATION_HEADER,
    ClockResponse,
    HoldCall,
    HoldResponse,
    StartCall,
    StopCall,
)
from dalemast.settings import FleetAgentSettings

__all__ = ["PlatformWorkerDriver"]

START_PATH = "/v1/run-start"
STOP_PATH = "/v1/run-stop"
POLL_PATH = "/v1/hold"
STOP_TIMEOUT_S = 0.15
"""Timeout of a stop call, in seconds."""
START_TIMEOUTS_S = (0.04, 0.08, 0.15)
"""Timeouts of the tries of a start call, in seconds. An unanswered call can be retried safely,
since a worker accepts each run only once. The first timeout is short, because the task waits."""
MAX_ORDER_CONNECTIONS = 4
"""Maximum number of connections for start and stop calls. Several, because an unanswered call
blocks its connection; few, because new connections have a price."""
FENCE_STEP = 60_000
"""Increment of the fence when the worker has seen a higher one, in milliseconds. It exceeds the
steps by which the system clock is set back."""
WRONG_INCARNATION = 421
REJECTIONS = {
    "old": StartOutcome.RUN_USED,
    "room": StartOutcome.NO_CAPACITY,
    "late": StartOutcome.EXPIRED,
    "fence": StartOutcome.FENCED,
}
RETRIED_OUTCOMES = {
    StartOutcome.RUNNING: StartOutcome.RUNNING,
    StartOutcome.RUN_USED: StartOutcome.RUN_RECEIVED,
}
"""Outcomes of a start by that of its last try, if an earlier one was not answered. After any other
one the earlier try may have started the run, or may start it later."""
END_REASONS = {"done": EndReason.DONE, "failed": EndReason.FAILED}
"""All other reasons (stopped, lapsed, broken, alone) mean that the run did not finish."""


class IncarnationMismatch(HttpFailure):
    """A connection leads to another incarnation of the worker. No call was sent to it."""

    def __init__(self) -> None:
        super().__init__("another incarnation of the worker answers", is_unreachable=True)


class PlatformWorkerDriver(BaseWorkerDriver):
    """Driver of one worker, which estimates the worker's clock from its responses.

    Calls name the worker's id, which its next incarnation may keep. Since the clock and the numbers
    of ended runs start again with each incarnation, a lease or an acknowledgement must not reach
    another one. Each connection therefore begins with a poll that identifies the incarnation at the
    other end, and carries calls for that one only.
    """

    def __init__(self, *, settings: FleetAgentSettings, lease_s: float) -> None:
        self._lease_s = lease_s
        self._address = settings.worker.address
        self._incarnation_id = ""
        self._is_greeting = False
        """Whether connections begin with a poll, because incarnations may share a worker id."""
        self._orders = self._make_client(MAX_ORDER_CONNECTIONS, greeting=None)
        self._polls = self._make_client(1, greeting=None)
        # The newest agent process on this host must send the highest fence. The system time rises
        # from one process to the next; if it was set back, _raise_fence compensates.
        self._fence = int(time.time() * 1000)
        self._headers: dict[str, str] = {}
        self._clock = MinClockLead(drift=WORKER_CLOCK_ERROR)
        """Lead of the worker's clock over this process's clock. Allows for drift: with an outdated
        lead, runs on a worker that was idle would outlive their lease."""
        self._lease = WorkerLease(lease_s=lease_s)
        self._ends_seen = 0
        self._was_stop_unanswered = False

    @property
    def leased_until(self) -> float:
        """When the lease of every run on the worker has certainly expired, given the calls sent."""
        return self._lease.ends_at + self._lease_s * (WORKER_CLOCK_STRETCH - 1.0)

    def register(self, incarnation: WorkerIncarnation) -> None:
        """Address all further calls to this incarnation."""
        worker_id, _ = parse_incarnation_id(incarnation.id)
        if self._incarnation_id:
            # Fences off calls to an earlier incarnation with the same id that arrive late.
            self._fence += 1
        self._incarnation_id = incarnation.id
        self._headers = {EXPECTED_INCARNATION_HEADER: worker_id}
        self._open_clients()
        self._clock = MinClockLead(drift=WORKER_CLOCK_ERROR)
        self._ends_seen = 0

    async def start(self, request: StartRequest, *, get_limit: Callable[[], float]) -> StartOutcome:
        """Start a run, retrying while the call is unanswered.

        All tries are sent to the incarnation that was registered at the first one: a later one must
        not start the run, since the owner is told that it ended with the earlier incarnation. Each
        try calls ``get_limit`` again, because this process may have been paused since the last.
        """
        headers, orders = self._headers, self._orders
        is_fresh = False
        may_have_arrived = False
        for timeout_s in START_TIMEOUTS_S:
            lease_end = self._lease.join(now=clock.monotonic(), limit=get_limit())
            if lease_end is None:
                break
            call = StartCall(
                task=_format_task_name(request.run_id),
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
                # The caller counts and logs the failure after the last try.
                is_fresh = True
                may_have_arrived |= not failure.is_unreachable
                continue
            outcome = self._read_start_response(response, headers)
            if outcome is StartOutcome.FENCED:
                continue
            if may_have_arrived:
                return RETRIED_OUTCOMES.get(outcome, StartOutcome.UNANSWERED)
            return outcome
        if may_have_arrived:
            return StartOutcome.UNANSWERED
        return StartOutcome.NOT_LISTENING if is_fresh else StartOutcome.EXPIRED

    async def stop(self, run_id: RunId) -> bool:
        """Stop a run; return whether the worker confirmed it."""
        call = StopCall(task=_format_task_name(run_id), run=run_id.run, fence=self._fence)
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
        """Fetch the running and the ended runs, and renew the lease if the plan says so."""
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
            response = await self._polls.request(
                "POST",
                POLL_PATH,
                body=call,
                headers=headers,
                timeout_s=plan.wait_s + plan.slack_s,
            )
        except IncarnationMismatch as failure:
            raise WorkerReplaced(failure.message) from failure
        except HttpFailure as failure:
            if failure.is_unreachable:
                raise WorkerGone(failure.message) from failure
            raise WorkerUnanswered(failure.message) from failure
        if headers is not self._headers:
            raise WorkerUnanswered("the response is from an earlier incarnation of the worker")
        if response.status == WRONG_INCARNATION:
            raise WorkerReplaced("another incarnation of the worker answers")
        if response.status != 200:
            self._read_start_response(response, headers)
            raise WorkerUnanswered(f"status {response.status}")
        return self._read_poll_response(response, asked_at)

    def _open_clients(self) -> None:
        """Open connections to the registered incarnation and close those to an earlier one.

        Incarnations with different worker ids can keep using the connections: each rejects calls
        for another id.
        """
        greeting = self._make_greeting()
        if greeting is None and not self._is_greeting:
            return
        self._is_greeting = greeting is not None
        self._orders.close()
        self._polls.close()
        self._orders = self._make_client(MAX_ORDER_CONNECTIONS, greeting=greeting)
        self._polls = self._make_client(1, greeting=greeting)

    def _make_client(
        self, connections: int, *, greeting: ConnectionHandshake | None
    ) -> DirectClient:
        return DirectClient(address=self._address, max_connections=connections, handshake=greeting)

    def _make_greeting(self) -> ConnectionHandshake | None:
        """Return the poll that begins a connection, or None if incarnations do not share ids.

        It neither renews the lease nor acknowledges ended runs.
        """
        _, born_ms = parse_incarnation_id(self._incarnation_id)
        if born_ms is msgspec.UNSET:
            return None
        headers = self._headers

        def accept(response: JsonResponse) -> None:
            if response.status == WRONG_INCARNATION:
                raise IncarnationMismatch
            if response.status != 200:
                self._read_start_response(response, headers)
                raise HttpFailure(f"status {response.status}", is_unreachable=False)
            if response.decode(HoldResponse).born != born_ms:
                raise IncarnationMismatch

        call = HoldCall(fence=self._fence, ends_seen=0)
        return ConnectionHandshake(path=POLL_PATH, body=call, headers=headers, accept=accept)

    def _to_worker_ms(self, at: float) -> int:
        """Convert a limit to milliseconds on the worker's clock, rounded down to never extend it.

        Return 0 if the worker's clock is not known yet.
        """
        if not self._clock.is_known:
            # In the past on any clock, so the worker rejects the call as too late.
            return 0
        return int((at + self._clock.get(now=clock.monotonic())) * 1000)

    def _read_start_response(self, response: JsonResponse, headers: dict[str, str]) -> StartOutcome:
        if response.status == WRONG_INCARNATION:
            return StartOutcome.WRONG_INCARNATION
        answer = _decode_clock_response(response)
        if headers is self._headers:
            self._update_clock(answer.clock_ms)
        if response.status == 200:
            return StartOutcome.RUNNING
        if response.status == 409 and answer.reason == "fence":
            self._raise_fence()
        return REJECTIONS.get(answer.reason, StartOutcome.REJECTED)

    def _read_poll_response(self, response: JsonResponse, asked_at: float) -> PollResult:
        answer = response.decode(HoldResponse)
        _, born_ms = parse_incarnation_id(self._incarnation_id)
        if answer.born != born_ms:
            raise WorkerReplaced("another incarnation of the worker answers")
        self._update_clock(answer.clock_ms)
        ended = tuple(_parse_end(row) for row in answer.ended)
        for end in ended:
            self._ends_seen = max(self._ends_seen, end.number)
        running = tuple(
            ListedRun(run_id=_parse_run_id(row[0], row[1]), percent=float(row[3]))
            for row in answer.running
        )
        return PollResult(running=running, ended=ended, asked_at=asked_at)

    def _update_clock(self, clock_ms: float | None) -> None:
        if clock_ms is not None:
            now = clock.monotonic()
            self._clock.observe(clock_ms / 1000 - now, now=now)

    def _raise_fence(self) -> None:
        self._fence += FENCE_STEP
        log_event("worker:fence-raised", fence=self._fence)


def _decode_clock_response(response: JsonResponse) -> ClockResponse:
    try:
        answer = response.decode(ClockResponse)
    except msgspec.MsgspecError:
        # Rejections such as 429 may have no body. The status is enough.
        return ClockResponse()
    assert isinstance(answer, ClockResponse)
    return answer


def _format_task_name(run_id: RunId) -> str:
    """Return the task's name on the wire. The 0 stands for the time of a scheduled job."""
    return f"{run_id.job_id}.0.{run_id.task.step}.{run_id.task.position}"


def _parse_run_id(name: str, run: int) -> RunId:
    job_id, _, step, position = name.split(".")
    return RunId(job_id, TaskKey(int(step), int(position)), run)


def _parse_end(row: tuple[Any, ...]) -> EndedRun:
    number, name, run, how = row[:4]
    reason = END_REASONS.get(how, EndReason.STOPPED)
    return EndedRun(number=number, run_id=_parse_run_id(name, run), reason=reason)

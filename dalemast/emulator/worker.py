"""An emulated worker over HTTP, with the faults that the users' pages name."""

from __future__ import annotations

import asyncio
import itertools
import random
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from typing import Any

import msgspec
from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

from dalemast.emulator.fates import (
    ALL_SERVED,
    CallFates,
    CallKind,
    CallRecord,
    Fate,
)
from dalemast.emulator.runs import EmulatedRuns, Order
from dalemast.http.client import HttpFailure, JsonClient
from dalemast.http.server import bind_address, skip_access_log
from dalemast.platform.incarnations import make_incarnation_id
from dalemast.platform.wire import (
    EXPECTED_INCARNATION_HEADER,
    CapacityBody,
    ClockResponse,
    Heartbeat,
    HoldResponse,
    WorkerState,
)
from dalemast.platform.worker import (
    POLL_PATH,
    START_PATH,
    STOP_PATH,
)

__all__ = ["EmulatedWorker", "WorkerFaults"]


_numbers = itertools.count(1)
"""Numbers of the workers of this process: no two lives may share an id."""
DEFAULT_RUN_S = 0.1
CLOCK_AHEAD_S = 1000.0
"""How far a worker's clock is ahead of its agent's, where it does not begin anew with each life."""
TASK_CPU = 1000
"""What each task takes, in thousandths of a core, where its room is watched."""
SHRUNK_S = 4.5
"""When room that has shrunk counts: 3 s and one pause between reports; from the platform."""
BACK_S = 2.5
"""When a worker is back that a task has made crash; from the platform's days."""
VERSION = "v1"
SLOTS = 8
MEMORY_MB = 65536
REPORT_TIMEOUT_S = 1.0
"""Within this time a report has to be acknowledged; from the platform."""
LOOK_GRAIN_S = 0.005
LATE_ORDER_S = (0.5, 2.0)
"""How much later than sent an order without an answer is carried out."""
DONE_LATE_S = (0.02, 2.0)
"""How late calls are done that meet :attr:`Fate.DONE_LATE`: some starts within their lease, most
stops after they were said again."""
ANSWERED_LATE_S = (0.02, 0.6)
"""How late answers come that meet :attr:`Fate.ANSWERED_LATE`: callers wait from 0.04 s to 0.4 s."""
UNANSWERED_S = 5.0
"""How long a call that gets no answer is held; every caller has given it up before."""


@dataclass(frozen=True, kw_only=True, slots=True)
class WorkerFaults:
    """Shares of orders or runs that go wrong. ``slow`` multiplies run times.

    ``late_orders`` are starts that get no answer and are carried out later, ``lost_stops`` are
    stops that get none and are never carried out. ``starts``, ``stops`` and ``looks`` give the
    fates of these calls, whatever else goes wrong.
    """

    fail: float = 0.0
    stand_still: float = 0.0
    late_orders: float = 0.0
    lost_stops: float = 0.0
    slow: float = 1.0
    starts: CallFates = ALL_SERVED
    stops: CallFates = ALL_SERVED
    looks: CallFates = ALL_SERVED

    def get_fates(self, kind: CallKind) -> CallFates:
        """Return the fates of one kind of call."""
        return {
            CallKind.START: self.starts,
            CallKind.STOP: self.stops,
            CallKind.LOOK: self.looks,
        }[kind]


Answer = tuple[int, ClockResponse | HoldResponse]
Serve = Callable[[dict[str, Any]], Awaitable[Answer]]


class CallHandler(RequestHandler):
    """One call of the agent."""

    def initialize(self, worker: EmulatedWorker, kind: CallKind) -> None:
        """Take what the routes give."""
        self._worker = worker
        self._kind = kind

    async def post(self) -> None:
        """Serve the call unless it is meant for another life."""
        expected = self.request.headers.get(EXPECTED_INCARNATION_HEADER)
        if expected not in (None, self._worker.worker_id):
            self.set_status(421)
            self.finish(b"{}")
            return
        call = msgspec.json.decode(self.request.body)
        status, body = await self._worker.take_call(self._kind, call)
        self.set_status(status)
        self.finish(msgspec.json.encode(body))


class EmulatedWorker:
    """One worker. A task's text is ``{"run_s": ...}`` or anything else for the default.

    With ``"crash_s"`` in it the worker crashes that long after the task's start, and is back after
    :data:`BACK_S`. With ``keeps_id`` all lives have one id, and say when they were born.
    """

    def __init__(
        self,
        *,
        address: str,
        report_to: str,
        service: str,
        zone: str,
        cpu: int,
        keeps_id: bool = False,
    ) -> None:
        self._report_to = report_to
        self._service = service
        self._zone = zone
        self._cpu = cpu
        self._shrunk_at = float("-inf")
        self._address = address
        self._number = next(_numbers)
        self._lives = 0
        self._keeps_id = keeps_id
        self._worker_id = ""
        self._born = 0
        self._clock_zero = 0.0
        self._is_down = True
        self._crashes: set[asyncio.Task[None]] = set()
        self._beats = 0
        self._runs = EmulatedRuns()
        self._done: set[str] = set()
        self._faults = WorkerFaults()
        self._random = random.Random(7)
        self._fate_random = random.Random(11)
        """Draws of its own, so that fates leave the draws of older faults as they are."""
        self._client = JsonClient()
        self._tasks: set[asyncio.Task[None]] = set()
        self._beating: asyncio.Task[None] | None = None
        self._server: HTTPServer | None = None
        self.state = "ready"
        self.remaining_s: float | None = None
        """The least time that it has left, as it says while it leaves."""
        self.leave_known_at: float | None = None
        """When its agent first took a report of this life that says that it leaves, by the system's
        monotonic clock; None while it stays."""
        self.labels: tuple[str, ...] = ("a", "r1")
        self.advertised = ""
        """Where its agent calls it if not at its own address, as through a proxy."""
        self.started: list[tuple[str, int]] = []
        """Every run that was started, in order: task and run."""
        self.on_start: Callable[[str], None] = lambda task: None
        """Called with each task that is started."""
        self.on_crash: Callable[[set[str]], None] = lambda tasks: None
        """Called with all that runs as a task makes this worker crash."""
        self.is_closed = False
        """Whether it stays down."""
        self.on_call: Callable[[CallRecord], None] = lambda record: None
        """Called with each call as it arrives, and again once it was carried out."""

    @property
    def worker_id(self) -> str:
        """The id that the present life reports under, and that calls name."""
        return self._worker_id

    @property
    def life_id(self) -> str:
        """What agents call the present life."""
        return make_incarnation_id(self._worker_id, self._told_born)

    @property
    def is_down(self) -> bool:
        """Whether no life goes on."""
        return self._is_down

    @property
    def _told_born(self) -> int | msgspec.UnsetType:
        return self._born if self._keeps_id else msgspec.UNSET

    @property
    def active_tasks(self) -> set[str]:
        """The tasks that run now."""
        self._runs.advance(self._now())
        return set(self._runs.active)

    def has_done(self, task: str) -> bool:
        """Tell whether a task has ended well here, in any life."""
        self._runs.advance(self._now())
        self._done |= self._runs.done
        return task in self._done

    def set_faults(self, **faults: Any) -> None:
        """Change the faults."""
        self._faults = replace(self._faults, **faults)

    def set_cpu(self, cpu: int) -> None:
        """Change the room, in thousandths of a core; the next report says so."""
        if cpu < self._cpu:
            self._shrunk_at = time.monotonic()
        self._cpu = cpu

    @property
    def is_overloaded(self) -> bool:
        """Whether more runs than there has been room for since a while, as this worker's text says.

        Room that has shrunk counts after :data:`SHRUNK_S`.
        """
        used = TASK_CPU * len(self.active_tasks)
        return used > self._cpu and time.monotonic() > self._shrunk_at + SHRUNK_S

    def start(self) -> None:
        """Begin a life: listen and report."""
        self._lives += 1
        self._is_down = False
        self.leave_known_at = None
        self._worker_id = f"i-{self._service}-{self._number}"
        if self._keeps_id:
            self._born = max(self._born + 1, int(time.time() * 1000))
            self._clock_zero = time.monotonic()
            self._beats = 0
        else:
            self._worker_id += f"-{self._lives}"
            self._clock_zero = -CLOCK_AHEAD_S
        self._runs = EmulatedRuns()
        routes = [
            (START_PATH, CallHandler, {"worker": self, "kind": CallKind.START}),
            (STOP_PATH, CallHandler, {"worker": self, "kind": CallKind.STOP}),
            (POLL_PATH, CallHandler, {"worker": self, "kind": CallKind.LOOK}),
        ]
        self._server = HTTPServer(Application(routes, log_function=skip_access_log))
        sockets, self._address = bind_address(self._address)
        self._server.add_sockets(sockets)
        self._beating = self._spawn(self._beat_forever())

    async def leave(self) -> None:
        """Say goodbye after the last report and end the life, with everything that runs."""
        if self._beating is not None:
            self._beating.cancel()
        await self._call_agent("Deregister", b"")
        await self.crash()

    async def crash(self) -> None:
        """End the life at once, with everything that runs."""
        self._is_down = True
        self._done |= self._runs.done
        self._runs = EmulatedRuns()
        for task in self._tasks:
            task.cancel()
        if self._server is not None:
            self._server.stop()
            await self._server.close_all_connections()

    @property
    def address(self) -> str:
        """Where it takes calls."""
        return self._address

    @property
    def report_to(self) -> str:
        """The address where it reports."""
        return self._report_to

    def make_report(self) -> Heartbeat:
        """Return the next report."""
        self._beats += 1
        return Heartbeat(
            service=self._service,
            address=self.advertised or self.address,
            zone=self._zone,
            version=VERSION,
            slots=SLOTS,
            state=WorkerState(self.state),
            cold_left_ms=0.0,
            seq=self._beats,
            born=self._told_born,
            capacity=CapacityBody(cpu=self._cpu, memory_mb=MEMORY_MB),
            labels=self.labels,
            clock_ms=round(self._now() * 1000),
            remaining_ms=msgspec.UNSET if self.remaining_s is None else self.remaining_s * 1000,
        )

    def _now(self) -> float:
        """Return the worker's own clock, which counts from elsewhere than the agent's."""
        return time.monotonic() - self._clock_zero

    async def _beat_forever(self) -> None:
        while True:
            await self._beat()
            await asyncio.sleep(0.3)

    async def _beat(self) -> None:
        report = self.make_report()
        is_leaving = report.state is WorkerState.LEAVING
        if not is_leaving:
            self.leave_known_at = None
        is_taken = await self._call_agent("Heartbeat", report)
        if is_taken and is_leaving and self.leave_known_at is None:
            self.leave_known_at = time.monotonic()

    async def _call_agent(self, name: str, body: Any) -> bool:
        """Return whether the agent took it."""
        url = f"http://{self._report_to}/v1/Instances.{name}/{self._worker_id}"
        try:
            response = await self._client.request(
                "POST", url, body=body, timeout_s=REPORT_TIMEOUT_S
            )
        except HttpFailure:
            # The agent may be down or restarting; the next report tells it all anew.
            return False
        return response.status == 200

    async def take_call(self, kind: CallKind, call: dict[str, Any]) -> Answer:
        """Let a call meet its fate; return what its caller gets, if it still waits."""
        fate = self._faults.get_fates(kind).draw(self._fate_random)
        record = CallRecord(kind=kind, task=call.get("task", ""), run=call.get("run", 0), fate=fate)
        self.on_call(record)
        if fate is Fate.DONE_LATE:
            self._spawn(self._serve_late(record, call))
        if fate in (Fate.DONE_LATE, Fate.LOST):
            await asyncio.sleep(UNANSWERED_S)
            return 503, self._make_answer("")
        answer = await self._serve(record, call)
        if fate is Fate.ANSWERED_LATE:
            await asyncio.sleep(self._fate_random.uniform(*ANSWERED_LATE_S))
        if fate is Fate.UNANSWERED:
            await asyncio.sleep(UNANSWERED_S)
        return answer

    async def _serve_late(self, record: CallRecord, call: dict[str, Any]) -> None:
        await asyncio.sleep(self._fate_random.uniform(*DONE_LATE_S))
        await self._serve(record, call)

    async def _serve(self, record: CallRecord, call: dict[str, Any]) -> Answer:
        serves: dict[CallKind, Serve] = {
            CallKind.START: self._start_run,
            CallKind.STOP: self._stop_run,
            CallKind.LOOK: self._hold,
        }
        status, body = await serves[record.kind](call)
        reason = body.reason if isinstance(body, ClockResponse) else ""
        self.on_call(replace(record, reason=reason))
        return status, body

    async def _start_run(self, call: dict[str, Any]) -> tuple[int, ClockResponse]:
        if self._random.random() < self._faults.late_orders:
            self._spawn(self._start_late(call))
            await asyncio.sleep(UNANSWERED_S)
        return self._carry_out(call)

    async def _start_late(self, call: dict[str, Any]) -> None:
        await asyncio.sleep(self._random.uniform(*LATE_ORDER_S))
        self._carry_out(call)

    def _carry_out(self, call: dict[str, Any]) -> tuple[int, ClockResponse]:
        order = Order(
            task=call["task"],
            run=call["run"],
            until_s=call["until_ms"] / 1000,
            fence=call["fence"],
            run_s=_read_number(call["spec"], "run_s", DEFAULT_RUN_S) * self._faults.slow,
            fails=self._random.random() < self._faults.fail,
            stands_still=self._random.random() < self._faults.stand_still,
        )
        now = self._now()
        was_active = order.task in self._runs.active
        reason = self._runs.start(order, now=now)
        if not reason and not was_active:
            self.started.append((order.task, order.run))
            self.on_start(order.task)
            self._plan_crash(call["spec"], order.task)
        return (409 if reason else 200), self._make_answer(reason)

    def _plan_crash(self, text: str, task: str) -> None:
        crash_s = _read_number(text, "crash_s", float("inf"))
        if crash_s == float("inf"):
            return
        crash = asyncio.ensure_future(self._crash_under(task, crash_s, self._lives))
        self._crashes.add(crash)
        crash.add_done_callback(self._crashes.discard)

    async def _crash_under(self, task: str, crash_s: float, life: int) -> None:
        """Crash if a task still runs after a while, and come back."""
        await asyncio.sleep(crash_s)
        if self._lives != life or self._is_down or task not in self.active_tasks:
            return
        self.on_crash(self.active_tasks)
        await self.crash()
        await asyncio.sleep(BACK_S)
        if self._is_down and not self.is_closed:
            self.start()

    async def _stop_run(self, call: dict[str, Any]) -> tuple[int, ClockResponse]:
        if self._random.random() < self._faults.lost_stops:
            await asyncio.sleep(UNANSWERED_S)
            return 503, self._make_answer("")
        now = self._now()
        reason = self._runs.stop(call["task"], call["run"], call["fence"], now=now)
        return (409 if reason else 200), self._make_answer(reason)

    async def _hold(self, call: dict[str, Any]) -> tuple[int, ClockResponse | HoldResponse]:
        until_ms = call.get("until_ms")
        reason = self._runs.hold(
            fence=call["fence"],
            ends_seen=call.get("acked_upto", 0),
            until_s=None if until_ms is None else until_ms / 1000,
            now=self._now(),
        )
        if reason:
            return 409, self._make_answer(reason)
        answer_by = self._now() + call.get("wait_ms", 0) / 1000
        while self._now() < answer_by and not self._runs.get_ended():
            await asyncio.sleep(LOOK_GRAIN_S)
            self._runs.advance(self._now())
        now = self._now()
        return 200, HoldResponse(
            clock_ms=round(now * 1000),
            born=self._told_born,
            running=tuple(
                (task, run.order.run, "", run.get_percent(now))
                for task, run in self._runs.active.items()
            ),
            ended=tuple((*end, "") for end in self._runs.get_ended()),
        )

    def _make_answer(self, reason: str) -> ClockResponse:
        return ClockResponse(clock_ms=round(self._now() * 1000), reason=reason)

    def _spawn(self, coroutine: Any) -> asyncio.Task[None]:
        task: asyncio.Task[None] = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task


def _read_number(text: str, name: str, default: float) -> float:
    """Return a number of a task's text."""
    try:
        return float(msgspec.json.decode(text)[name])
    except (msgspec.MsgspecError, KeyError, TypeError, ValueError):
        return default

"""A model of the platform's workers, whose calls may be lost, executed late or answered late.

The clock of a worker has another origin than its agent's, and may be slow.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec

from dalemast.core.supervision import WorkerIncarnation
from dalemast.core.workloads import Resources
from dalemast.emulator.runs import EmulatedRuns, Order
from dalemast.platform.incarnations import make_incarnation_id
from dalemast.platform.wire import (
    EXPECTED_INCARNATION_HEADER,
    ClockResponse,
    HoldResponse,
)
from dalemast.platform.worker import (
    POLL_PATH,
    START_PATH,
    STOP_PATH,
)
from tests.histories.base import CallEffect, CallFault
from tests.histories.clock import (
    EPOCH_S,
    ModelHost,
    Timeline,
)
from tests.histories.network import End

__all__ = ["SERVICE", "ModelWorker", "StartedRun", "TaskSpec"]

SERVICE = "floor"
DATA_CENTRE = "austin"
MAX_STOP_S = 0.05
"""Maximum duration of a stop on the platform."""
SHRINK_GRACE_S = 4.5
"""Grace period on the platform before a reduced capacity is enforced: 3 s and a report interval."""
HOLD_CHECK_INTERVAL_S = 0.005
"""Interval at which a pending poll checks for ended runs."""
RESPONSE_S = (0.0003, 0.002)
"""Range of response times without a fault."""
KINDS = {START_PATH: "start", STOP_PATH: "stop", POLL_PATH: "hold"}
CLOCK_AHEAD_S = 5_000.0
"""Initial offset of the worker's clock from the agent's. The clock of a later incarnation under the
same id starts at 0, so that a time on an earlier one's clock is far in the future."""


class TaskSpec(msgspec.Struct, frozen=True, kw_only=True):
    """The payload of a job, which tells the modelled worker how its tasks run."""

    run_s: tuple[float, ...]
    cpu: int
    submission: int
    crash_s: tuple[float | None, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class StartedRun:
    """A run that has just started."""

    worker: str
    task: str
    run: int
    submission: int
    earlier_run: int | None = None
    """The run of the same task that was active on the same worker."""
    is_late: bool = False
    """Whether the worker executed the order later than it received it."""


class ModelWorker:
    """One worker. Unless it keeps its id, its clock continues across incarnations."""

    def __init__(
        self,
        *,
        name: str,
        cpu: int,
        rate: float,
        keeps_id: bool,
        timeline: Timeline,
        rng: random.Random,
        faults: list[CallFault],
        on_start: Callable[[StartedRun], None],
        on_crash: Callable[[ModelWorker, str], None],
        on_overload: Callable[[str], None],
        note: Callable[[str, str], None],
    ) -> None:
        self.host = ModelHost(name=name, timeline=timeline)
        self._incarnation_number = 1
        self._cpu = cpu
        self._rate = rate
        self._keeps_id = keeps_id
        self._began_at = timeline.now
        self._clock_zero = timeline.now + CLOCK_AHEAD_S
        self._timeline = timeline
        self._rng = rng
        self._faults = faults
        self._used_faults: dict[int, int] = {}
        self._on_start = on_start
        self._on_crash = on_crash
        self._on_overload = on_overload
        self._checks_capacity = True
        """Whether it refuses starts beyond its capacity; once resized, it relies on its agent."""
        self._shrunk_at = float("-inf")
        self.leaves_at: float | None = None
        """Earliest time at which it may end, if it has given notice."""
        self._note = note
        self._runs = EmulatedRuns()
        self._cpus: dict[str, int] = {}
        self._ends_noted = 0
        self._done: set[str] = set()
        """Tasks that completed in earlier incarnations."""

    @property
    def incarnation(self) -> WorkerIncarnation:
        """The current incarnation, as it is reported to the agent."""
        return WorkerIncarnation(
            id=make_incarnation_id(self._wire_id, self._born),
            service=SERVICE,
            data_centre=DATA_CENTRE,
            capacity=Resources(cpu=self._cpu, memory_mb=65_536),
            labels=frozenset(),
            is_leaving=self.leaves_at is not None,
            remaining_s=self._get_left_s(),
        )

    @property
    def _wire_id(self) -> str:
        """The id in its reports and in calls to it."""
        return f"i-{self.name}" if self._keeps_id else f"i-{self.name}-{self._incarnation_number}"

    @property
    def _born(self) -> int | msgspec.UnsetType:
        """Start of this incarnation (Unix milliseconds); unset if its id is unique."""
        return int((EPOCH_S + self._began_at) * 1000) if self._keeps_id else msgspec.UNSET

    @property
    def name(self) -> str:
        """The name of its host, which is part of its id."""
        return self.host.name

    @property
    def done(self) -> set[str]:
        """Tasks that have completed on this worker."""
        self._advance()
        return self._done | self._runs.done

    def _get_left_s(self) -> float | None:
        return None if self.leaves_at is None else max(self.leaves_at - self._timeline.now, 0.0)

    def get_active(self) -> dict[str, int]:
        """Return the active runs by task."""
        self._advance()
        return {task: active.order.run for task, active in self._runs.active.items()}

    def resize(self, cpu: int) -> None:
        """Change the capacity, and accept all starts from now on."""
        if cpu < self._cpu:
            self._shrunk_at = self._timeline.now
        self._cpu = cpu
        self._checks_capacity = False

    def crash(self) -> None:
        """End this incarnation and its runs; the next one starts once the host is up again."""
        self._done = self.done
        self._incarnation_number += 1
        self.leaves_at = None
        self._runs = EmulatedRuns()
        self._ends_noted = 0
        self.host.is_up = False
        if self._keeps_id:
            self._began_at = self._timeline.now
            self._clock_zero = 0.0

    def accept(self, end: End) -> None:
        """Accept a connection."""
        end.attach(receive=lambda data: self._receive(end, data), lose=lambda: None)

    def _now(self) -> float:
        """Return the worker's own clock."""
        passed_s = (self._timeline.now - self._began_at) * self._rate
        return self._clock_zero + passed_s

    def _advance(self) -> None:
        self._runs.advance(self._now())
        for number, task, run, how in self._runs.get_ended():
            if number > self._ends_noted:
                self._ends_noted = number
                self._note(self.name, f"run {run} of {task} ends: {how}")

    def _receive(self, end: End, data: bytes) -> None:
        head, _, body = data.partition(b"\r\n\r\n")
        lines = head.decode().split("\r\n")
        path = lines[0].split(" ")[1]
        headers = dict(line.split(": ", 1) for line in lines[1:])
        call = msgspec.json.decode(body)
        if headers.get(EXPECTED_INCARNATION_HEADER, self._wire_id) != self._wire_id:
            _answer(end, 421, ClockResponse())
            return
        kind = KINDS[path]
        effect, delay_s = self._choose_effect(kind)
        if effect is not None:
            what = f"{call['task']} run {call['run']}" if "task" in call else ""
            self._note(self.name, f"{kind} {what} will be {effect.value} ({delay_s:.3f} s)")
        if effect is CallEffect.LOST:
            return
        if effect is CallEffect.REJECTED:
            _answer(end, 503, ClockResponse())
            return
        if effect is CallEffect.NO_ROOM and not self._is_active(call):
            reason = self._renew(call) or "room"
            self._answer_soon(end, 409, self._make_answer(reason), effect=None, delay_s=0.0)
            return
        if effect is CallEffect.DONE_LATE:
            self._carry_out_later(kind, call, delay_s)
            return
        if kind == "hold":
            answer_at = self._timeline.now + call.get("wait_ms", 0) / 1000
            self._hold(end, call, answer_at=answer_at, effect=effect, delay_s=delay_s)
            return
        status, answer = self._carry_out(kind, call)
        self._answer_soon(end, status, answer, effect=effect, delay_s=delay_s)

    def _carry_out_later(self, kind: str, call: dict[str, Any], delay_s: float) -> None:
        """Execute a call later, unless the incarnation it was sent to has ended by then."""
        incarnation = self._incarnation_number

        def carry_out() -> None:
            if self._incarnation_number == incarnation:
                self._note(self.name, f"executes a late {kind}")
                self._carry_out(kind, call, is_late=True)

        self._timeline.call_later(delay_s, carry_out)

    def _choose_effect(self, kind: str) -> tuple[CallEffect | None, float]:
        now = self._timeline.now
        for number, fault in enumerate(self._faults):
            if fault.kind != kind or not fault.at_s <= now < fault.at_s + fault.for_s:
                continue
            used = self._used_faults.get(number, 0)
            if used < fault.max_calls:
                self._used_faults[number] = used + 1
                return fault.effect, fault.delay_s
        return None, 0.0

    def _answer_soon(
        self, end: End, status: int, answer: Any, *, effect: CallEffect | None, delay_s: float
    ) -> None:
        if effect is CallEffect.DONE_UNANSWERED:
            return
        if effect is not CallEffect.ANSWERED_LATE:
            delay_s = self._rng.uniform(*RESPONSE_S)
        self._timeline.call_later(delay_s, lambda: _answer(end, status, answer))

    def _carry_out(
        self, kind: str, call: dict[str, Any], *, is_late: bool = False
    ) -> tuple[int, Any]:
        self._advance()
        if kind == "start":
            reason = self._start(call, is_late=is_late)
        elif kind == "stop":
            reason = self._stop(call)
        else:
            reason = self._renew(call)
        return (409 if reason else 200), self._make_answer(reason)

    def _is_active(self, call: dict[str, Any]) -> bool:
        """Return whether the run that a call names is active."""
        active = self._runs.active.get(call["task"])
        return active is not None and active.order.run == call["run"]

    def _start(self, call: dict[str, Any], *, is_late: bool) -> str:
        text = msgspec.json.decode(call["spec"], type=TaskSpec)
        task, run, now = call["task"], call["run"], self._now()
        is_active = self._is_active(call)
        position = int(task.rpartition(".")[2])
        order = Order(
            task=task,
            run=run,
            until_s=call["until_ms"] / 1000,
            fence=call["fence"],
            run_s=text.run_s[position],
        )
        if not is_active and self._checks_capacity and not self._has_capacity(text.cpu):
            # Capacity is checked last, so that other reasons for a refusal take precedence.
            return self._renew(call) or "room"
        earlier_run = self.get_active().get(task)
        reason = self._runs.start(order, now=now)
        left_s = order.until_s - now
        self._note(
            self.name,
            f"start of {task} run {run}: {reason or 'ok'}, lease of {left_s:.3f} s left",
        )
        if not reason and not is_active:
            self._cpus[task] = text.cpu
            if not self._has_capacity(0) and self._timeline.now > self._shrunk_at + SHRINK_GRACE_S:
                self._on_overload(f"{task} run {run} begins on {self.name} beyond its capacity")
            self._on_start(
                StartedRun(
                    worker=self.name,
                    task=task,
                    run=run,
                    submission=text.submission,
                    earlier_run=earlier_run,
                    is_late=is_late,
                )
            )
            if text.crash_s and text.crash_s[position] is not None:
                self._crash_later(task, run, text.crash_s[position])
        return reason

    def _crash_later(self, task: str, run: int, delay_s: float) -> None:
        """Crash this incarnation unless the run ends within the delay."""
        incarnation = self._incarnation_number

        def crash() -> None:
            if self._incarnation_number == incarnation and self.get_active().get(task) == run:
                self._on_crash(self, task)

        self._timeline.call_later(delay_s, crash)

    def _has_capacity(self, cpu: int) -> bool:
        used = sum(self._cpus.get(task, 0) for task in self._runs.active)
        return used + cpu <= self._cpu

    def _stop(self, call: dict[str, Any]) -> str:
        task, run = call["task"], call["run"]
        is_active = self._is_active(call)
        self._note(self.name, f"stop of {task} run {run}{'' if is_active else ', not active'}")
        if not is_active:
            return self._runs.stop(task, run, call["fence"], now=self._now())
        incarnation, stop_s = self._incarnation_number, self._rng.uniform(0.0, MAX_STOP_S)
        self._timeline.call_later(
            stop_s, lambda: self._end_stopped(task, run, call["fence"], incarnation=incarnation)
        )
        return ""

    def _end_stopped(self, task: str, run: int, fence: int, *, incarnation: int) -> None:
        if incarnation != self._incarnation_number:
            return
        self._runs.stop(task, run, fence, now=self._now())
        self._advance()

    def _renew(self, call: dict[str, Any]) -> str:
        until_ms = call.get("until_ms")
        return self._runs.hold(
            fence=call["fence"],
            ends_seen=call.get("acked_upto", 0),
            until_s=None if until_ms is None else until_ms / 1000,
            now=self._now(),
        )

    def _hold(
        self,
        end: End,
        call: dict[str, Any],
        *,
        answer_at: float,
        effect: CallEffect | None,
        delay_s: float,
    ) -> None:
        self._advance()
        reason = self._renew(call)
        if reason:
            self._answer_soon(end, 409, self._make_answer(reason), effect=effect, delay_s=delay_s)
            return
        self._await_end(end, answer_at=answer_at, effect=effect, delay_s=delay_s)

    def _await_end(
        self, end: End, *, answer_at: float, effect: CallEffect | None, delay_s: float
    ) -> None:
        self._advance()
        if end.is_closed:
            return
        if self._timeline.now < answer_at and not self._runs.get_ended():
            self._timeline.call_later(
                HOLD_CHECK_INTERVAL_S,
                lambda: self._await_end(end, answer_at=answer_at, effect=effect, delay_s=delay_s),
            )
            return
        now = self._now()
        answer = HoldResponse(
            clock_ms=round(now * 1000),
            born=self._born,
            running=tuple(
                (task, run.order.run, "", run.get_percent(now))
                for task, run in self._runs.active.items()
            ),
            ended=tuple((*ended, "") for ended in self._runs.get_ended()),
        )
        self._answer_soon(end, 200, answer, effect=effect, delay_s=delay_s)

    def _make_answer(self, reason: str) -> ClockResponse:
        return ClockResponse(clock_ms=round(self._now() * 1000), reason=reason)


def _answer(end: End, status: int, answer: Any) -> None:
    body = msgspec.json.encode(answer)
    head = f"HTTP/1.1 {status} Any\r\nContent-Length: {len(body)}\r\n\r\n"
    end.write(head.encode() + body)

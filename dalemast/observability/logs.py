"""Structured logs by eliot: one action a job, nothing secret in them."""

from __future__ import annotations

import atexit
import enum
import sys
from typing import TextIO

import eliot

from dalemast.observability.output import BoundedOutput

__all__ = ["LogLevel", "log_error", "log_event", "log_job", "set_up_logs"]


class LogLevel(enum.IntEnum):
    """How much is logged; each level includes those before it."""

    NONE = 0
    ERRORS = 1
    JOBS = 2
    ALL = 3


class _State:
    level = LogLevel.NONE
    process = ""


def set_up_logs(*, level: str, destination: str, process: str) -> None:
    """Send logs of a level to stdout, stderr or a file, marked with the process's name."""
    _State.level = LogLevel[level.upper()]
    _State.process = process
    if _State.level is LogLevel.NONE:
        return
    if destination == "stdout":
        output = BoundedOutput(descriptor=sys.stdout.fileno())
        eliot.add_destinations(output)
        atexit.register(output.flush)
        return
    stream: TextIO = sys.stderr
    if destination != "stderr":
        stream = open(destination, "a", buffering=1)  # noqa: SIM115 - open for the process's life
    eliot.to_file(stream)


def log_error(event: str, **fields: object) -> None:
    """Log something that went wrong."""
    if _State.level >= LogLevel.ERRORS:
        eliot.log_message(message_type=event, process=_State.process, **fields)


def log_event(event: str, **fields: object) -> None:
    """Log something that happened to a process: links, configuration, drains."""
    if _State.level >= LogLevel.ALL:
        eliot.log_message(message_type=event, process=_State.process, **fields)


def log_job(
    *,
    job: str,
    account: str,
    service: str,
    tasks: int,
    outcome: str,
    run: str,
    code: str,
    response_ms: float,
    workers: tuple[str, ...] = (),
) -> None:
    """Log a job as one action with a message for each worker that was given part of it."""
    if _State.level < LogLevel.JOBS:
        return
    with eliot.start_action(
        action_type="job",
        process=_State.process,
        job=job,
        account=account,
        service=service,
        tasks=tasks,
    ) as action:
        for worker in workers:
            action.log(message_type="job:worker", worker=worker)
        action.add_success_fields(
            outcome=outcome, run=run, code=code, response_ms=round(response_ms, 2)
        )

"""Structured logs by eliot: one action a job, nothing secret in them.

Lines to standard output are written in eliot's format without eliot: importing it takes a fifth of
what a process of the fleet imports before it can serve, and after a loss of power callers wait for
that. eliot is imported where its actions or other destinations are used.
"""

from __future__ import annotations

import atexit
import enum
import itertools
import secrets
import sys
import time
from typing import Any, TextIO

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
    output: BoundedOutput | None = None
    """Where lines go when standard output takes them."""
    is_known_to_eliot = False
    """Whether eliot's actions go to the same output."""


_message_names = itertools.count(1)
_run_name = secrets.token_hex(8)


def set_up_logs(*, level: str, destination: str, process: str) -> None:
    """Send logs of a level to stdout, stderr or a file, marked with the process's name."""
    _State.level = LogLevel[level.upper()]
    _State.process = process
    if _State.level is LogLevel.NONE:
        return
    if destination == "stdout":
        _State.output = BoundedOutput(descriptor=sys.stdout.fileno())
        _State.is_known_to_eliot = False
        atexit.register(_State.output.flush)
        return
    _State.output = None
    stream: TextIO = sys.stderr
    if destination != "stderr":
        stream = open(destination, "a", buffering=1)  # noqa: SIM115 - open for the process's life
    _get_eliot().to_file(stream)


def log_error(event: str, **fields: object) -> None:
    """Log something that went wrong."""
    if _State.level >= LogLevel.ERRORS:
        _write(event, fields)


def log_event(event: str, **fields: object) -> None:
    """Log something that happened to a process: links, configuration, drains."""
    if _State.level >= LogLevel.ALL:
        _write(event, fields)


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
    with _get_eliot().start_action(
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


def _write(event: str, fields: dict[str, object]) -> None:
    """Write one message as eliot does for one that belongs to no action."""
    if _State.output is None:
        _get_eliot().log_message(message_type=event, process=_State.process, **fields)
        return
    _State.output(
        {
            "task_uuid": f"{_run_name}-{next(_message_names)}",
            "task_level": [1],
            "timestamp": time.time(),
            "message_type": event,
            "process": _State.process,
            **fields,
        }
    )


def _get_eliot() -> Any:
    """Return eliot, with the output of this process among its destinations."""
    import eliot

    if _State.output is not None and not _State.is_known_to_eliot:
        _State.is_known_to_eliot = True
        eliot.add_destinations(_State.output)
    return eliot

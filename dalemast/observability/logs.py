"""Structured logs in eliot's format, with one action per job and no secrets.

Lines to standard output are written without eliot, because importing it delays the start of a
process. eliot is imported only for its actions and for other destinations.
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
    """Verbosity of the log; each level includes those before it."""

    NONE = 0
    ERRORS = 1
    JOBS = 2
    ALL = 3


class _State:
    level = LogLevel.NONE
    process = ""
    output: BoundedOutput | None = None
    """The destination if logs go to standard output, else None."""
    is_registered_with_eliot = False
    """Whether ``output`` is also a destination of eliot's actions."""


_message_numbers = itertools.count(1)
_run_id = secrets.token_hex(8)


def set_up_logs(*, level: str, destination: str, process: str) -> None:
    """Configure the level, the destination (stdout, stderr or a file) and the process's name."""
    _State.level = LogLevel[level.upper()]
    _State.process = process
    if _State.level is LogLevel.NONE:
        return
    if destination == "stdout":
        _State.output = BoundedOutput(descriptor=sys.stdout.fileno())
        _State.is_registered_with_eliot = False
        atexit.register(_State.output.flush)
        return
    _State.output = None
    stream: TextIO = sys.stderr
    if destination != "stderr":
        stream = open(destination, "a", buffering=1)  # noqa: SIM115 - open for the process's life
    _get_eliot().to_file(stream)


def log_error(event: str, **fields: object) -> None:
    """Log an error."""
    if _State.level >= LogLevel.ERRORS:
        _write(event, fields)


def log_event(event: str, **fields: object) -> None:
    """Log an event of a process, such as a new link, a configuration or a drain."""
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
    """Log a job as one action, with a message for each worker that received tasks of it."""
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
    """Write a message in the format that eliot uses outside actions."""
    if _State.output is None:
        _get_eliot().log_message(message_type=event, process=_State.process, **fields)
        return
    _State.output(
        {
            "task_uuid": f"{_run_id}-{next(_message_numbers)}",
            "task_level": [1],
            "timestamp": time.time(),
            "message_type": event,
            "process": _State.process,
            **fields,
        }
    )


def _get_eliot() -> Any:
    """Import eliot and add this process's output to its destinations."""
    import eliot

    if _State.output is not None and not _State.is_registered_with_eliot:
        _State.is_registered_with_eliot = True
        eliot.add_destinations(_State.output)
    return eliot

"""Request and response bodies of the callers' API, and their limits."""

from __future__ import annotations

import re

import msgspec

from dalemast.core.configuration import PlatformLimits
from dalemast.core.dispatch import JobRequest
from dalemast.core.verdicts import Run
from dalemast.http.base import decode_body
from dalemast.http.exceptions import BadBody, BodyTooLarge

__all__ = [
    "CompleteAnswer",
    "JobBody",
    "PendingAnswer",
    "TicketsAnswer",
    "TicketsBody",
    "read_job",
]

MAX_DEPTH = 64
"""Maximum nesting of arrays and objects in a payload."""

_STRINGS = re.compile(rb'"(?:[^"\\]|\\.)*"')


class TaskBody(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One task of a job."""

    payload: msgspec.Raw


class JobBody(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A job as submitted by a caller."""

    service: str
    tasks: tuple[TaskBody, ...]
    selector: str = ""
    deadline_ms: int = 30_000
    repeatable: bool = False


class TicketsBody(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A request for tickets."""

    count: int = 1


class TicketsAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Tickets, each valid for one job."""

    tickets: tuple[str, ...]


class CompleteAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """The result of a successful job, with one answer per task in task order."""

    job: str
    outcome: str
    answers: tuple[msgspec.Raw, ...]
    run: Run = Run.RAN
    next_ticket: str | None = None


class PendingAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """The response to a poll for a job that has no result yet."""

    job: str
    outcome: str = "pending"


def read_job(body: bytes, *, account: str, limits: PlatformLimits) -> JobRequest:
    """Parse a job and check its limits; raise :class:`BadBody` or :class:`BodyTooLarge`."""
    if len(body) > limits.max_job_bytes:
        raise BodyTooLarge(
            f"the job is {len(body)} bytes long, the limit is {limits.max_job_bytes}", place="$"
        )
    job: JobBody = decode_body(body, JobBody)
    _check_tasks(job, limits)
    if not 0 < job.deadline_ms <= limits.max_deadline_ms:
        raise BadBody(
            f"the deadline must be from 1 to {limits.max_deadline_ms} ms, not {job.deadline_ms}",
            place="$.deadline_ms",
        )
    return JobRequest(
        account=account,
        service=job.service,
        selector=job.selector,
        deadline_s=job.deadline_ms / 1000.0,
        is_repeatable=job.repeatable,
        payloads=tuple(task.payload for task in job.tasks),
        size_bytes=len(body),
    )


def _check_tasks(job: JobBody, limits: PlatformLimits) -> None:
    if not job.tasks:
        raise BadBody("a job must have at least one task", place="$.tasks")
    if len(job.tasks) > limits.max_tasks_per_job:
        raise BodyTooLarge(
            f"a job may have at most {limits.max_tasks_per_job} tasks, not {len(job.tasks)}",
            place="$.tasks",
        )
    for number, task in enumerate(job.tasks):
        payload = bytes(task.payload)
        place = f"$.tasks[{number}].payload"
        if len(payload) > limits.max_payload_bytes:
            raise BodyTooLarge(
                f"a payload may have at most {limits.max_payload_bytes} bytes, not {len(payload)}",
                place=place,
            )
        if _is_too_deep(payload):
            raise BodyTooLarge(f"a payload may be nested at most {MAX_DEPTH} deep", place=place)


def _is_too_deep(payload: bytes) -> bool:
    if payload.count(b"[") + payload.count(b"{") <= MAX_DEPTH:
        return False
    depth = 0
    for byte in _STRINGS.sub(b"", payload):
        if byte in b"[{":
            depth += 1
            if depth > MAX_DEPTH:
                return True
        elif byte in b"]}":
            depth -= 1
    return False

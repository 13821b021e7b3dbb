"""Cancels jobs for their callers, whichever entry has the job.

The request may arrive at any entry, and before the submission. It is acknowledged once the entries
that decide on the job's id know that it is cancelled, and no entry holds the id any more. If that
can't be confirmed, the caller is told to repeat the request.
"""

from __future__ import annotations

import asyncio
import itertools
from collections import defaultdict
from collections.abc import Callable, Iterator
from typing import Protocol

from dalemast import clock
from dalemast.core.ownership import Granted, Held, Withheld
from dalemast.fleet.base import CancelOutcome, CancelUnconfirmed, JobCancelled, JobUnknown
from dalemast.fleet.entry.claim_retries import THIS_ENTRY, ClaimResult, ClaimRetries
from dalemast.fleet.entry.claims import UNKNOWN_OWNER
from dalemast.observability import Metrics, log_event

__all__ = ["Cancellations"]

CANCEL_WAIT_S = 1.0
"""How long a request may wait until no entry holds the id any more. Longer than an owner needs to
stop the runs of a job, and shorter than callers wait for an answer."""
MAX_WAIT_SHARE = 0.5
"""Maximum share of the caller's timeout that a request may wait."""
FIRST_RETRY_S = 0.04
MAX_RETRY_S = 0.32
"""Pauses between two attempts, each twice as long as the one before. They are bounded below by the
time in which a job is stopped, and grow since many jobs may be cancelled at the same time."""
MAX_IN_PROGRESS = 32
"""Maximum number of requests of one queue that are in progress at a time. Many jobs may be
cancelled at once, and the claims of other jobs must be answered in the meantime."""
BUSY_CAUSE = "too many jobs are being cancelled"
UNCONFIRMED_CAUSE = "an entry that may have the job did not answer"
UNCONFIRMED_RETRY_S = 0.1
"""Retry delay for callers whose request could not be confirmed."""


class CancelClaims(Protocol):
    """Cancels jobs by their ids."""

    async def cancel(self, job_id: str, *, queue: str) -> ClaimResult:
        """Cancel a job, and ask its owner to stop it."""


class Cancellations:
    """The requests to cancel jobs that arrive at one entry.

    ``is_open`` returns whether this entry has a job of a queue, given its id and the queue's name.
    """

    def __init__(
        self,
        *,
        claims: CancelClaims,
        is_open: Callable[[str, str], bool],
        check_pause: Callable[[], bool],
        metrics: Metrics,
    ) -> None:
        self._claims = claims
        self._is_open = is_open
        self._metrics = metrics
        self._retries = ClaimRetries(check_pause=check_pause)
        self._slots: dict[str, asyncio.Semaphore] = defaultdict(
            lambda: asyncio.Semaphore(MAX_IN_PROGRESS)
        )
        """By the name of the queue, the requests that may still be in progress."""

    def note_process_pause(self) -> None:
        """Repeat the requests whose confirmation may be outdated after a pause of this process."""
        self._retries.note_pause()

    async def cancel(self, *, queue: str, job_id: str, timeout_s: float) -> CancelOutcome:
        """Cancel a job of a queue. ``timeout_s`` is how long the caller waits for the answer."""
        began = clock.monotonic()
        wait_s = min(CANCEL_WAIT_S, MAX_WAIT_SHARE * timeout_s)
        owners: set[str] = set()
        slots = self._slots[queue]
        try:
            await asyncio.wait_for(slots.acquire(), wait_s)
        except TimeoutError:
            outcome = CancelUnconfirmed(cause=BUSY_CAUSE, retry_after_s=UNCONFIRMED_RETRY_S)
        else:
            try:
                outcome = await self._confirm(job_id, queue, owners, deadline=began + wait_s)
            finally:
                slots.release()
        self._record(outcome, queue=queue, job_id=job_id, owners=owners, began=began)
        return outcome

    async def _confirm(
        self, job_id: str, queue: str, owners: set[str], *, deadline: float
    ) -> CancelOutcome:
        """Cancel a job until this is confirmed; add the entries that have the job to ``owners``."""
        if self._is_open(job_id, queue):
            owners.add(THIS_ENTRY)

        async def attempt() -> ClaimResult:
            result = await self._claims.cancel(job_id, queue=queue)
            if isinstance(result, Held) and result.owner not in ("", UNKNOWN_OWNER):
                owners.add(result.owner)
            return result

        result = await self._retries.repeat(attempt, pauses_s=_make_pauses(), deadline=deadline)
        return _make_outcome(result, is_found=bool(owners))

    def _record(
        self,
        outcome: CancelOutcome,
        *,
        queue: str,
        job_id: str,
        owners: set[str],
        began: float,
    ) -> None:
        """Count and log the outcome of a request."""
        is_confirmed = not isinstance(outcome, CancelUnconfirmed)
        name = {JobCancelled: "stopped", JobUnknown: "unknown"}.get(type(outcome), "unconfirmed")
        self._metrics.count(f"cancellations.{name}")
        log_event(
            "job:cancelled" if is_confirmed else "job:not-cancelled",
            job=job_id,
            queue=queue,
            outcome=name,
            owners=sorted(owners),
            took_s=round(clock.monotonic() - began, 3),
            **({} if is_confirmed else {"cause": outcome.cause}),
        )


def _make_pauses() -> Iterator[float]:
    """Return the pauses between the attempts of one request, in seconds."""
    pause_s = FIRST_RETRY_S
    while pause_s < MAX_RETRY_S:
        yield pause_s
        pause_s *= 2
    yield from itertools.repeat(MAX_RETRY_S)


def _make_outcome(result: ClaimResult, *, is_found: bool) -> CancelOutcome:
    match result:
        case Granted():
            return JobCancelled() if is_found else JobUnknown()
        case Withheld(until=float(until)):
            retry_after_s = max(until - clock.monotonic(), UNCONFIRMED_RETRY_S)
            return CancelUnconfirmed(cause=UNCONFIRMED_CAUSE, retry_after_s=retry_after_s)
        case _:
            return CancelUnconfirmed(cause=UNCONFIRMED_CAUSE, retry_after_s=UNCONFIRMED_RETRY_S)

"""Requests for claims at other entries, and what their responses come to."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass

from dalemast import clock
from dalemast.core.ownership import Cancelled, Held
from dalemast.fleet.entry.peer_sessions import PeerSession
from dalemast.fleet.frames import Claim, ClaimResponse

__all__ = ["ClaimRequest", "PendingClaim", "find_refusal", "is_granted"]


@dataclass(frozen=True, kw_only=True, slots=True)
class ClaimRequest:
    """What is claimed: the id of a job in a queue, to run it or to cancel it.

    A positive ``cancelled_for_s`` cancels it, and tells how long the id is kept as cancelled.
    """

    job_id: str
    queue: str
    cancelled_for_s: float = 0.0

    @property
    def is_cancelling(self) -> bool:
        """Whether the job is to be cancelled."""
        return self.cancelled_for_s > 0.0

    @property
    def cancelled_queue(self) -> str:
        """The queue in which the job is to be cancelled, or an empty string."""
        return self.queue if self.is_cancelling else ""

    def make_message(self, number: int) -> Claim:
        """Return the message that sends this request with a number."""
        return Claim(
            number=number,
            job=self.job_id,
            queue=self.queue,
            cancelled_for_s=round(self.cancelled_for_s, 3),
        )


@dataclass(frozen=True, kw_only=True, slots=True, eq=False)
class PendingClaim:
    """A claim that waits for its response. The response is None if the link has ended."""

    session: PeerSession
    response: asyncio.Future[ClaimResponse | None]

    def get_response(self) -> ClaimResponse | None:
        """Return the response if there is one."""
        return self.response.result() if self.response.done() else None


def is_granted(response: ClaimResponse | None) -> bool:
    """Return whether a keeper has granted a claim; a missing response never grants it."""
    return response is not None and response.is_granted


def find_refusal(responses: Iterable[ClaimResponse | None]) -> Held | Cancelled | None:
    """Return the first refusal that names another owner, or says that the job was cancelled."""
    received = [response for response in responses if response is not None]
    if any(response.is_cancelled for response in received):
        return Cancelled()
    for response in received:
        if not response.is_granted and response.holder:
            free_at = (
                clock.monotonic() + response.lapses_in_s if response.lapses_in_s >= 0 else None
            )
            return Held(owner=response.holder, free_at=free_at)
    return None

"""The state of an agent's link with one entry."""

from __future__ import annotations

from typing import Protocol

from dalemast import clock
from dalemast.core.clocks import MinClockLead
from dalemast.core.supervision import CapacitySubscriber
from dalemast.fleet.base import Member
from dalemast.fleet.frames import (
    ClockRequest,
    ClockResponse,
    EntryMessage,
    Reconciled,
    SentAt,
)
from dalemast.fleet.links import Link
from dalemast.fleet.timing import MONOTONIC_CLOCK_DRIFT

__all__ = ["OwnerSession", "OwnerSessionHandler"]

CLOCK_INTERVAL_S = 5.0
"""Interval between clock requests to an entry, in seconds. It limits by how much the two clocks can
drift apart in between. On an idle link the requests also serve as heartbeats."""
FIRST_CLOCK_INTERVAL_S = 0.5
"""The interval after the first request of a link. That one may be slow on a host that is still
starting, which makes the entry's messages appear too old until the next response."""

PROBE_TIMEOUT_S = 0.25
"""Timeout, in seconds, for the response of an entry that another entry suspects. It is short since
jobs whose claims have their home at the suspect wait in the meantime. The suspect has been silent
for half a second by then, and a slowed host answers within some 50 ms."""


class OwnerSessionHandler(Protocol):
    """Handles the frames and the end of an owner session."""

    def receive(self, session: OwnerSession, messages: list[EntryMessage]) -> None:
        """Handle the messages of a frame."""

    def end_session(self, session: OwnerSession) -> None:
        """Handle the end of a link."""


class OwnerSession:
    """A link with one entry."""

    def __init__(self, *, link: Link, handler: OwnerSessionHandler) -> None:
        self.link = link
        self.member: Member | None = None
        self.is_same_data_centre = False
        """Whether the entry is in the agent's data centre; set by its hello."""
        self.is_reconciled = False
        """Whether the entry has reconciled its jobs with the last worker report. Until then its
        messages keep no run alive, since it may have given up runs while it was unreachable, and
        its starts are refused, since it takes runs missing in the report as ended."""
        self.seen = 0
        """The number of the last start that arrived on this link."""
        self.subscriber = CapacitySubscriber()
        self.has_releases = False
        """Whether the last capacity releases that were sent to the entry had any rows."""
        self.clock_requested_at = float("-inf")
        self.entries_request: int | None = None
        """The number of the last request for the reachable entries, or None without one."""
        self._probed_at = float("-inf")
        self._clock_requests = 0
        self._lead = MinClockLead(drift=MONOTONIC_CLOCK_DRIFT)
        """Estimate of the offset between this clock and the entry's."""
        self._sent_ms = 0
        self._report_number = 0
        """The number of the last worker report that was sent to the entry."""
        self._handler = handler

    @property
    def owner(self) -> str:
        """The entry's incarnation, which owns the runs that it starts; empty before its hello."""
        return self.member.incarnation if self.member else ""

    @property
    def frame_sent_at(self) -> float:
        """The earliest time, on this clock, at which the current frame can have been sent.

        It is minus infinity before the session is reconciled.
        """
        if not self.is_reconciled:
            return float("-inf")
        return self._sent_ms / 1000 + self._lead.get(now=clock.monotonic())

    @property
    def is_clock_known(self) -> bool:
        """Whether the entry has answered a request for its clock."""
        return self._lead.is_known

    def probe(self, *, now: float) -> None:
        """Check that the entry responds, since another entry suspects it."""
        if self._probed_at < self.link.received_at:
            self._probed_at = now
            self.request_clock()

    def has_missed_probe(self, *, now: float) -> bool:
        """Return whether the entry has not responded to a probe in time."""
        return self._probed_at >= self.link.received_at and now - self._probed_at > PROBE_TIMEOUT_S

    def reset_liveness(self, late_s: float) -> None:
        """Extend the timeouts by a time in which this process did not read its sockets."""
        self._probed_at = min(self._probed_at + late_s, clock.monotonic())
        self.link.reset_liveness(late_s)

    def get_clock_interval_s(self) -> float:
        """Return the interval after the last clock request."""
        return CLOCK_INTERVAL_S if self._clock_requests > 1 else FIRST_CLOCK_INTERVAL_S

    def begin_report(self) -> int:
        """Begin a new worker report to the entry; return its number."""
        self.is_reconciled = False
        self._report_number += 1
        return self._report_number

    def handle_reconciled(self, message: Reconciled) -> None:
        """Mark the session as reconciled, unless a newer worker report was sent since."""
        self.is_reconciled = message.number == self._report_number

    def request_clock(self) -> None:
        """Request a reading of the entry's clock."""
        self.clock_requested_at = clock.monotonic()
        self._clock_requests += 1
        self.link.send(ClockRequest(sent_at_ms=int(self.clock_requested_at * 1000)))

    def record_sent_at(self, message: SentAt) -> None:
        """Store when the current frame was sent, on the entry's clock."""
        self._sent_ms = message.at_ms

    def handle_clock(self, response: ClockResponse) -> None:
        """Update the clock offset: the entry received the request after it was sent."""
        lead_s = (response.sent_at_ms - response.received_at_ms) / 1000
        self._lead.observe(lead_s, now=clock.monotonic())

    def receive(self, messages: list[EntryMessage]) -> None:
        """Handle the messages of a frame."""
        self._handler.receive(self, messages)

    def close(self) -> None:
        """Handle the end of the link."""
        self._handler.end_session(self)

"""The links with entries, as this agent sees each one."""

from __future__ import annotations

from typing import Protocol

from dalemast import clock
from dalemast.core.clocks import MinClockLead
from dalemast.core.supervision import CapacitySubscriber
from dalemast.fleet.base import Member
from dalemast.fleet.frames import ClockRequest, ClockResponse, EntryMessage, Reconciled, SentAt
from dalemast.fleet.links import Link
from dalemast.fleet.timing import STEADY_CLOCK_DRIFT

__all__ = ["OwnerSession", "OwnerSessionKeeper"]

CLOCK_PAUSE_S = 5.0
"""Pause between questions to an entry how its clock goes: in this time two clocks part by 5 ms at
the most. The questions and answers stand for the beats of an idle link."""
FIRST_CLOCK_PAUSE_S = 0.5
"""The same after a greeting, whose question may be slow on a host that is just starting: until the
next one the entry's words look that much older than they are."""

PROBE_PATIENCE_S = 0.25
"""How long an entry that another one has lost may take for a sign of life. It has been silent to
that one for half a second by then, and a slowed host answers within some 50 ms. Callers of a third
of all ids wait meanwhile where one of three entries has gone dark."""


class OwnerSessionKeeper(Protocol):
    """Takes what happens on a link."""

    def receive(self, session: OwnerSession, messages: list[EntryMessage]) -> None:
        """Take in a frame."""

    def end_session(self, session: OwnerSession) -> None:
        """Note that a link has ended."""


class OwnerSession:
    """One link with an entry."""

    def __init__(self, *, link: Link, links: OwnerSessionKeeper) -> None:
        self.link = link
        self.member: Member | None = None
        self.is_near = False
        """Whether the entry is in the agent's data centre, once it has greeted."""
        self.is_reconciled = False
        """Whether the entry has compared the runs that it was told of last with its jobs. Before,
        its words keep none of them alive, since it may have given up some while it was out of
        reach, and no start of it is taken, since it counts what it was not told of as over."""
        self.seen = 0
        """The number of the last start that arrived on this link."""
        self.audience = CapacitySubscriber()
        self.has_coming = False
        """Whether the entry was told of room that comes free, and not since that none does."""
        self.clock_asked_at = float("-inf")
        self.entries_asked: int | None = None
        """The number of the entry's last question which entries are heard here, if it has asked."""
        self._probed_at = float("-inf")
        self._clock_questions = 0
        self._lead = MinClockLead(drift=STEADY_CLOCK_DRIFT)
        """This clock against the entry's."""
        self._said_ms = 0
        self._news = 0
        """How often the entry was told of the worker."""
        self._links = links

    @property
    def owner(self) -> str:
        """The entry's incarnation, which owns the runs that it starts."""
        return self.member.incarnation if self.member else ""

    @property
    def said_at(self) -> float:
        """When the frame that is being taken in was said at the earliest, by this clock."""
        if not self.is_reconciled:
            return float("-inf")
        return self._said_ms / 1000 + self._lead.get(now=clock.monotonic())

    def probe(self, *, now: float) -> None:
        """Ask for a sign of life, since another entry has lost this one."""
        if self._probed_at < self.link.heard_at:
            self._probed_at = now
            self.ask_clock()

    def has_missed_probe(self, *, now: float) -> bool:
        """Tell whether the entry was asked for a sign of life and gave none in time."""
        return self._probed_at >= self.link.heard_at and now - self._probed_at > PROBE_PATIENCE_S

    def reset_liveness(self, late_s: float) -> None:
        """Count the entry's silence as shorter, by a time in which this agent did not listen."""
        self._probed_at = min(self._probed_at + late_s, clock.monotonic())
        self.link.reset_liveness(late_s)

    def get_clock_pause_s(self) -> float:
        """Return the pause after the last question how the entry's clock goes."""
        return CLOCK_PAUSE_S if self._clock_questions > 1 else FIRST_CLOCK_PAUSE_S

    def begin_news(self) -> int:
        """Begin to tell the entry of the worker anew; return the number of this news."""
        self.is_reconciled = False
        self._news += 1
        return self._news

    def note_reconciled(self, answer: Reconciled) -> None:
        """Note that the entry has compared its runs, unless it was told anew meanwhile."""
        self.is_reconciled = answer.number == self._news

    def ask_clock(self) -> None:
        """Ask how the entry's clock goes."""
        self.clock_asked_at = clock.monotonic()
        self._clock_questions += 1
        self.link.send(ClockRequest(sent_at_ms=int(self.clock_asked_at * 1000)))

    def note_said(self, said: SentAt) -> None:
        """Note when the frame that is being taken in was said."""
        self._said_ms = said.at_ms

    def take_clock(self, answer: ClockResponse) -> None:
        """Take in how the entry's clock goes: it heard the question after it was sent."""
        lead_s = (answer.sent_at_ms - answer.heard_at_ms) / 1000
        self._lead.observe(lead_s, now=clock.monotonic())

    def receive(self, messages: list[EntryMessage]) -> None:
        """Take in a frame."""
        self._links.receive(self, messages)

    def close(self) -> None:
        """Note that the link has ended."""
        self._links.end_session(self)

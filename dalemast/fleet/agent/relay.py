"""Forwarding of frames between entries that can't reach each other, by an agent linked with both.

The agent stores no routes. It sends a frame to the receiver's current link, or reports the end of
the route to the sender. Both ends of a route check its heartbeats, so frames that are lost with a
link end the route as the loss of a connection would.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from dalemast import clock
from dalemast.core.supervision import Supervisor
from dalemast.fleet.agent.owner_sessions import OwnerSession
from dalemast.fleet.frames import (
    ReachableEntries,
    ReachableEntriesRequest,
    Relayed,
    RouteEnded,
)

__all__ = ["EntryRelay"]


@dataclass(frozen=True, kw_only=True, slots=True)
class ReachableState:
    """The linked owners, and the jobs with runs of other owners."""

    owners: frozenset[str] = frozenset()
    left_jobs: frozenset[str] = frozenset()


class EntryRelay:
    """Reports reachable entries and forwards frames between entries.

    ``sessions`` maps owners to their sessions and is updated by the caller.
    """

    def __init__(self, *, sessions: Mapping[str, OwnerSession], supervisor: Supervisor) -> None:
        self._sessions = sessions
        self._supervisor = supervisor
        self._reported = ReachableState()
        """The state in the last report."""

    def handle_request(self, session: OwnerSession, request: ReachableEntriesRequest) -> None:
        """Report the reachable entries now and after changes, and probe the suspects."""
        session.entries_request = request.number
        now = clock.monotonic()
        for owner in request.suspects:
            suspect = self._sessions.get(owner)
            if suspect is not None:
                suspect.probe(now=now)
        self._report(session, self._get_state())

    def forward(self, session: OwnerSession, message: Relayed | RouteEnded) -> None:
        """Forward a frame or the end of a route to its receiver."""
        receiver = self._sessions.get(message.receiver)
        if message.sender != session.owner:
            # The sender is an earlier incarnation of this entry, which has ended.
            return
        if receiver is not None and receiver.link.is_open:
            receiver.link.send(message)
        elif isinstance(message, Relayed):
            ended = RouteEnded(
                route=message.route, sender=message.receiver, receiver=message.sender
            )
            session.link.send(ended)

    def report_changes(self) -> None:
        """Report the state to the entries that requested it, if it has changed."""
        state = self._get_state()
        if state == self._reported:
            return
        self._reported = state
        for session in self._sessions.values():
            if session.entries_request is not None:
                self._report(session, state)

    def _get_state(self) -> ReachableState:
        runs = self._supervisor.runs.values()
        left = {
            run.request.run_id.job_id for run in runs if run.request.owner not in self._sessions
        }
        left.update(run_id.job_id for run_id in self._supervisor.orphaned_runs)
        return ReachableState(owners=frozenset(self._sessions), left_jobs=frozenset(left))

    def _report(self, session: OwnerSession, state: ReachableState) -> None:
        message = ReachableEntries(
            number=session.entries_request or 0,
            entries=tuple(sorted(state.owners - {session.owner})),
            left_jobs=tuple(sorted(state.left_jobs)),
        )
        session.link.send(message)

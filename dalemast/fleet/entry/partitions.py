"""Which decisions this entry may make while other entries are unreachable.

An unreachable entry may be gone, or it may be running in another part of a divided network, with
agents of its own. In the second case both parts must not grant the same ids. The part with a quorum
of the known entries goes on, but grants no id that the other part may have granted before the runs
there have ended. The other part drops its jobs and refuses new ones.

An unreachable entry is harmless if all agents are reachable and none of them reaches it. So a
partition is suspected only while an agent is missing, too.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from dalemast import clock
from dalemast.core.ownership import LinkBounds, Withheld, choose_home, has_quorum
from dalemast.fleet.address_book import AddressBook
from dalemast.fleet.base import Member
from dalemast.fleet.entry.peer_sessions import PeerSession
from dalemast.fleet.entry.routes import PeerRoutes
from dalemast.fleet.timing import FleetTimes
from dalemast.observability import Metrics, log_event

__all__ = ["PartitionGuard"]

FORGOTTEN_AFTER_S = 60.0
"""An entry or agent that was unreachable for this long no longer counts. It bounds the time for
which the rest waits for hosts that were removed without a goodbye, and the length of a network
partition in which no id is granted twice."""
DECISION_MARGIN_S = 0.1
"""Added to the time in which an unresponsive agent is detected, in seconds: two ticks."""
NOTICE_MARGIN_S = 0.15
"""Maximum difference, besides one heartbeat interval, between the times at which both ends notice
that they can't reach each other, in seconds."""


@dataclass(frozen=True, kw_only=True, slots=True)
class LostPeer:
    """An entry that was lost without a goodbye. Times are on the monotonic clock.

    ``is_over`` means that all its runs have ended and that it grants no ids, by the rules of this
    module, so that others may grant them.
    """

    member: Member
    lost_at: float
    is_over: bool = False


class PartitionGuard:
    """Tracks the entries that may be running beyond a network partition.

    ``dialled`` holds the links that carry this entry's claims, by the name of the peer; the caller
    keeps it up to date.
    """

    def __init__(
        self,
        *,
        member: Member,
        book: AddressBook,
        dialled: Mapping[str, PeerSession],
        routes: PeerRoutes,
        times: FleetTimes,
        metrics: Metrics,
    ) -> None:
        self._member = member
        self._book = book
        self._dialled = dialled
        self._routes = routes
        self._times = times
        self._metrics = metrics
        self._started_at = clock.monotonic()
        self._beat_s = 0.0
        self._lost: dict[str, LostPeer] = {}
        """Lost entries by name."""
        self._stopped: set[str] = set()
        """Addresses of entries that have said goodbye and are not linked again."""
        self._unlinked_since: dict[str, float] = {}
        """Known addresses that have no link, with the time since when."""
        self._waits_from = self._started_at
        """The earliest time from which the wait for runs of lost entries is counted."""
        self._had_quorum = False
        self._is_refusing = False

    @property
    def is_refusing(self) -> bool:
        """Whether this entry has to drop its jobs and refuse new ones."""
        return self._is_refusing

    @property
    def has_quorum(self) -> bool:
        """Whether this entry is linked with a quorum of the known entries."""
        linked = [session.member.address for session in self._dialled.values() if session.member]
        return has_quorum(self._member.address, linked, list(self._unlinked_since))

    @property
    def may_be_partitioned(self) -> bool:
        """Whether lost entries may be running with agents that are missing here."""
        if not self._had_quorum:
            # An entry that has just started does not know which agents are missing.
            return True
        return not self.knows_all_agents or self._routes.has_missing_agent

    @property
    def knows_all_agents(self) -> bool:
        """Whether the system is so small that each agent is linked with all entries."""
        return len(self._book.addresses) < LinkBounds().total

    @property
    def wait_s(self) -> float:
        """The longest time from the loss of an entry until the last run of its part has ended.

        The entry notices the loss later than this one, up to a process pause after which it drops
        its jobs. It then waits for its agents, and drops the jobs, whose runs end by themselves.
        """
        return self._decision_s + 2.0 * self._times.lost_run_s + self._notice_s

    @property
    def _decision_s(self) -> float:
        """The time in which a lost entry learns whether agents are missing, too."""
        return self._times.link_timeout_s + DECISION_MARGIN_S

    @property
    def _notice_s(self) -> float:
        return self._beat_s + NOTICE_MARGIN_S

    def record_lost(self, member: Member, *, is_planned: bool) -> None:
        """Record that the link to an entry has ended."""
        if is_planned:
            self._stopped.add(member.address)
        elif member.name not in self._lost:
            self._lost[member.name] = LostPeer(member=member, lost_at=clock.monotonic())

    def record_linked(self, member: Member) -> None:
        """Record a link to an entry, which is in this part of the network."""
        self._lost.pop(member.name, None)
        self._stopped.discard(member.address)
        self._unlinked_since.pop(member.address, None)

    def restart_waits(self) -> None:
        """Wait again for runs of lost entries after this entry could not observe their loss."""
        self._waits_from = clock.monotonic()

    def is_over(self, member: Member) -> bool:
        """Return whether the claims of a lost entry may lapse from now on."""
        if not self._routes.is_gone(member.incarnation):
            return False
        lost = self._lost.get(member.name)
        if lost is None or lost.is_over or not self.may_be_partitioned:
            return True
        lapses_at = self._get_over_at(lost.lost_at) - self._times.lost_run_s
        return self.has_quorum and clock.monotonic() >= lapses_at

    def find_withheld(self, job_id: str) -> Withheld | None:
        """Return why a job's id must not be granted now, or None."""
        if self._is_refusing:
            return Withheld(until=None)
        if self.may_be_partitioned and not self.has_quorum:
            # Decided soon, unless the entries that are unlinked now are linked before.
            return Withheld(until=self._get_decided_at())
        withheld = self._list_withheld()
        if not withheld:
            return None
        home = choose_home(job_id, [self._member.name, *self._dialled, *withheld])
        return Withheld(until=withheld[home]) if home in withheld else None

    def tick(self, now: float, *, beat_s: float) -> None:
        """Decide whether this entry may go on, and which lost entries are over."""
        self._beat_s = beat_s
        self._update_unlinked(now)
        has_quorum = self.has_quorum
        self._had_quorum |= has_quorum
        may_be_partitioned = self.may_be_partitioned
        for name, lost in list(self._lost.items()):
            if now - lost.lost_at >= FORGOTTEN_AFTER_S:
                del self._lost[name]
            elif not lost.is_over and self._has_ended(lost, may_be_partitioned, now):
                self._lost[name] = LostPeer(member=lost.member, lost_at=lost.lost_at, is_over=True)
        is_decided = now >= self._get_decided_at()
        self._set_refusing(is_decided and may_be_partitioned and not has_quorum)

    def get_state(self) -> dict[str, object]:
        """Return the state for operators."""
        return {
            "has_quorum": self.has_quorum,
            "is_refusing": self._is_refusing,
            "may_be_partitioned": self.may_be_partitioned,
            "unlinked": sorted(self._unlinked_since),
            "lost": {name: lost.is_over for name, lost in sorted(self._lost.items())},
        }

    def _get_decided_at(self) -> float:
        """Return when the entries that are unlinked now count as out of reach."""
        first_at = min(self._unlinked_since.values(), default=clock.monotonic())
        return first_at + self._decision_s

    def _has_ended(self, lost: LostPeer, may_be_partitioned: bool, now: float) -> bool:
        if not may_be_partitioned:
            return self._routes.is_gone(lost.member.incarnation)
        return self.has_quorum and now >= self._get_over_at(lost.lost_at)

    def _get_over_at(self, lost_at: float) -> float:
        """Return when the runs of an entry that was lost at this time have ended."""
        return max(lost_at, self._waits_from) + self.wait_s

    def _list_withheld(self) -> dict[str, float]:
        """Return the names of entries that may own ids, with the time until which they may."""
        withheld = self._list_silent_at_start()
        if self.may_be_partitioned:
            for name, lost in self._lost.items():
                if not lost.is_over:
                    withheld[name] = self._get_over_at(lost.lost_at)
        return withheld

    def _list_silent_at_start(self) -> dict[str, float]:
        """Return the entries that were never linked, while they may have runs from before.

        The previous incarnation of this entry may have lost them, and the agents with it.
        """
        ends_at = self._started_at + self.wait_s
        if clock.monotonic() >= ends_at or self._has_older_peer():
            return {}
        return {
            member.name: ends_at
            for member in self._book.members
            if member.address in self._unlinked_since and member.name not in self._lost
        }

    def _has_older_peer(self) -> bool:
        """Return whether a linked entry has been running long enough to know what others may own.

        Ids are claimed at all linked entries while the home is uncertain, so that one decides.
        """
        return any(
            session.peer_started_at <= clock.monotonic() - self.wait_s
            for session in self._dialled.values()
        )

    def _update_unlinked(self, now: float) -> None:
        linked = {session.member.address for session in self._dialled.values() if session.member}
        unlinked = set(self._book.addresses) - linked - self._stopped
        for address in unlinked:
            self._unlinked_since.setdefault(address, now)
        for address, since in list(self._unlinked_since.items()):
            if address not in unlinked:
                del self._unlinked_since[address]
            elif now - since >= FORGOTTEN_AFTER_S:
                self._stopped.add(address)
                del self._unlinked_since[address]

    def _set_refusing(self, is_refusing: bool) -> None:
        if is_refusing == self._is_refusing:
            return
        self._is_refusing = is_refusing
        self._metrics.count("partitions.refusing" if is_refusing else "partitions.over")
        log_event(
            "partition:refusing" if is_refusing else "partition:over",
            linked=sorted(self._dialled),
            unlinked=sorted(self._unlinked_since),
            missing_agents=self._routes.missing_agents,
        )

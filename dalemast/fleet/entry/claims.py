"""Claims on job ids: those of this entry, and those that it keeps as the home of other ids.

A job is cancelled by a claim, too: it finds the entry that has the job, which stops it. The keepers
of the claim then keep the id as cancelled, so that no later claim for the job is granted.
"""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import (
    Callable,
    Iterable,
    Mapping,
)
from typing import Protocol

from dalemast import clock
from dalemast.core.ownership import (
    Cancelled,
    CancelledIds,
    Claims,
    Granted,
    Held,
    Withheld,
    choose_home,
)
from dalemast.fleet.base import Member
from dalemast.fleet.entry.claim_requests import (
    ClaimRequest,
    PendingClaim,
    find_refusal,
    is_granted,
)
from dalemast.fleet.entry.peer_sessions import PeerSession
from dalemast.fleet.frames import (
    Claim,
    ClaimResponse,
    Release,
    Yield,
)
from dalemast.observability import log_event

__all__ = ["JobClaims", "OwnJobs", "Partitions", "PeerSearch"]

CLAIM_TIMEOUT_S = 0.15
"""Timeout of a claim that is sent to the keepers alone. After it, all reachable peers are asked. A
keeper in the same region answers within about 2 ms, a slowed one within some 50 ms."""
ALL_PEERS_TIMEOUT_S = 0.6
"""Timeout of a claim that is sent to all reachable peers. Except in large fleets, the link with an
unresponsive peer is closed sooner (see entry/peers.py), and the claim no longer waits for it."""
STARTUP_GRACE_S = 0.3
"""After its start an entry claims nothing for this long, or until it has received the claims of all
known entries, which they send in the first message on a link."""
UNKNOWN_OWNER = "unreachable"
"""Owner in the refusal of an id that an unreachable entry may own."""
SUSPECT_S = 60.0
"""How long a peer that was lost without a goodbye may still be running and keeping claims.
Meanwhile the ids whose home it may be are claimed at all reachable peers. The same time bounds how
long an entry waits for the greetings of all known peers before it grants ids without them."""
CANCELLED_KEPT_S = 60.0
"""How long the id of a cancelled job is kept. Longer than a submission can be delayed by a paused
process or by a network partition in which no id is granted twice."""
MAX_CANCELLED_IDS = 4096
"""Maximum number of cancelled ids that an entry keeps. It bounds their memory, and the messages in
which they are announced when the reachable entries change."""


class OwnJobs(Protocol):
    """The jobs of this entry, as far as its claims depend on them."""

    def get_claimed_ids(self) -> list[str]:
        """Return the ids that were granted to this entry and not released yet."""

    def has_open(self, job_id: str) -> bool:
        """Return whether this entry has claimed an id or is claiming it."""

    def is_active(self, job_id: str) -> bool:
        """Return whether a job's id is granted and the job is not being stopped."""

    def get_queue(self, job_id: str) -> str:
        """Return the name of the queue of an open job, or an empty string if it is unknown."""

    def yield_job(self, job_id: str) -> None:
        """Stop a job that was submitted to another entry, and release its id once it has ended."""

    def cancel_job(self, job_id: str, *, queue: str) -> bool:
        """Stop a cancelled job of this queue like :meth:`yield_job`; return whether it was open."""


class PeerSearch(Protocol):
    """What agents report about entries with which this one has no link."""

    @property
    def may_have_unlinked_peer(self) -> bool:
        """Whether such an entry may be running."""

    @property
    def has_agent_response(self) -> bool:
        """Whether any agent has responded since the last entry was lost."""

    def has_orphaned_runs(self, job_id: str) -> bool:
        """Return whether a job has runs left for an owner that is unreachable from their agent."""


class Partitions(Protocol):
    """What may be decided while other entries are unreachable."""

    def find_withheld(self, job_id: str) -> Withheld | None:
        """Return why a job's id must not be granted now, or None."""


class JobClaims:
    """Claims ids at the reachable entries, and decides on the ids whose home this entry is.

    An id is granted only when each keeper of the claim has confirmed that no other entry has it; a
    missing response is never taken as a grant. The keeper is the home of the id. If the claiming
    entry is the home itself, it is the entry that would be the home next, so that a second entry
    knows of the claim. If the home is uncertain, all reachable peers are keepers.

    ``search`` reports whether a peer that was lost or never linked may still be running. While one
    may, no id that it could own is granted. ``partitions`` withholds the ids that may be owned in
    another part of a divided network.

    ``dialled`` holds the links that carry this entry's claims, by the name of the peer, and
    ``accepted`` those that carry the peers' claims, by their incarnation. The caller keeps both up
    to date.
    """

    def __init__(
        self,
        *,
        member: Member,
        jobs: OwnJobs,
        lapse_s: float,
        dialled: Mapping[str, PeerSession],
        accepted: Mapping[str, PeerSession],
        has_all_greetings: Callable[[], bool],
        search: PeerSearch | None = None,
        partitions: Partitions | None = None,
    ) -> None:
        self._member = member
        self._own_jobs = jobs
        self._lapse_s = lapse_s
        self._peer_claims = Claims(lapse_s=lapse_s)
        """Claims of peers. Those of this entry follow from its jobs."""
        self._cancelled_ids = CancelledIds(max_ids=MAX_CANCELLED_IDS)
        self._dialled = dialled
        self._accepted = accepted
        self._has_all_greetings = has_all_greetings
        self._search = search
        self._partitions = partitions
        self._numbers = itertools.count(1)
        self._pending: dict[int, PendingClaim] = {}
        self._claim_recipients: dict[str, set[str]] = {}
        """For each id of this entry's jobs, the names of the peers that may keep its claim."""
        self._suspected_until: dict[str, float] = {}
        """Names of lost peers, with the time until which each may keep claims."""
        self._started_at = clock.monotonic()

    def __len__(self) -> int:
        """Return the number of ids that are claimed by peers here."""
        return len(self._peer_claims)

    @property
    def has_lost_peers(self) -> bool:
        """Whether a lost peer may still be running, and thus may have granted ids since."""
        return bool(self._list_lost_peers())

    @property
    def cancelled_count(self) -> int:
        """The number of cancelled ids that are kept here."""
        return len(self._cancelled_ids)

    def is_cancelled(self, job_id: str, *, queue: str) -> bool:
        """Return whether a job of a queue is known to be cancelled."""
        return self._cancelled_ids.contains(queue, job_id, now=clock.monotonic())

    async def claim(self, job_id: str, *, queue: str = "") -> Granted | Held | Withheld | Cancelled:
        """Claim an id at its keepers, including those that become reachable in the meantime."""
        if self.is_cancelled(job_id, queue=queue):
            return Cancelled()
        return await self._send_request(ClaimRequest(job_id=job_id, queue=queue))

    async def cancel(self, job_id: str, *, queue: str) -> Granted | Held | Withheld | Cancelled:
        """Cancel a job of a queue, and ask its owner to stop it.

        The result is :class:`Granted` once no entry has the job, and all that may be asked about
        its id know that it is cancelled.
        """
        self._keep_cancelled(job_id, queue, CANCELLED_KEPT_S)
        request = ClaimRequest(job_id=job_id, queue=queue, cancelled_for_s=CANCELLED_KEPT_S)
        return await self._send_request(request)

    async def _send_request(self, request: ClaimRequest) -> Granted | Held | Withheld | Cancelled:
        job_id = request.job_id
        withheld = self._find_withheld(job_id)
        if withheld is not None:
            return withheld
        if self._is_in_startup_grace():
            return Held(owner="", free_at=self._started_at + STARTUP_GRACE_S)
        granted_by: set[PeerSession] = set()
        is_uncertain = not self._knows_all_claims()
        while missing := self._find_keepers(job_id, is_uncertain=is_uncertain) - granted_by:
            timeout_s = ALL_PEERS_TIMEOUT_S if is_uncertain else CLAIM_TIMEOUT_S
            responses = await self._send_claims(missing, request, timeout_s)
            refusal = find_refusal(responses.values())
            if refusal is not None:
                return refusal
            unanswered = {session for session, response in responses.items() if response is None}
            if is_uncertain and unanswered & set(self._dialled.values()):
                return Held(owner="", free_at=None)
            homes = {response.home for response in responses.values() if response} - {""}
            if self._search is not None and homes - {self._member.name, *self._dialled}:
                # A peer can reach the home of the id, and this entry can't.
                log_event("claim:home-out-of-reach", job=job_id, homes=sorted(homes))
                return Held(owner="", free_at=None)
            is_uncertain = is_uncertain or not all(map(is_granted, responses.values()))
            is_uncertain = is_uncertain or bool(homes)
            granted_by |= missing - unanswered
        held = self._find_holder(request)
        if held is None and self._may_be_held_by_unlinked_peer(job_id, is_uncertain=is_uncertain):
            return Held(owner="", free_at=None)
        return held or self._find_withheld(job_id) or Granted()

    def release(self, job_id: str) -> None:
        """Release an id of this entry."""
        for name in self._claim_recipients.pop(job_id, ()):
            session = self._dialled.get(name)
            if session is not None:
                session.link.send(Release(job=job_id))

    def handle_claim(self, session: PeerSession, claim: Claim) -> None:
        """Grant or refuse a peer's claim. An owner of the same id is asked to yield it."""
        if session.member is None:
            return
        request = ClaimRequest(
            job_id=claim.job, queue=claim.queue, cancelled_for_s=claim.cancelled_for_s
        )
        is_stopped = request.is_cancelling and self._keep_cancelled(
            claim.job, claim.queue, claim.cancelled_for_s
        )
        if not claim.number:
            if not request.is_cancelling:
                self._apply_announced_claim(session, session.member, request)
            return
        result = self._grant(request, session.member.incarnation)
        if is_stopped:
            # Tells the peer that there was a job, also if it had no runs to wait for.
            result = Held(owner=self._member.incarnation, free_at=None)
        if isinstance(result, Granted):
            home = self._find_third_home(claim.job, session.member.name)
            session.link.send(ClaimResponse(number=claim.number, is_granted=True, home=home))
            return
        if isinstance(result, Cancelled):
            refusal = ClaimResponse(number=claim.number, is_granted=False, is_cancelled=True)
            session.link.send(refusal)
            return
        lapses_in_s = -1.0 if result.free_at is None else result.free_at - clock.monotonic()
        session.link.send(
            ClaimResponse(
                number=claim.number,
                is_granted=False,
                holder=result.owner,
                lapses_in_s=round(max(lapses_in_s, -1.0), 3),
            )
        )

    def handle_response(self, response: ClaimResponse) -> None:
        """Pass a response to the claim that waits for it, unless it came too late."""
        pending = self._pending.pop(response.number, None)
        if pending is not None and not pending.response.done():
            pending.response.set_result(response)

    def handle_release(self, session: PeerSession, release: Release) -> None:
        """Release an id of a peer."""
        if session.member is not None:
            self._peer_claims.release(release.job, session.member.incarnation)

    def handle_yield(self, session: PeerSession, message: Yield) -> None:
        """Stop a job that was submitted to another entry or cancelled.

        If the id is not open here, its release was lost. The release is sent again on the link that
        carries this entry's claims, so that it can't overtake a new claim.
        """
        if message.cancelled_queue:
            self._keep_cancelled(message.job, message.cancelled_queue, CANCELLED_KEPT_S)
        elif self._own_jobs.has_open(message.job):
            self._own_jobs.yield_job(message.job)
        if self._own_jobs.has_open(message.job):
            return
        own = None if session.member is None else self._dialled.get(session.member.name)
        if own is not None:
            own.link.send(Release(job=message.job))

    def handle_open_ids(self, session: PeerSession, job_ids: Iterable[str]) -> None:
        """Keep the claims that a peer announces in its greeting."""
        if session.member is None:
            return
        for job_id in job_ids:
            request = ClaimRequest(job_id=job_id, queue="")
            self._apply_announced_claim(session, session.member, request)

    def record_greeting(self, session: PeerSession) -> None:
        """Record that a peer has received the claims that this entry announced in its greeting.

        The peer then receives the releases of these ids. Those of ids that are no longer open are
        sent at once.
        """
        for job_id in session.announced_ids:
            if self._own_jobs.has_open(job_id):
                self._claim_recipients.setdefault(job_id, set()).add(session.name)
            elif session.is_dialled:
                session.link.send(Release(job=job_id))

    def record_owner_lost(self, member: Member) -> None:
        """Record that the owner of claims kept here is unreachable, so that they lapse in time."""
        self._peer_claims.note_unreachable(member.incarnation, now=clock.monotonic())

    def record_owner_back(self, member: Member) -> None:
        """Record that the owner of claims kept here is reachable."""
        self._peer_claims.note_reachable(member.incarnation)

    def suspect_home(self, member: Member, *, is_planned: bool) -> None:
        """Record that a lost entry may still keep claims.

        After a planned stop it owns none, and the owners of the claims that it kept announce them
        to other entries as soon as they receive its goodbye, so a shorter time is enough.
        """
        suspect_s = self._lapse_s if is_planned else SUSPECT_S
        self._suspected_until[member.name] = clock.monotonic() + suspect_s

    def cancel_pending(self, session: PeerSession) -> None:
        """Stop waiting for responses on a link that has ended."""
        for pending in self._pending.values():
            if pending.session is session and not pending.response.done():
                pending.response.set_result(None)

    def note_process_pause(self) -> None:
        """Restart the startup grace period after a pause of this process.

        Its peers may have closed their links and granted its ids to others, so it needs their
        claims before it grants any id, also to itself.
        """
        self._started_at = clock.monotonic()

    def announce_all(self) -> None:
        """Announce claims and cancelled ids to keepers after the reachable peers have changed."""
        for job_id in self._own_jobs.get_claimed_ids():
            request = ClaimRequest(job_id=job_id, queue=self._own_jobs.get_queue(job_id))
            for session in self._find_keepers(job_id, is_uncertain=False):
                self._send_claim(session, request, number=0)
        for request in self._list_cancelled():
            for session in self._find_keepers(request.job_id, is_uncertain=False):
                session.link.send(request.make_message(0))

    def announce_cancelled(self, session: PeerSession) -> None:
        """Announce all cancelled ids on a new link, together with the greeting.

        Once the peer knows the claims of this entry it may grant ids, but not cancelled ones.
        """
        for request in self._list_cancelled():
            session.link.send(request.make_message(0))

    def sweep(self, now: float) -> None:
        """Remove claims of owners that are gone, and what is no longer suspected or kept."""
        self._peer_claims.sweep(now=now)
        self._cancelled_ids.sweep(now=now)
        self._suspected_until = {
            name: until for name, until in self._suspected_until.items() if now < until
        }

    def _find_keepers(self, job_id: str, *, is_uncertain: bool) -> set[PeerSession]:
        """Return the links with the peers that have to confirm and keep a claim."""
        if is_uncertain or self._may_be_kept_by_lost_peer(job_id):
            return set(self._dialled.values())
        home = choose_home(job_id, [self._member.name, *self._dialled])
        if home != self._member.name:
            return {self._dialled[home]}
        if not self._dialled:
            return set()
        return {self._dialled[choose_home(job_id, self._dialled)]}

    def _find_withheld(self, job_id: str) -> Withheld | None:
        return None if self._partitions is None else self._partitions.find_withheld(job_id)

    def _find_third_home(self, job_id: str, claimant: str) -> str:
        """Return the name of an id's home if that is neither this entry nor the claimant."""
        home = choose_home(job_id, {self._member.name, claimant, *self._dialled})
        return "" if home in (self._member.name, claimant) else home

    def _may_be_held_by_unlinked_peer(self, job_id: str, *, is_uncertain: bool) -> bool:
        """Return whether an entry without a link may own an id, or keep the claim on it.

        An unresponsive peer may be unreachable from this entry alone. And if this entry reaches no
        peer, or no agent, the others may be treating it as gone and granting ids without it.
        """
        search = self._search
        if search is None:
            return False
        if search.has_orphaned_runs(job_id):
            return True
        is_alone = self.has_lost_peers and not (self._dialled and search.has_agent_response)
        if not is_uncertain and not is_alone and not self._may_be_kept_by_lost_peer(job_id):
            return False
        return search.may_have_unlinked_peer

    def _may_be_kept_by_lost_peer(self, job_id: str) -> bool:
        """Return whether the home of an id may be a peer that was lost."""
        lost = self._list_lost_peers()
        if not lost:
            return False
        return choose_home(job_id, [self._member.name, *self._dialled, *lost]) in lost

    def _list_lost_peers(self) -> list[str]:
        """Return the names of the peers that were lost and may still keep claims."""
        now = clock.monotonic()
        lost = [name for name, until in self._suspected_until.items() if now < until]
        return [name for name in lost if name not in self._dialled]

    async def _send_claims(
        self, sessions: Iterable[PeerSession], request: ClaimRequest, timeout_s: float
    ) -> dict[PeerSession, ClaimResponse | None]:
        """Send a claim on each link; return the responses by link, None where there was none."""
        claims = {session: self._send_pending_claim(session, request) for session in sessions}
        await asyncio.wait([claim.response for claim in claims.values()], timeout=timeout_s)
        for number in [
            number for number, claim in self._pending.items() if claim in claims.values()
        ]:
            del self._pending[number]
        responses = {session: claim.get_response() for session, claim in claims.items()}
        for session, response in responses.items():
            if response is None:
                log_event("claim:unanswered", job=request.job_id, home=session.name)
        return responses

    def _send_pending_claim(self, session: PeerSession, request: ClaimRequest) -> PendingClaim:
        number = next(self._numbers)
        pending = PendingClaim(session=session, response=asyncio.get_running_loop().create_future())
        self._pending[number] = pending
        self._send_claim(session, request, number=number)
        return pending

    def _send_claim(self, session: PeerSession, request: ClaimRequest, *, number: int) -> None:
        """Send a claim. Number 0 announces a granted one, which needs no response."""
        if session.member is not None and not request.is_cancelling:
            recipients = self._claim_recipients.setdefault(request.job_id, set())
            recipients.add(session.member.name)
        session.link.send(request.make_message(number))

    def _keep_cancelled(self, job_id: str, queue: str, for_s: float) -> bool:
        """Keep an id as cancelled, and stop the job if it is open here; return whether it was."""
        until = clock.monotonic() + min(for_s, CANCELLED_KEPT_S)
        self._cancelled_ids.add(queue, job_id, until=until)
        return self._own_jobs.cancel_job(job_id, queue=queue)

    def _list_cancelled(self) -> list[ClaimRequest]:
        """Return the requests that announce the cancelled ids."""
        now = clock.monotonic()
        return [
            ClaimRequest(job_id=kept.job_id, queue=kept.queue, cancelled_for_s=kept.until - now)
            for kept in self._cancelled_ids
            if kept.until > now
        ]

    def _find_holder(self, request: ClaimRequest) -> Held | None:
        """Return the peer that owns an id by the claims kept here, and ask it to yield the id."""
        held = self._find_other(request, self._member.incarnation)
        if held is not None:
            self._request_yield(request, held.owner)
        return held

    def _find_other(self, request: ClaimRequest, claimant: str) -> Held | None:
        """Return the claim of another owner that prevents a request from being granted."""
        return self._peer_claims.find_other(
            request.job_id, claimant, now=clock.monotonic(), queue=request.cancelled_queue
        )

    def _grant(self, request: ClaimRequest, owner: str) -> Granted | Held | Cancelled:
        """Grant an id to a peer, or ask its owner to yield it."""
        job_id = request.job_id
        if not request.is_cancelling and self.is_cancelled(job_id, queue=request.queue):
            return Cancelled()
        if self._is_held_here(request):
            self._own_jobs.yield_job(job_id)
            return Held(owner=self._member.incarnation, free_at=None)
        withheld = self._find_withheld(job_id)
        if withheld is not None:
            return Held(owner=UNKNOWN_OWNER, free_at=withheld.until)
        held = self._find_other(request, owner)
        if held is not None:
            self._request_yield(request, held.owner)
            return held
        if not request.is_cancelling:
            self._peer_claims.claim(job_id, owner, now=clock.monotonic(), queue=request.queue)
        if not self._knows_all_claims():
            # Claims of peers that have not sent a greeting are unknown here. The refusal names no
            # owner, which makes the peer send its claim to all entries.
            return Held(owner="", free_at=self._started_at + SUSPECT_S)
        return Granted()

    def _is_held_here(self, request: ClaimRequest) -> bool:
        """Return whether a job of this entry prevents a peer's request from being granted.

        A request to cancel a job does not concern another queue's job with the same id.
        """
        if not self._own_jobs.has_open(request.job_id):
            return False
        queue = self._own_jobs.get_queue(request.job_id)
        return not request.is_cancelling or queue in ("", request.queue)

    def _apply_announced_claim(
        self, session: PeerSession, member: Member, request: ClaimRequest
    ) -> None:
        """Keep a claim that a peer announces. Ask the peer to yield if the id has another owner.

        A job that was cancelled in the meantime has to be stopped by its owner.
        """
        job_id, queue = request.job_id, request.queue
        is_new = self._peer_claims.record_reported(job_id, member.incarnation, queue=queue)
        if queue and self.is_cancelled(job_id, queue=queue):
            session.link.send(Yield(job=job_id, cancelled_queue=queue))
            return
        held = self._peer_claims.find_other(job_id, member.incarnation, now=clock.monotonic())
        if is_new and (held is not None or self._own_jobs.is_active(job_id)):
            session.link.send(Yield(job=job_id))

    def _is_in_startup_grace(self) -> bool:
        """Return whether peers have not had the time yet to announce their claims."""
        return (
            clock.monotonic() - self._started_at < STARTUP_GRACE_S and not self._has_all_greetings()
        )

    def _knows_all_claims(self) -> bool:
        """Return whether all known peers have announced their claims, or have had time enough."""
        return clock.monotonic() - self._started_at >= SUSPECT_S or self._has_all_greetings()

    def _request_yield(self, request: ClaimRequest, owner: str) -> None:
        holder = self._accepted.get(owner)
        if holder is not None:
            message = Yield(job=request.job_id, cancelled_queue=request.cancelled_queue)
            holder.link.send(message)

"""The claims on job ids: this entry's at their homes, and those kept here as the home of ids."""

from __future__ import annotations

import asyncio
import itertools
import time
from collections.abc import Callable, Iterable, Mapping
from typing import Protocol

from dalemast.core.ownership import Claims, Granted, Held, choose_home
from dalemast.fleet.base import Member
from dalemast.fleet.entry.peer_sessions import PeerSession
from dalemast.fleet.frames import Claim, ClaimAnswer, Release, Yield
from dalemast.observability import log_event

__all__ = ["JobClaims", "OwnJobs"]

CLAIM_TIMEOUT_S = 0.15
"""A home in the same region answers within about 2 ms, a slowed one within some 50 ms."""
SETTLE_S = 0.3
"""A fresh home grants nothing for this long, or until all known entries have told it their jobs.
They do so in the first message of a link, and an entry that is up is dialled within 0.1 s."""
DOUBT_S = 4.0
"""For this long after a peer was lost without a goodbye, all peers are asked for an id whose home
it was, since its owner may still run the job. Cuts last about this long."""


class OwnJobs(Protocol):
    """What the claims need of this entry's jobs."""

    def get_open_ids(self) -> list[str]:
        """Return the ids that this entry has claimed."""

    def has_open(self, job_id: str) -> bool:
        """Whether this entry has claimed an id."""

    def give_up(self, job_id: str) -> None:
        """Stop a job since another entry was asked for it; release its id once it has ended."""


class JobClaims:
    """Claims ids at the entries in reach, and answers for the ids whose home this entry is.

    ``dialled`` are the links that carry this entry's claims, by the peer's name, and ``accepted``
    those that carry the peers', by their incarnation; their keeper adds to them and takes away.
    """

    def __init__(
        self,
        *,
        member: Member,
        jobs: OwnJobs,
        lapse_s: float,
        dialled: Mapping[str, PeerSession],
        accepted: Mapping[str, PeerSession],
        has_met_all: Callable[[], bool],
    ) -> None:
        self._member = member
        self._jobs = jobs
        self._kept = Claims(lapse_s=lapse_s)
        self._dialled = dialled
        self._accepted = accepted
        self._has_met_all = has_met_all
        self._numbers = itertools.count(1)
        self._asked: dict[int, asyncio.Future[ClaimAnswer]] = {}
        self._asked_for: dict[str, set[str]] = {}
        """By id of this entry's jobs, the peers that may keep its claim."""
        self._lost_until: dict[str, float] = {}
        """Entries that were lost without a goodbye, and until when they may keep a claim."""
        self._started_at = time.monotonic()

    def __len__(self) -> int:
        """Return how many claims are kept here."""
        return len(self._kept)

    async def claim(self, job_id: str) -> Granted | Held:
        """Claim an id at its home, or at every peer if its home may be one that was lost."""
        home = choose_home(job_id, [self._member.name, *self._dialled])
        if not self._may_be_kept_elsewhere(job_id):
            if home == self._member.name:
                return self._claim_here(job_id, self._member.incarnation)
            answer = await self._ask(self._dialled[home], job_id)
            if answer is not None:
                return _read_answer(answer)
        return await self._claim_everywhere(job_id)

    def release(self, job_id: str) -> None:
        """Free an id of this entry."""
        self._kept.release(job_id, self._member.incarnation)
        for name in self._asked_for.pop(job_id, ()):
            session = self._dialled.get(name)
            if session is not None:
                session.link.send(Release(job=job_id))

    def answer(self, session: PeerSession, claim: Claim) -> None:
        """Decide on a peer's claim; the owner that stands in its way is asked to give up."""
        if session.member is None:
            return
        result = self._claim_here(claim.job, session.member.incarnation)
        if isinstance(result, Held):
            self._ask_to_yield(claim.job, result.owner)
        if not claim.number:
            return
        if isinstance(result, Granted):
            session.link.send(ClaimAnswer(number=claim.number, is_granted=True))
            return
        lapses_in_s = -1.0 if result.free_at is None else result.free_at - time.monotonic()
        session.link.send(
            ClaimAnswer(
                number=claim.number,
                is_granted=False,
                holder=result.owner,
                lapses_in_s=round(max(lapses_in_s, -1.0), 3),
            )
        )

    def take_answer(self, answer: ClaimAnswer) -> None:
        """Take in a home's answer, unless it came too late."""
        future = self._asked.pop(answer.number, None)
        if future is not None and not future.done():
            future.set_result(answer)

    def take_release(self, session: PeerSession, release: Release) -> None:
        """Free an id of a peer."""
        if session.member is not None:
            self._kept.release(release.job, session.member.incarnation)

    def take_open_ids(self, member: Member, job_ids: Iterable[str]) -> None:
        """Keep the claims that an entry tells when it is met."""
        for job_id in job_ids:
            self._kept.claim(job_id, member.incarnation, now=time.monotonic())

    def note_owner_lost(self, member: Member) -> None:
        """Note that the owner of claims kept here is out of reach: they lapse after a while."""
        self._kept.note_lost(member.incarnation, now=time.monotonic())

    def note_owner_back(self, member: Member) -> None:
        """Note that the owner of claims kept here is in reach."""
        self._kept.note_back(member.incarnation)

    def doubt_home(self, member: Member) -> None:
        """Note that an entry was lost without a goodbye and may keep claims unseen."""
        self._lost_until[member.name] = time.monotonic() + DOUBT_S

    def move_all(self) -> None:
        """Tell the homes of this entry's jobs anew after the entries in reach have changed."""
        entries = [self._member.name, *self._dialled]
        for job_id in self._jobs.get_open_ids():
            home = choose_home(job_id, entries)
            if home == self._member.name:
                self._kept.claim(job_id, self._member.incarnation, now=time.monotonic())
            else:
                self._send_claim(self._dialled[home], job_id, number=0)

    def sweep(self, now: float) -> None:
        """Forget the claims of owners that are gone."""
        self._kept.sweep(now=now)

    def _may_be_kept_elsewhere(self, job_id: str) -> bool:
        """Tell whether the id's home may be an entry that was lost a short while ago."""
        now = time.monotonic()
        lost = [name for name, until in self._lost_until.items() if now < until]
        lost = [name for name in lost if name not in self._dialled]
        if not lost:
            return False
        return choose_home(job_id, [self._member.name, *self._dialled, *lost]) in lost

    async def _claim_everywhere(self, job_id: str) -> Granted | Held:
        own = self._claim_here(job_id, self._member.incarnation)
        sessions = list(self._dialled.values())
        answers = await asyncio.gather(*(self._ask(session, job_id) for session in sessions))
        for answer in answers:
            if answer is not None and not answer.is_granted:
                return _read_answer(answer)
        return own

    async def _ask(self, session: PeerSession, job_id: str) -> ClaimAnswer | None:
        number = next(self._numbers)
        future: asyncio.Future[ClaimAnswer] = asyncio.get_running_loop().create_future()
        self._asked[number] = future
        self._send_claim(session, job_id, number=number)
        try:
            return await asyncio.wait_for(future, CLAIM_TIMEOUT_S)
        except TimeoutError:
            name = session.member.name if session.member else ""
            log_event("claim:unanswered", job=job_id, home=name)
            return None
        finally:
            self._asked.pop(number, None)

    def _send_claim(self, session: PeerSession, job_id: str, *, number: int) -> None:
        if session.member is not None:
            self._asked_for.setdefault(job_id, set()).add(session.member.name)
        session.link.send(Claim(number=number, job=job_id))

    def _claim_here(self, job_id: str, owner: str) -> Granted | Held:
        now = time.monotonic()
        if owner != self._member.incarnation and self._jobs.has_open(job_id):
            return Held(owner=self._member.incarnation, free_at=None)
        if not self._is_settled(now):
            return Held(owner="", free_at=self._started_at + SETTLE_S)
        return self._kept.claim(job_id, owner, now=now)

    def _is_settled(self, now: float) -> bool:
        """Tell whether owners had the time to say which jobs they have."""
        return now - self._started_at >= SETTLE_S or self._has_met_all()

    def _ask_to_yield(self, job_id: str, owner: str) -> None:
        if owner == self._member.incarnation:
            self._jobs.give_up(job_id)
            return
        holder = self._accepted.get(owner)
        if holder is not None:
            holder.link.send(Yield(job=job_id))


def _read_answer(answer: ClaimAnswer) -> Granted | Held:
    if answer.is_granted:
        return Granted()
    free_at = time.monotonic() + answer.lapses_in_s if answer.lapses_in_s >= 0 else None
    return Held(owner=answer.holder, free_at=free_at)

"""The claims on job ids: this entry's at their homes, and those kept here as the home of ids."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import (
    Callable,
    Iterable,
    Mapping,
)
from dataclasses import dataclass
from typing import Protocol

from dalemast import clock
from dalemast.core.ownership import (
    Claims,
    Granted,
    Held,
    choose_home,
)
from dalemast.fleet.base import Member
from dalemast.fleet.entry.peer_sessions import PeerSession
from dalemast.fleet.frames import (
    Claim,
    ClaimResponse,
    Release,
    Yield,
)
from dalemast.observability import log_event

__all__ = ["JobClaims", "OwnJobs", "PeerSearch"]

CLAIM_TIMEOUT_S = 0.15
"""A home in the same region answers within about 2 ms, a slowed one within some 50 ms. After this
time all entries are asked."""
ANSWER_S = 0.6
"""How long all entries are waited for. One that is out of reach is given up as silent meanwhile
(dalemast/fleet/entry/peers.py), or soon after in a large fleet, and then counts no longer."""
STARTUP_GRACE_S = 0.3
"""A young entry claims nothing for this long, or until all known entries have told it their jobs.
They do so in the first message of a link, and an entry that is up is dialled within 0.1 s."""
SUSPECT_S = 60.0
"""For this long after a peer was lost without a goodbye, or while a known one has never been met,
ids whose home that may concern are asked for at all peers, and told to all. It bounds cuts, which
last some seconds, and costs a few messages for one id in as many as there are entries."""


class OwnJobs(Protocol):
    """What the claims need of this entry's jobs."""

    def get_claimed_ids(self) -> list[str]:
        """Return the ids that this entry was granted and has not released."""

    def has_open(self, job_id: str) -> bool:
        """Whether this entry was granted an id or is asking for it."""

    def is_active(self, job_id: str) -> bool:
        """Whether a job that was granted is being run here, and not being stopped."""

    def yield_job(self, job_id: str) -> None:
        """Stop a job since another entry was asked for it; release its id once it has ended."""


class PeerSearch(Protocol):
    """What agents tell of entries that this one has no link with."""

    @property
    def may_have_unlinked_peer(self) -> bool:
        """Whether such an entry may be there."""

    @property
    def has_agent_response(self) -> bool:
        """Whether any agent has answered since the last entry was lost."""

    def has_orphaned_runs(self, job_id: str) -> bool:
        """Tell whether something of a job still runs for an owner that its agent does not hear."""


class JobClaims:
    """Claims ids at the entries in reach, and answers for the ids whose home this entry is.

    A claim is granted once each of its keepers has said that nobody else has the id, and not by
    silence. Its keepers are its home, or the next entry in line if the asker is the home itself, so
    that one more entry knows of it; in doubt they are all entries in reach.

    ``search`` tells whether a peer that was lost or never met may be there all the same: then no id
    is granted that it may have.

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
        search: PeerSearch | None = None,
    ) -> None:
        self._member = member
        self._jobs = jobs
        self._lapse_s = lapse_s
        self._kept = Claims(lapse_s=lapse_s)
        """What peers have; this entry's own ids are known to its jobs."""
        self._dialled = dialled
        self._accepted = accepted
        self._has_met_all = has_met_all
        self._search = search
        self._numbers = itertools.count(1)
        self._asked: dict[int, Question] = {}
        self._asked_for: dict[str, set[str]] = {}
        """By id of this entry's jobs, the peers that may keep its claim."""
        self._lost_until: dict[str, float] = {}
        """Entries that were lost, and until when they may keep a claim."""
        self._started_at = clock.monotonic()

    def __len__(self) -> int:
        """Return how many ids of peers are kept here."""
        return len(self._kept)

    @property
    def has_lost_peers(self) -> bool:
        """Whether entries were lost that may still be there; they may have granted ids since."""
        return bool(self._find_lost())

    async def claim(self, job_id: str) -> Granted | Held:
        """Claim an id at its keepers; those that come into reach meanwhile are asked as well."""
        if self._is_too_young():
            return Held(owner="", free_at=self._started_at + STARTUP_GRACE_S)
        agreed: set[PeerSession] = set()
        is_doubtful = not self._has_met_enough()
        while missing := self._find_keepers(job_id, is_doubtful=is_doubtful) - agreed:
            timeout_s = ANSWER_S if is_doubtful else CLAIM_TIMEOUT_S
            answers = await self._ask_all(missing, job_id, timeout_s)
            refusal = _find_refusal(answers.values())
            if refusal is not None:
                return refusal
            silent = {session for session, answer in answers.items() if answer is None}
            if is_doubtful and silent & set(self._dialled.values()):
                return Held(owner="", free_at=None)
            is_doubtful = is_doubtful or not all(map(_is_grant, answers.values()))
            agreed |= missing - silent
        held = self._find_holder(job_id)
        if held is None and self._is_held_unseen(job_id, is_doubtful=is_doubtful):
            return Held(owner="", free_at=None)
        return held or Granted()

    def release(self, job_id: str) -> None:
        """Free an id of this entry."""
        for name in self._asked_for.pop(job_id, ()):
            session = self._dialled.get(name)
            if session is not None:
                session.link.send(Release(job=job_id))

    def handle_claim(self, session: PeerSession, claim: Claim) -> None:
        """Decide on a peer's claim; the owner that stands in its way is asked to give up."""
        if session.member is None:
            return
        if not claim.number:
            self._take_told(session, session.member, claim.job)
            return
        result = self._grant(claim.job, session.member.incarnation)
        if isinstance(result, Granted):
            session.link.send(ClaimResponse(number=claim.number, is_granted=True))
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

    def handle_response(self, answer: ClaimResponse) -> None:
        """Take in an answer, unless it came too late."""
        question = self._asked.pop(answer.number, None)
        if question is not None and not question.answer.done():
            question.answer.set_result(answer)

    def handle_release(self, session: PeerSession, release: Release) -> None:
        """Free an id of a peer."""
        if session.member is not None:
            self._kept.release(release.job, session.member.incarnation)

    def handle_yield(self, session: PeerSession, news: Yield) -> None:
        """Give a job up that another entry was asked for.

        An id that is not open here was released, and the release got lost. It is said again on the
        link that carries the claims, so that it can't overtake one.
        """
        if self._jobs.has_open(news.job):
            self._jobs.yield_job(news.job)
            return
        own = None if session.member is None else self._dialled.get(session.member.name)
        if own is not None:
            own.link.send(Release(job=news.job))

    def handle_open_ids(self, session: PeerSession, job_ids: Iterable[str]) -> None:
        """Keep the claims that an entry tells when it is met."""
        if session.member is None:
            return
        for job_id in job_ids:
            self._take_told(session, session.member, job_id)

    def record_greeting(self, session: PeerSession) -> None:
        """Note who has heard this entry's own greeting: it is told of the end of those claims."""
        for job_id in session.announced_ids:
            if self._jobs.has_open(job_id):
                self._asked_for.setdefault(job_id, set()).add(session.name)
            elif session.is_dialled:
                session.link.send(Release(job=job_id))

    def record_owner_lost(self, member: Member) -> None:
        """Note that the owner of claims kept here is out of reach: they lapse after a while."""
        self._kept.note_unreachable(member.incarnation, now=clock.monotonic())

    def record_owner_back(self, member: Member) -> None:
        """Note that the owner of claims kept here is in reach."""
        self._kept.note_reachable(member.incarnation)

    def suspect_home(self, member: Member, *, is_planned: bool) -> None:
        """Note that an entry was lost and may keep claims unseen.

        After a goodbye it has none itself, and those that it kept are told to other entries as soon
        as their owners have heard it.
        """
        doubt_s = self._lapse_s if is_planned else SUSPECT_S
        self._lost_until[member.name] = clock.monotonic() + doubt_s

    def cancel_pending(self, session: PeerSession) -> None:
        """Wait for no more answers on a link that has ended."""
        for question in self._asked.values():
            if question.session is session and not question.answer.done():
                question.answer.set_result(None)

    def note_process_pause(self) -> None:
        """Begin anew after this process stood still: it has to meet the others before it grants.

        They may have given it up and granted its ids, and one that it reaches none of would grant
        to itself.
        """
        self._started_at = clock.monotonic()

    def announce_all(self) -> None:
        """Tell the keepers of this entry's claims anew after the entries in reach have changed."""
        for job_id in self._jobs.get_claimed_ids():
            for session in self._find_keepers(job_id, is_doubtful=False):
                self._send_claim(session, job_id, number=0)

    def sweep(self, now: float) -> None:
        """Forget the claims of owners that are gone, and doubts that are over."""
        self._kept.sweep(now=now)
        self._lost_until = {name: at for name, at in self._lost_until.items() if now < at}

    def _find_keepers(self, job_id: str, *, is_doubtful: bool) -> set[PeerSession]:
        """Return the links with the peers that have to know of a claim."""
        if is_doubtful or self._may_be_kept_elsewhere(job_id):
            return set(self._dialled.values())
        home = choose_home(job_id, [self._member.name, *self._dialled])
        if home != self._member.name:
            return {self._dialled[home]}
        if not self._dialled:
            return set()
        return {self._dialled[choose_home(job_id, self._dialled)]}

    def _is_held_unseen(self, job_id: str, *, is_doubtful: bool) -> bool:
        """Tell whether an entry without a link may have an id, or keep its claim.

        Silence of a peer is no answer: it may be cut off from this entry alone. And an entry that
        reaches no other, or no agent, may be the one that the others count as gone.
        """
        search = self._search
        if search is None:
            return False
        if search.has_orphaned_runs(job_id):
            return True
        is_alone = self.has_lost_peers and not (self._dialled and search.has_agent_response)
        if not is_doubtful and not is_alone and not self._may_be_kept_elsewhere(job_id):
            return False
        return search.may_have_unlinked_peer

    def _may_be_kept_elsewhere(self, job_id: str) -> bool:
        """Tell whether the id's home may be an entry that was lost a while ago."""
        lost = self._find_lost()
        if not lost:
            return False
        return choose_home(job_id, [self._member.name, *self._dialled, *lost]) in lost

    def _find_lost(self) -> list[str]:
        """Return the entries that were lost a while ago and may keep a claim."""
        now = clock.monotonic()
        lost = [name for name, until in self._lost_until.items() if now < until]
        return [name for name in lost if name not in self._dialled]

    async def _ask_all(
        self, sessions: Iterable[PeerSession], job_id: str, timeout_s: float
    ) -> dict[PeerSession, ClaimResponse | None]:
        """Ask for an id on these links; return the answers, None for each that was not given."""
        asked = {session: self._ask(session, job_id) for session in sessions}
        await asyncio.wait([question.answer for question in asked.values()], timeout=timeout_s)
        for number in [number for number, row in self._asked.items() if row in asked.values()]:
            del self._asked[number]
        answers = {session: question.read() for session, question in asked.items()}
        for session, answer in answers.items():
            if answer is None:
                log_event("claim:unanswered", job=job_id, home=session.name)
        return answers

    def _ask(self, session: PeerSession, job_id: str) -> Question:
        number = next(self._numbers)
        question = Question(session=session, answer=asyncio.get_running_loop().create_future())
        self._asked[number] = question
        self._send_claim(session, job_id, number=number)
        return question

    def _send_claim(self, session: PeerSession, job_id: str, *, number: int) -> None:
        if session.member is not None:
            self._asked_for.setdefault(job_id, set()).add(session.member.name)
        session.link.send(Claim(number=number, job=job_id))

    def _find_holder(self, job_id: str) -> Held | None:
        """Return the peer that has an id by what is kept here; it is asked to give it up."""
        held = self._kept.find_other(job_id, self._member.incarnation, now=clock.monotonic())
        if held is not None:
            self._ask_to_yield(job_id, held.owner)
        return held

    def _grant(self, job_id: str, owner: str) -> Granted | Held:
        """Grant an id to a peer, or ask who has it to give it up."""
        if self._jobs.has_open(job_id):
            self._jobs.yield_job(job_id)
            return Held(owner=self._member.incarnation, free_at=None)
        result = self._kept.claim(job_id, owner, now=clock.monotonic())
        if isinstance(result, Held):
            self._ask_to_yield(job_id, result.owner)
        elif not self._has_met_enough():
            # Nobody has it as far as is known here, which is too little: all are to be asked.
            return Held(owner="", free_at=self._started_at + SUSPECT_S)
        return result

    def _take_told(self, session: PeerSession, member: Member, job_id: str) -> None:
        """Keep a peer's claim. If others have one too, the peer is asked to give its job up."""
        is_news = self._kept.record_reported(job_id, member.incarnation)
        held = self._kept.find_other(job_id, member.incarnation, now=clock.monotonic())
        if is_news and (held is not None or self._jobs.is_active(job_id)):
            session.link.send(Yield(job=job_id))

    def _is_too_young(self) -> bool:
        """Tell whether owners had no time yet to say which jobs they have."""
        return clock.monotonic() - self._started_at < STARTUP_GRACE_S and not self._has_met_all()

    def _has_met_enough(self) -> bool:
        """Tell whether what is kept here speaks for all entries."""
        return clock.monotonic() - self._started_at >= SUSPECT_S or self._has_met_all()

    def _ask_to_yield(self, job_id: str, owner: str) -> None:
        holder = self._accepted.get(owner)
        if holder is not None:
            holder.link.send(Yield(job=job_id))


@dataclass(frozen=True, kw_only=True, slots=True, eq=False)
class Question:
    """A claim that waits for its answer, which is None once its link has ended."""

    session: PeerSession
    answer: asyncio.Future[ClaimResponse | None]

    def read(self) -> ClaimResponse | None:
        """Return the answer if it was given."""
        return self.answer.result() if self.answer.done() else None


def _is_grant(answer: ClaimResponse | None) -> bool:
    return answer is not None and answer.is_granted


def _find_refusal(answers: Iterable[ClaimResponse | None]) -> Held | None:
    """Return the first answer that names another owner."""
    for answer in answers:
        if answer is not None and not answer.is_granted and answer.holder:
            free_at = clock.monotonic() + answer.lapses_in_s if answer.lapses_in_s >= 0 else None
            return Held(owner=answer.holder, free_at=free_at)
    return None

"""The entry's links with other entries: claims on job ids, configurations, and new members.

Each entry dials every other one. Its own link carries its claims; the other's link carries theirs.
"""

from __future__ import annotations

import asyncio
import itertools
import time
from collections.abc import Callable, Iterable
from typing import Protocol

from dalemast.core.ownership import Claims, Granted, Held, choose_home
from dalemast.fleet.base import Configuration, Member
from dalemast.fleet.book import AddressBook, to_member, to_row
from dalemast.fleet.entry.configuration import ConfigurationInForce
from dalemast.fleet.frames import (
    Beat,
    Bye,
    Claim,
    ClaimAnswer,
    ConfigurationNews,
    MemberNews,
    PeerHello,
    PeerMessage,
    Release,
    Yield,
)
from dalemast.fleet.links import Dialer, Link
from dalemast.fleet.paths import PEERS_PATH
from dalemast.fleet.timing import FleetTimes
from dalemast.observability import log_event

__all__ = ["OwnJobs", "PeerLinks"]


CLAIM_TIMEOUT_S = 0.15
"""A home in the same region answers within about 2 ms, a slowed one within some 50 ms."""
BEAT_S = 0.2
"""Shortest pause between beats to another entry."""
BEATS_PER_S = 40
"""Beats that an entry sends in a second, to all others together. With more than eight of them the
pause grows, since the beats of a whole fleet of entries grow with their square."""
SILENT_BEATS = 2.5
"""Pauses between beats after which an entry counts as silent: two misses and some."""
SETTLE_S = 0.3
"""A fresh home grants nothing for this long, or until all known entries have told it their jobs.
They do so in the first message of a link, and an entry that is up is dialled within 0.1 s."""
DOUBT_S = 4.0
"""For this long after a peer was lost without a goodbye, all peers are asked for an id whose home
it was, since its owner may still run the job. Cuts last about this long."""


class OwnJobs(Protocol):
    """What the links need of this entry's jobs."""

    def get_open_ids(self) -> list[str]:
        """Return the ids that this entry has claimed."""

    def has_open(self, job_id: str) -> bool:
        """Whether this entry has claimed an id."""

    def give_up(self, job_id: str) -> None:
        """Stop a job since another entry was asked for it; release its id once it has ended."""


class PeerSession:
    """One link with another entry, dialled or accepted."""

    def __init__(self, *, link: Link, owner: PeerLinks, is_dialled: bool) -> None:
        self.link = link
        self.is_dialled = is_dialled
        self.member: Member | None = None
        self.is_ending = False
        self._owner = owner

    def receive(self, messages: list[PeerMessage]) -> None:
        """Take in a frame."""
        for message in messages:
            self._owner.take(self, message)

    def close(self) -> None:
        """Note that the link has ended."""
        self._owner.end_session(self)


class PeerLinks:
    """All other entries, and the claims kept here for them."""

    def __init__(
        self,
        *,
        member: Member,
        book: AddressBook,
        configuration: ConfigurationInForce,
        times: FleetTimes,
        jobs: OwnJobs,
        tell_agents: Callable[[Iterable[Member]], None],
    ) -> None:
        self._member = member
        self._book = book
        self._configuration = configuration
        self._times = times
        self._jobs = jobs
        self._tell_agents = tell_agents
        self._claims = Claims(lapse_s=times.lost_run_s)
        self._dialers: dict[str, Dialer] = {}
        self._dialled: dict[str, PeerSession] = {}
        self._accepted: dict[str, PeerSession] = {}
        self._sessions: set[PeerSession] = set()
        self._numbers = itertools.count(1)
        self._asked: dict[int, asyncio.Future[ClaimAnswer]] = {}
        self._asked_for: dict[str, set[str]] = {}
        """By id of this entry's jobs, the peers that may keep its claim."""
        self._lost_until: dict[str, float] = {}
        """Entries that were lost without a goodbye, and until when they may keep a claim."""
        self._started_at = time.monotonic()

    @property
    def peers(self) -> list[str]:
        """Names of the entries in reach."""
        return sorted(self._dialled)

    @property
    def kept_claims(self) -> int:
        """How many claims are kept here."""
        return len(self._claims)

    def start(self) -> None:
        """Dial every entry that is known now or later."""
        for address in self._book.addresses:
            self._dial(address)
        self._book.on_address(self._dial)
        self._configuration.on_change(self._tell_configuration)

    def stop(self) -> None:
        """Say goodbye and end all links."""
        for session in self._sessions:
            session.link.send(Bye())
            session.link.flush()
        for dialer in self._dialers.values():
            dialer.stop()

    def accept(self, link: Link) -> PeerSession:
        """Greet an entry that opened a link."""
        return self._open(link, is_dialled=False)

    def learn(self, members: Iterable[Member]) -> None:
        """Take in entries, and pass on those that are news."""
        news = self._book.learn(members)
        if not news:
            return
        for session in self._dialled.values():
            session.link.send(MemberNews(members=tuple(to_row(member) for member in news)))
        self._tell_agents(news)

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
        self._claims.release(job_id, self._member.incarnation)
        for name in self._asked_for.pop(job_id, ()):
            session = self._dialled.get(name)
            if session is not None:
                session.link.send(Release(job=job_id))

    def take(self, session: PeerSession, message: PeerMessage) -> None:
        """Take in one message."""
        match message:
            case PeerHello():
                self._greet(session, message)
            case MemberNews():
                self.learn([to_member(row) for row in message.members])
            case ConfigurationNews():
                offered = Configuration(version=message.version, queues=message.queues)
                source = session.member.name if session.member else "peer"
                self._configuration.offer(offered, source=source)
            case Claim():
                self._answer(session, message)
            case ClaimAnswer():
                future = self._asked.pop(message.number, None)
                if future is not None and not future.done():
                    future.set_result(message)
            case Release():
                if session.member is not None:
                    self._claims.release(message.job, session.member.incarnation)
            case Yield():
                self._jobs.give_up(message.job)
            case Bye():
                session.is_ending = True
            case Beat():
                pass

    def end_session(self, session: PeerSession) -> None:
        """Note that a link has ended."""
        session.link.reset()
        self._sessions.discard(session)
        member = session.member
        if member is None:
            return
        if session.is_dialled and self._dialled.get(member.name) is session:
            del self._dialled[member.name]
            log_event("peer:lost", peer=member.name, is_planned=session.is_ending)
            if not session.is_ending:
                self._lost_until[member.name] = time.monotonic() + DOUBT_S
            self._move_claims()
        if not session.is_dialled and self._accepted.get(member.incarnation) is session:
            del self._accepted[member.incarnation]
            self._claims.note_lost(member.incarnation, now=time.monotonic())

    def forgive_silence(self, late_s: float) -> None:
        """Take a time in which this entry did not listen off the silence of all others."""
        for session in self._sessions:
            session.link.forgive(late_s)

    def tick(self, now: float) -> None:
        """Send beats, give up silent links, forget owners that are gone."""
        beat_s = max(BEAT_S, len(self._dialled) / BEATS_PER_S)
        for session in list(self._sessions):
            if self._carries_beats(session) and now - session.link.sent_at >= beat_s:
                session.link.send(Beat())
            if now - self._get_heard_at(session) > SILENT_BEATS * beat_s:
                log_event("peer:silent", peer=session.member.name if session.member else "")
                self.end_session(session)
        self._claims.sweep(now=now)

    def _carries_beats(self, session: PeerSession) -> bool:
        """Tell whether beats go out here: of two links with one entry, on the dialled one."""
        member = session.member
        return session.is_dialled or member is None or member.name not in self._dialled

    def _get_heard_at(self, session: PeerSession) -> float:
        """Return when the entry at the other end was last heard, on either of its links."""
        heard_at = session.link.heard_at
        member = session.member
        if member is None:
            return heard_at
        if session.is_dialled:
            other = self._accepted.get(member.incarnation)
        else:
            other = self._dialled.get(member.name)
        if other is None or other.member != member:
            return heard_at
        return max(heard_at, other.link.heard_at)

    def _dial(self, address: str) -> None:
        if address in self._dialers:
            return
        self._dialers[address] = Dialer(
            url=f"ws://{address}{PEERS_PATH}",
            message_type=PeerMessage,
            make_receiver=lambda link: self._open(link, is_dialled=True),
        )

    def _open(self, link: Link, *, is_dialled: bool) -> PeerSession:
        session = PeerSession(link=link, owner=self, is_dialled=is_dialled)
        self._sessions.add(session)
        link.send(
            PeerHello(
                member=to_row(self._member),
                jobs=tuple(self._jobs.get_open_ids()),
            )
        )
        current = self._configuration.current
        if current is not None:
            link.send(ConfigurationNews(version=current.version, queues=current.queues))
        return session

    def _greet(self, session: PeerSession, hello: PeerHello) -> None:
        member = to_member(hello.member)
        session.member = member
        self.learn([member])
        session.link.send(MemberNews(members=tuple(to_row(m) for m in self._book.members)))
        for job_id in hello.jobs:
            self._claims.claim(job_id, member.incarnation, now=time.monotonic())
        if session.is_dialled:
            self._dialled[member.name] = session
            log_event("peer:link", peer=member.name, peers=len(self._dialled))
            self._move_claims()
            return
        self._accepted[member.incarnation] = session
        self._claims.note_back(member.incarnation)

    def _tell_configuration(self, configuration: Configuration) -> None:
        news = ConfigurationNews(version=configuration.version, queues=configuration.queues)
        for session in self._dialled.values():
            session.link.send(news)

    def _move_claims(self) -> None:
        """Tell the homes of this entry's jobs anew after the entries in reach have changed."""
        entries = [self._member.name, *self._dialled]
        for job_id in self._jobs.get_open_ids():
            home = choose_home(job_id, entries)
            if home == self._member.name:
                self._claims.claim(job_id, self._member.incarnation, now=time.monotonic())
            else:
                self._send_claim(self._dialled[home], job_id, number=0)

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
        return self._claims.claim(job_id, owner, now=now)

    def _is_settled(self, now: float) -> bool:
        """Tell whether owners had the time to say which jobs they have."""
        if now - self._started_at >= SETTLE_S:
            return True
        known = {member.name for member in self._book.members}
        greeted = {s.member.name for s in self._sessions if s.member is not None}
        return bool(known) and known <= greeted

    def _answer(self, session: PeerSession, claim: Claim) -> None:
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

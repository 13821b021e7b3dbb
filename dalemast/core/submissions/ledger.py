"""The owner's record of its submissions.

Open and recently answered submissions are kept in full. When an answer is evicted, one byte remains
for each ticket: its status. So the owner can always report exactly whether a ticket of this
incarnation ran, and a delayed copy of a refused request cannot start a job.
"""

from __future__ import annotations

import enum
from collections import OrderedDict, deque

from dalemast.core.dispatch import JobResult
from dalemast.core.submissions.base import ClaimKey, Submission, SubmissionKey, TicketKey
from dalemast.core.submissions.exceptions import (
    AnswerForgotten,
    SubmissionDiffers,
    TicketExpired,
    TicketInvalid,
)
from dalemast.core.verdicts import Run

__all__ = ["LedgerEntry", "SubmissionLedger"]

MAX_CLAIMS_REMEMBERED = 200_000
MAX_JOBS_REMEMBERED = 200_000


class _Mark(enum.IntEnum):
    """The status of a ticket or key, stored in one byte."""

    UNUSED = 0
    OPEN = 1
    NOT_RUN = 2
    MAY_HAVE_RUN = 3
    RAN = 4


_MARKS = {Run.NOT_RUN: _Mark.NOT_RUN, Run.MAY_HAVE_RUN: _Mark.MAY_HAVE_RUN, Run.RAN: _Mark.RAN}
_RUNS = {mark: run for run, mark in _MARKS.items()}
_RUNS[_Mark.OPEN] = Run.MAY_HAVE_RUN


class LedgerEntry:
    """A submission that is open or whose result is still kept."""

    __slots__ = ("result", "submission")

    def __init__(self, *, submission: Submission) -> None:
        self.submission = submission
        self.result: JobResult | None = None


class SubmissionLedger:
    """The issued tickets, accepted submissions and kept results of an owner.

    Tickets expire ``ticket_life_s`` after they were issued, on the owner's monotonic clock; results
    are kept for the same time. The ``kept_bytes`` limit of the account is passed with each result.
    """

    def __init__(self, *, ticket_life_s: float) -> None:
        self._ticket_life_s = ticket_life_s
        self._marks = bytearray()
        self._claim_marks: OrderedDict[ClaimKey, _Mark] = OrderedDict()
        self._entries: dict[SubmissionKey, LedgerEntry] = {}
        self._by_job: dict[int, LedgerEntry] = {}
        self._kept: deque[tuple[float, SubmissionKey]] = deque()
        self._kept_by_account: dict[str, deque[SubmissionKey]] = {}
        self._kept_bytes: dict[str, int] = {}
        self._job_accounts: dict[int, str] = {}
        self._has_dropped_claims = False

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def issued(self) -> int:
        """The number of tickets issued."""
        return len(self._marks)

    @property
    def kept_bytes(self) -> int:
        """The total size of the kept answers, in bytes."""
        return sum(self._kept_bytes.values())

    def issue(self) -> int:
        """Issue a ticket and return its number."""
        self._marks.append(_Mark.UNUSED)
        return len(self._marks) - 1

    def find(self, key: SubmissionKey, *, digest: bytes | None = None) -> LedgerEntry | None:
        """Return the submission of a key, or None if the key was never used.

        Raise :class:`AnswerForgotten` if the submission was refused or its result was evicted, and
        :class:`SubmissionDiffers` if ``digest`` is not that of the accepted body.
        """
        entry = self._entries.get(key)
        if entry is not None:
            if digest is not None and digest != entry.submission.digest:
                raise SubmissionDiffers("the body differs from that of the first submission")
            return entry
        mark = self._get_mark(key)
        if mark is _Mark.UNUSED:
            return None
        raise AnswerForgotten("the answer is no longer stored", run=_RUNS[mark])

    def check_not_expired(self, *, number: int, issued_ms: int, now: float) -> None:
        """Raise :class:`TicketExpired` if an unused ticket is too old."""
        if not 0 <= number < len(self._marks):
            raise TicketInvalid("the ticket was never issued")
        if now - issued_ms / 1000.0 > self._ticket_life_s:
            raise TicketExpired("the ticket has expired")

    def is_unused(self, number: int) -> bool:
        """Return whether nothing was ever submitted under a ticket."""
        return not 0 <= number < len(self._marks) or self._marks[number] == _Mark.UNUSED

    def is_claim_known(self, key: ClaimKey) -> bool:
        """Return whether a key was submitted here and is still recorded."""
        return key in self._claim_marks

    def check_claim(self, key: ClaimKey) -> None:
        """Raise :class:`AnswerForgotten` if a key may have been used here and then evicted.

        Call this for a key that the platform's table assigns to this owner. If it is not recorded
        here, the reply to the claim was lost and nothing ran, unless keys have been evicted.
        """
        if key not in self._claim_marks and self._has_dropped_claims:
            raise AnswerForgotten("the key is no longer recorded")

    def open(self, submission: Submission) -> LedgerEntry:
        """Record an accepted submission."""
        entry = LedgerEntry(submission=submission)
        self._entries[submission.key] = entry
        self._by_job[submission.job] = entry
        self._set_mark(submission.key, _Mark.OPEN)
        return entry

    def refuse(self, key: SubmissionKey) -> None:
        """Record that a submission was refused, so that its key never starts a job."""
        self._set_mark(key, _Mark.NOT_RUN)

    def find_job(self, job: int, *, account: str) -> LedgerEntry | None:
        """Return the submission of a job, or None if the account has no such job."""
        entry = self._by_job.get(job)
        if entry is None or entry.submission.account != account:
            return None
        return entry

    def was_job_of(self, job: int, *, account: str) -> bool:
        """Return whether a job whose result was evicted belonged to an account."""
        return self._job_accounts.get(job) == account

    def finish(self, *, result: JobResult, now: float, kept_bytes: int) -> None:
        """Keep a result, and evict the account's oldest results above ``kept_bytes``."""
        entry = self._by_job.get(result.job)
        if entry is None:
            return
        entry.result = result
        key = entry.submission.key
        account = entry.submission.account
        self._set_mark(key, _MARKS[result.run])
        self._kept.append((now, key))
        own = self._kept_by_account.setdefault(account, deque())
        own.append(key)
        self._kept_bytes[account] = self._kept_bytes.get(account, 0) + result.size_bytes
        while self._kept_bytes[account] > kept_bytes and len(own) > 1:
            self._forget(own[0])

    def tick(self, *, now: float) -> None:
        """Evict results that have been kept for the ticket lifetime."""
        while self._kept and now - self._kept[0][0] > self._ticket_life_s:
            _, key = self._kept.popleft()
            self._forget(key)

    def _forget(self, key: SubmissionKey) -> None:
        entry = self._entries.pop(key, None)
        if entry is None or entry.result is None:
            return
        account = entry.submission.account
        del self._by_job[entry.submission.job]
        self._job_accounts[entry.submission.job] = account
        if len(self._job_accounts) > MAX_JOBS_REMEMBERED:
            del self._job_accounts[next(iter(self._job_accounts))]
        self._kept_bytes[account] -= entry.result.size_bytes
        own = self._kept_by_account[account]
        if own and own[0] == key:
            own.popleft()
        else:
            own.remove(key)

    def _get_mark(self, key: SubmissionKey) -> _Mark:
        if isinstance(key, TicketKey):
            return _Mark(self._marks[key.number])
        return self._claim_marks.get(key, _Mark.UNUSED)

    def _set_mark(self, key: SubmissionKey, mark: _Mark) -> None:
        if isinstance(key, TicketKey):
            self._marks[key.number] = mark
            return
        self._claim_marks[key] = mark
        self._claim_marks.move_to_end(key)
        if len(self._claim_marks) > MAX_CLAIMS_REMEMBERED:
            self._claim_marks.popitem(last=False)
            self._has_dropped_claims = True

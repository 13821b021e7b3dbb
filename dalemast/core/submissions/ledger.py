"""The owner's memory of its submissions.

Open and recently answered submissions are kept whole. When an answer is let go, one byte stays: the
run word. So a ticket of this incarnation can always be told truly whether it ran, for the cost of a
byte, and a ticket that was refused stays refused: a late copy of it must not start what its caller
was told was not run.
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
    """One byte a ticket."""

    UNUSED = 0
    OPEN = 1
    NOT_RUN = 2
    MAY_HAVE_RUN = 3
    RAN = 4


_MARKS = {Run.NOT_RUN: _Mark.NOT_RUN, Run.MAY_HAVE_RUN: _Mark.MAY_HAVE_RUN, Run.RAN: _Mark.RAN}
_RUNS = {mark: run for run, mark in _MARKS.items()}
_RUNS[_Mark.OPEN] = Run.MAY_HAVE_RUN


class LedgerEntry:
    """A submission that is open or whose answer is still kept."""

    __slots__ = ("result", "submission")

    def __init__(self, *, submission: Submission) -> None:
        self.submission = submission
        self.result: JobResult | None = None


class SubmissionLedger:
    """Tickets issued, submissions taken, answers kept.

    ``ticket_life_s`` counts from the issue of a ticket on the owner's monotonic clock; answers are
    kept as long. ``kept_bytes`` limits come with each answer, by account.
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
        """How many tickets were issued."""
        return len(self._marks)

    @property
    def kept_bytes(self) -> int:
        """The size of all kept answers, in bytes."""
        return sum(self._kept_bytes.values())

    def issue(self) -> int:
        """Issue a ticket and return its number."""
        self._marks.append(_Mark.UNUSED)
        return len(self._marks) - 1

    def find(self, key: SubmissionKey, *, digest: bytes | None = None) -> LedgerEntry | None:
        """Return what is kept under a key, or None when the key was never used.

        Raises :class:`AnswerForgotten` for a submission that ended and was let go, and
        :class:`SubmissionDiffers` when the body is not the one that was taken.
        """
        entry = self._entries.get(key)
        if entry is not None:
            if digest is not None and digest != entry.submission.digest:
                raise SubmissionDiffers("the body differs from that of the first submission")
            return entry
        mark = self._get_mark(key)
        if mark is _Mark.UNUSED:
            return None
        raise AnswerForgotten("the answer is no longer kept", run=_RUNS[mark])

    def check_not_expired(self, *, number: int, issued_ms: int, now: float) -> None:
        """Raise :class:`TicketExpired` for an unused ticket whose life is over."""
        if not 0 <= number < len(self._marks):
            raise TicketInvalid("the ticket was never issued")
        if now - issued_ms / 1000.0 > self._ticket_life_s:
            raise TicketExpired("the ticket's life is over")

    def is_unused(self, number: int) -> bool:
        """Tell whether nothing was ever submitted under a ticket."""
        return not 0 <= number < len(self._marks) or self._marks[number] == _Mark.UNUSED

    def is_claim_known(self, key: ClaimKey) -> bool:
        """Tell whether a key was submitted here and is remembered."""
        return key in self._claim_marks

    def check_claim(self, key: ClaimKey) -> None:
        """Raise :class:`AnswerForgotten` when a key may have been used here and been forgotten.

        A key whose row names this owner and that is not remembered was claimed by a write whose
        answer was lost; it never ran, unless keys have been let go since.
        """
        if key not in self._claim_marks and self._has_dropped_claims:
            raise AnswerForgotten("the key is no longer remembered")

    def open(self, submission: Submission) -> LedgerEntry:
        """Note that a submission was taken on."""
        entry = LedgerEntry(submission=submission)
        self._entries[submission.key] = entry
        self._by_job[submission.job] = entry
        self._set_mark(submission.key, _Mark.OPEN)
        return entry

    def refuse(self, key: SubmissionKey) -> None:
        """Note that a submission was refused: nothing may ever start under its key."""
        self._set_mark(key, _Mark.NOT_RUN)

    def find_job(self, job: int, *, account: str) -> LedgerEntry | None:
        """Return what is kept of a job, if it is the account's."""
        entry = self._by_job.get(job)
        if entry is None or entry.submission.account != account:
            return None
        return entry

    def was_job_of(self, job: int, *, account: str) -> bool:
        """Tell whether an account had a job whose answer was let go not long ago."""
        return self._job_accounts.get(job) == account

    def finish(self, *, result: JobResult, now: float, kept_bytes: int) -> None:
        """Keep a result, and let the account's oldest go while it keeps over ``kept_bytes``."""
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
        """Let go of answers whose time is over."""
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

"""Keys and records of submissions."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["ClaimKey", "Submission", "SubmissionKey", "TicketKey"]


@dataclass(frozen=True, kw_only=True, slots=True)
class TicketKey:
    """The number of a ticket that this owner issued."""

    number: int


@dataclass(frozen=True, kw_only=True, slots=True)
class ClaimKey:
    """A key chosen by the caller and claimed for this owner in the platform's table."""

    account: str
    key: str


SubmissionKey = TicketKey | ClaimKey


@dataclass(frozen=True, kw_only=True, slots=True)
class Submission:
    """The record of a submission. ``digest`` is a hash of its body."""

    key: SubmissionKey
    account: str
    job: int
    digest: bytes

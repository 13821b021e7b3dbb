"""What a submission is known by."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["ClaimKey", "Submission", "SubmissionKey", "TicketKey"]


@dataclass(frozen=True, kw_only=True, slots=True)
class TicketKey:
    """A ticket of this owner, by its number."""

    number: int


@dataclass(frozen=True, kw_only=True, slots=True)
class ClaimKey:
    """A caller's own opaque key, claimed for this owner in the platform's table."""

    account: str
    key: str


SubmissionKey = TicketKey | ClaimKey


@dataclass(frozen=True, kw_only=True, slots=True)
class Submission:
    """What is remembered of a submission. ``digest`` is a hash of its body."""

    key: SubmissionKey
    account: str
    job: int
    digest: bytes

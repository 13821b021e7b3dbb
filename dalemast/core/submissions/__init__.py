"""Submissions: tickets, keys, and the ledger that lets each submission start only once."""

from dalemast.core.submissions.base import ClaimKey, Submission, SubmissionKey, TicketKey
from dalemast.core.submissions.exceptions import (
    AnswerForgotten,
    ForeignSubmission,
    KeyUnproved,
    OwnerDraining,
    OwnerLost,
    SubmissionDiffers,
    TicketExpired,
    TicketInvalid,
)
from dalemast.core.submissions.handler import SubmissionHandler
from dalemast.core.submissions.ledger import LedgerEntry, SubmissionLedger
from dalemast.core.submissions.tickets import JobName, Ticket, TicketSigner

__all__ = [
    "AnswerForgotten",
    "ClaimKey",
    "ForeignSubmission",
    "JobName",
    "KeyUnproved",
    "LedgerEntry",
    "OwnerDraining",
    "OwnerLost",
    "Submission",
    "SubmissionHandler",
    "SubmissionDiffers",
    "SubmissionKey",
    "SubmissionLedger",
    "Ticket",
    "TicketExpired",
    "TicketInvalid",
    "TicketKey",
    "TicketSigner",
]

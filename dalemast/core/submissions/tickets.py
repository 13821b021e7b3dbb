"""Signed tickets and job names.

A ticket binds a submission to the one entry incarnation that may start its tasks, without a write
to anything. The signature covers the account, so that another account's ticket is worth nothing.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from itsdangerous import BadData, URLSafeSerializer

from dalemast.core.submissions.exceptions import ForeignSubmission, TicketInvalid

__all__ = ["MAX_TICKET_LENGTH", "JobName", "Ticket", "TicketSigner"]

MAX_TICKET_LENGTH = 512
"""Characters; anything longer is refused unread."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Ticket:
    """The right to submit one job.

    ``address`` is where other entries reach the owner. ``issued_ms`` is on the owner's monotonic
    clock, which no other process interprets.
    """

    account: str
    address: str
    incarnation: str
    number: int
    issued_ms: int


@dataclass(frozen=True, kw_only=True, slots=True)
class JobName:
    """The public name of a job: enough for any entry to find its owner.

    A job is also known by the ticket it was submitted under, since its caller has no other name
    for it before the answer; then ``is_ticket`` is set and ``number`` is the ticket's.
    """

    address: str
    incarnation: str
    number: int
    is_ticket: bool = False


class TicketSigner:
    """Sign and read tickets and job names with the system's key."""

    def __init__(self, *, key: bytes) -> None:
        self._tickets = URLSafeSerializer(key, salt="dalemast.ticket")
        self._jobs = URLSafeSerializer(key, salt="dalemast.job")

    def sign_ticket(self, ticket: Ticket) -> str:
        """Return the text of a ticket."""
        fields = [
            ticket.account,
            ticket.address,
            ticket.incarnation,
            ticket.number,
            ticket.issued_ms,
        ]
        return _as_text(self._tickets.dumps(fields))

    def read_ticket(self, text: str, *, account: str) -> Ticket:
        """Read a ticket of an account.

        Raises :class:`TicketInvalid` for a text that is not a ticket, and
        :class:`ForeignSubmission` for a ticket of another account.
        """
        fields = self._load(self._tickets, text)
        try:
            owner, address, incarnation, number, issued_ms = fields
        except (TypeError, ValueError) as error:
            raise TicketInvalid("the ticket does not have the right fields") from error
        if owner != account:
            raise ForeignSubmission("no such ticket")
        return Ticket(
            account=owner,
            address=address,
            incarnation=incarnation,
            number=number,
            issued_ms=issued_ms,
        )

    def sign_job(self, name: JobName) -> str:
        """Return the public name of a job."""
        return _as_text(self._jobs.dumps([name.address, name.incarnation, name.number]))

    def read_job(self, text: str, *, account: str) -> JobName:
        """Read a job's public name or its ticket.

        Raises :class:`ForeignSubmission` when it is neither, or another account's ticket.
        """
        try:
            address, incarnation, number = self._load(self._jobs, text)
        except (TicketInvalid, TypeError, ValueError):
            return self._read_ticket_as_job(text, account)
        return JobName(address=address, incarnation=incarnation, number=number)

    def _read_ticket_as_job(self, text: str, account: str) -> JobName:
        try:
            ticket = self.read_ticket(text, account=account)
        except (TicketInvalid, ForeignSubmission) as error:
            raise ForeignSubmission("no such job") from error
        return JobName(
            address=ticket.address,
            incarnation=ticket.incarnation,
            number=ticket.number,
            is_ticket=True,
        )

    def _load(self, serializer: URLSafeSerializer, text: str) -> Any:
        if len(text) > MAX_TICKET_LENGTH:
            raise TicketInvalid("the ticket is too long")
        try:
            return serializer.loads(text)
        except BadData as error:
            raise TicketInvalid("the ticket's signature does not hold") from error


def _as_text(value: str | bytes) -> str:
    return value if isinstance(value, str) else value.decode()

"""Signed tickets and job names.

A ticket binds a submission to the one entry incarnation that may start its tasks, without a write
to any store. The signature covers the account, so a ticket is of no use to another account.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from itsdangerous import BadData, URLSafeSerializer

from dalemast.core.submissions.exceptions import ForeignSubmission, TicketInvalid

__all__ = ["MAX_TICKET_LENGTH", "JobName", "Ticket", "TicketSigner"]

MAX_TICKET_LENGTH = 512
"""Maximum length in characters; longer texts are refused before they are decoded."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Ticket:
    """Permission to submit one job.

    ``address`` is the owner's address for other entries. ``issued_ms`` is on the owner's monotonic
    clock and has no meaning in other processes.
    """

    account: str
    address: str
    incarnation: str
    number: int
    issued_ms: int


@dataclass(frozen=True, kw_only=True, slots=True)
class JobName:
    """The public name of a job, from which any entry can find its owner.

    A caller does not know the name before the reply, so a ticket also names the job that was
    submitted with it. Then ``is_ticket`` is set and ``number`` is the number of the ticket.
    """

    address: str
    incarnation: str
    number: int
    is_ticket: bool = False


class TicketSigner:
    """Signs and reads tickets and job names with the system key."""

    def __init__(self, *, key: bytes) -> None:
        self._tickets = URLSafeSerializer(key, salt="dalemast.ticket")
        self._jobs = URLSafeSerializer(key, salt="dalemast.job")

    def sign_ticket(self, ticket: Ticket) -> str:
        """Return a ticket as signed text."""
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

        Raise :class:`TicketInvalid` if the text is not a ticket, and
        :class:`ForeignSubmission` if it is a ticket of another account.
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
        """Return the name of a job as signed text."""
        return _as_text(self._jobs.dumps([name.address, name.incarnation, name.number]))

    def read_job(self, text: str, *, account: str) -> JobName:
        """Read a job's public name or its ticket.

        Raise :class:`ForeignSubmission` if it is neither, or a ticket of another account.
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
            raise TicketInvalid("the ticket's signature is invalid") from error


def _as_text(value: str | bytes) -> str:
    return value if isinstance(value, str) else value.decode()

"""HTTP handlers for callers, and for entries that forward a caller's request to its owner."""

from __future__ import annotations

import asyncio
import hashlib
from dataclasses import dataclass

import msgspec
from tornado.web import Finish

from dalemast import clock
from dalemast.core.configuration import Account
from dalemast.core.dispatch import JobCancelled, JobRequest, JobResult
from dalemast.core.exceptions import DalemastError
from dalemast.core.submissions import (
    AnswerForgotten,
    ClaimKey,
    ForeignSubmission,
    JobName,
    LedgerEntry,
    OwnerDraining,
    OwnerLost,
    SubmissionKey,
    Ticket,
    TicketKey,
    TicketSigner,
)
from dalemast.entry.accounts import Authenticator
from dalemast.entry.bodies import (
    CompleteAnswer,
    PendingAnswer,
    TicketsAnswer,
    TicketsBody,
    read_job,
)
from dalemast.entry.claims import ClaimBatcher, ClaimOutcome
from dalemast.entry.engine import EntryEngine
from dalemast.entry.exceptions import EntryNotReady
from dalemast.entry.forwarding import (
    ACCOUNT_HEADER,
    INCARNATION_HEADER,
    KEY_HEADER,
    TICKET_HEADER,
    ForwardedRequest,
    Forwarder,
)
from dalemast.http.base import BaseHandler, FailedAnswer, decode_body
from dalemast.http.client import JsonResponse
from dalemast.http.exceptions import BadBody, BadHeader, BadToken, NoSubmissionKey
from dalemast.http.security import SYSTEM_HEADER, SystemProof
from dalemast.http.server import Route
from dalemast.observability import Metrics
from dalemast.observability.logs import log_job

__all__ = ["CallersContext", "get_caller_routes", "get_peer_routes"]

MAX_KEY_LENGTH = 200
MAX_WAIT_MS = 60_000
DIGEST_BYTES = 16
PEER_PREFIX = "/v1/peer"


@dataclass(frozen=True, kw_only=True, slots=True)
class CallersContext:
    """Dependencies of the handlers. ``address`` is where other entries reach this one."""

    engine: EntryEngine
    authenticator: Authenticator
    signer: TicketSigner
    claims: ClaimBatcher
    forwarder: Forwarder
    proof: SystemProof
    metrics: Metrics
    address: str
    max_tickets: int


class _SubmissionHandler(BaseHandler):
    """Base of the callers' and peers' handlers for submissions and jobs that this entry owns."""

    def initialize(self, context: CallersContext) -> None:
        self._context = context
        self._engine = context.engine
        self._pending: asyncio.Future[JobResult] | None = None

    def on_connection_close(self) -> None:
        """Stop waiting for the result when the caller disconnects."""
        if self._pending is not None:
            self._pending.cancel()

    def _make_ticket(self, account: str) -> str | None:
        if self._engine.is_draining:
            return None
        ticket = Ticket(
            account=account,
            address=self._context.address,
            incarnation=self._engine.incarnation,
            number=self._engine.ledger.issue(),
            issued_ms=int(clock.monotonic() * 1000),
        )
        return self._context.signer.sign_ticket(ticket)

    def _make_job_name(self, number: int) -> str:
        name = JobName(
            address=self._context.address,
            incarnation=self._engine.incarnation,
            number=number,
        )
        return self._context.signer.sign_job(name)

    async def _submit_locally(self, key: SubmissionKey, account: Account) -> JobResult:
        """Start or join a submission that this entry owns."""
        body = self.request.body
        request = read_job(body, account=account.name, limits=self._engine.configuration.limits)
        digest = hashlib.blake2b(body, digest_size=DIGEST_BYTES).digest()
        started_at = clock.monotonic()
        submitting = self._engine.submit(key=key, digest=digest, request=request)
        self._pending = asyncio.ensure_future(submitting)
        try:
            result = await self._pending
        except asyncio.CancelledError as error:
            raise Finish from error
        elapsed_s = clock.monotonic() - started_at
        self._context.metrics.record("job", account.name, elapsed_s)
        _log_result(request, result, elapsed_s)
        return result

    def _send_result(self, result: JobResult, next_ticket: str | None) -> None:
        name = self._make_job_name(result.job)
        if result.error is not None:
            self.send_failure(result.error, run=result.run, job=name, next_ticket=next_ticket)
            return
        answer = CompleteAnswer(
            job=name, outcome="complete", answers=result.answers, next_ticket=next_ticket
        )
        self.send_json(answer)

    async def _wait_locally(self, entry: LedgerEntry) -> None:
        """Respond to a poll for a job that this entry owns."""
        number = entry.submission.job
        wait_ms = self._get_wait_ms()
        if entry.result is None and wait_ms > 0:
            result = await self._engine.wait_for(entry, timeout_s=wait_ms / 1000.0)
        else:
            result = entry.result
        if result is None:
            self.send_json(PendingAnswer(job=self._make_job_name(number)), status=202)
        else:
            self._send_result(result, None)

    def _get_wait_ms(self) -> int:
        text = self.get_query_argument("wait_ms", "0")
        if not text.isdecimal() or len(text) > 9:
            raise BadHeader(
                "wait_ms must be a whole number of milliseconds with at most 9 digits",
                place="?wait_ms",
            )
        return min(int(text), MAX_WAIT_MS)

    def _check_ticket_life(self, ticket: Ticket) -> None:
        """Refuse an unused ticket that has expired; a used one keeps its result."""
        ledger = self._engine.ledger
        if ledger.is_unused(ticket.number):
            ledger.check_not_expired(
                number=ticket.number, issued_ms=ticket.issued_ms, now=clock.monotonic()
            )


class _CallerHandler(_SubmissionHandler):
    """Base of the handlers on the callers' listener."""

    def _authenticate(self) -> Account:
        if not self._engine.configuration.is_ready:
            raise EntryNotReady("this entry has no configuration yet", retry_after_s=1.0)
        return self._context.authenticator.get_account(self.get_bearer())


class TicketsHandler(_CallerHandler):
    """``POST /v1/tickets``."""

    def post(self) -> None:
        """Issue tickets."""
        account = self._authenticate()
        if self._engine.is_draining:
            raise OwnerDraining("this entry is draining", retry_after_s=0.1)
        body: TicketsBody = decode_body(self.request.body or b"{}", TicketsBody)
        if not 1 <= body.count <= self._context.max_tickets:
            raise BadBody(
                f"count must be from 1 to {self._context.max_tickets}, not {body.count}",
                place="$.count",
            )
        tickets = tuple(self._make_ticket(account.name) or "" for _ in range(body.count))
        self.send_json(TicketsAnswer(tickets=tickets))


class JobsHandler(_CallerHandler):
    """``POST /v1/jobs``."""

    async def post(self) -> None:
        """Submit a job, here or at its owner, and respond with its result."""
        account = self._authenticate()
        headers = self.request.headers
        ticket_text = headers.get(TICKET_HEADER, "")
        key_text = headers.get(KEY_HEADER, "")
        if ticket_text and key_text:
            raise BadHeader("the job has both a ticket and a key", place=KEY_HEADER)
        if not ticket_text and not key_text:
            raise NoSubmissionKey("the job has neither a ticket nor a key")
        try:
            if ticket_text:
                await self._submit_ticket(account, ticket_text)
            else:
                await self._submit_claim(account, key_text)
        except DalemastError as error:
            self.send_failure(error, next_ticket=self._make_ticket(account.name))

    async def _submit_ticket(self, account: Account, text: str) -> None:
        ticket = self._context.signer.read_ticket(text, account=account.name)
        if ticket.incarnation != self._engine.incarnation:
            await self._forward(account, ticket.address, ticket.incarnation, {TICKET_HEADER: text})
            return
        self._check_ticket_life(ticket)
        result = await self._submit_locally(TicketKey(number=ticket.number), account)
        self._send_result(result, self._make_ticket(account.name))

    async def _submit_claim(self, account: Account, text: str) -> None:
        if len(text) > MAX_KEY_LENGTH or not text.isascii() or not text.isprintable():
            raise BadHeader(
                f"the key is longer than {MAX_KEY_LENGTH} characters or not printable ASCII",
                place=KEY_HEADER,
            )
        key = ClaimKey(account=account.name, key=text)
        if self._engine.ledger.is_claim_known(key):
            result = await self._submit_locally(key, account)
            self._send_result(result, self._make_ticket(account.name))
            return
        # Validate the job first, so that an invalid one causes no write to the table.
        read_job(self.request.body, account=account.name, limits=self._engine.configuration.limits)
        claim = await self._context.claims.claim(key)
        if claim.owner != self._engine.incarnation:
            await self._forward_claim(account, claim, text)
            return
        self._engine.ledger.check_claim(key)
        result = await self._submit_locally(key, account)
        self._send_result(result, self._make_ticket(account.name))

    async def _forward_claim(self, account: Account, claim: ClaimOutcome, text: str) -> None:
        await self._forward(account, claim.address, claim.owner, {KEY_HEADER: text})

    async def _forward(
        self, account: Account, address: str, incarnation: str, headers: dict[str, str]
    ) -> None:
        response = await self._context.forwarder.forward(
            ForwardedRequest(
                method="POST",
                path=f"{PEER_PREFIX}/jobs",
                address=address,
                incarnation=incarnation,
                account=account.name,
                headers=headers,
                body=self.request.body,
            )
        )
        _relay(self, response, self._make_ticket(account.name))


class JobHandler(_CallerHandler):
    """``GET`` and ``DELETE /v1/jobs/JOB``."""

    async def get(self, text: str) -> None:
        """Return a job's result, waiting up to ``wait_ms`` for it."""
        account = self._authenticate()
        name = self._context.signer.read_job(text, account=account.name)
        if name.incarnation != self._engine.incarnation:
            wait_ms = self._get_wait_ms()
            await self._forward("GET", account, name, f"{text}?wait_ms={wait_ms}")
            return
        await self._wait_locally(_find_job(self._engine, name, account.name))

    async def delete(self, text: str) -> None:
        """Cancel a job."""
        account = self._authenticate()
        name = self._context.signer.read_job(text, account=account.name)
        if name.incarnation != self._engine.incarnation:
            await self._forward("DELETE", account, name, text)
            return
        self._send_result(_cancel_job(self._engine, name, account.name), None)

    async def _forward(self, method: str, account: Account, name: JobName, rest: str) -> None:
        response = await self._context.forwarder.forward(
            ForwardedRequest(
                method=method,
                path=f"{PEER_PREFIX}/jobs/{rest}",
                address=name.address,
                incarnation=name.incarnation,
                account=account.name,
                headers={},
            )
        )
        _relay(self, response, None)


class _PeerHandler(_SubmissionHandler):
    """Base of the handlers for other entries. They never forward, which rules out loops."""

    def prepare(self) -> None:
        proof = self.request.headers.get(SYSTEM_HEADER, "")
        if not self._context.proof.is_valid(proof):
            raise BadToken("the path is reserved for processes that hold the system key")

    def _get_account(self) -> Account:
        """Return the account that the first entry authenticated."""
        incarnation = self.request.headers.get(INCARNATION_HEADER, "")
        if incarnation != self._engine.incarnation:
            raise OwnerLost("another process now uses the owner's address")
        name = self.request.headers.get(ACCOUNT_HEADER, "")
        account = self._engine.configuration.accounts.get(name)
        return Account(name=name) if account is None else account


class PeerJobsHandler(_PeerHandler):
    """``POST /v1/peer/jobs``: a submission that another entry received for this owner."""

    async def post(self) -> None:
        """Start or join the submission."""
        account = self._get_account()
        self._context.metrics.count("forwards.received")
        headers = self.request.headers
        text = headers.get(TICKET_HEADER, "")
        key: SubmissionKey
        if text:
            ticket = self._context.signer.read_ticket(text, account=account.name)
            self._check_ticket_life(ticket)
            key = TicketKey(number=ticket.number)
        else:
            key = ClaimKey(account=account.name, key=headers.get(KEY_HEADER, ""))
            self._engine.ledger.check_claim(key)
        self._send_result(await self._submit_locally(key, account), None)


class PeerJobHandler(_PeerHandler):
    """``GET`` and ``DELETE /v1/peer/jobs/JOB``."""

    async def get(self, text: str) -> None:
        """Return a job's result, waiting up to ``wait_ms`` for it."""
        account = self._get_account()
        name = self._context.signer.read_job(text, account=account.name)
        await self._wait_locally(_find_job(self._engine, name, account.name))

    async def delete(self, text: str) -> None:
        """Cancel a job."""
        account = self._get_account()
        name = self._context.signer.read_job(text, account=account.name)
        self._send_result(_cancel_job(self._engine, name, account.name), None)


def _log_result(request: JobRequest, result: JobResult, elapsed_s: float) -> None:
    log_job(
        job=str(result.job),
        account=request.account,
        service=request.service,
        tasks=len(request.payloads),
        outcome="complete" if result.is_complete else "failed",
        run=result.run.value,
        code="" if result.error is None else result.error.code,
        response_ms=elapsed_s * 1000.0,
    )


def _cancel_job(engine: EntryEngine, name: JobName, account: str) -> JobResult:
    """Cancel a job, or invalidate an unused ticket so that no job can start with it."""
    if name.is_ticket and engine.ledger.is_unused(name.number):
        engine.ledger.refuse(TicketKey(number=name.number))
        raise JobCancelled("the ticket was cancelled before it was used")
    return engine.cancel(_find_job(engine, name, account))


def _find_job(engine: EntryEngine, name: JobName, account: str) -> LedgerEntry:
    if name.is_ticket:
        known = engine.ledger.find(TicketKey(number=name.number))
        if known is None:
            raise ForeignSubmission("no job was submitted with this ticket")
        return known
    entry = engine.ledger.find_job(name.number, account=account)
    if entry is not None:
        return entry
    if engine.ledger.was_job_of(name.number, account=account):
        raise AnswerForgotten("the job has ended and its result is no longer stored")
    raise ForeignSubmission("no such job")


def _relay(handler: BaseHandler, response: JsonResponse, next_ticket: str | None) -> None:
    """Send a peer's response to the caller, with a new ticket issued by this entry."""
    body: object = response.body
    if response.status == 200:
        answer = response.decode(CompleteAnswer)
        body = msgspec.structs.replace(answer, next_ticket=next_ticket)
    elif response.status != 202:
        failure = response.decode(FailedAnswer)
        body = msgspec.structs.replace(failure, next_ticket=next_ticket)
    if response.retry_after:
        handler.set_header("Retry-After", response.retry_after)
    handler.send_json(body, status=response.status)


def get_caller_routes(context: CallersContext) -> list[Route]:
    """Return the routes for the callers' listener."""
    arguments = {"context": context}
    return [
        ("/v1/tickets", TicketsHandler, arguments),
        ("/v1/jobs", JobsHandler, arguments),
        (r"/v1/jobs/([A-Za-z0-9_.=-]{1,512})", JobHandler, arguments),
    ]


def get_peer_routes(context: CallersContext) -> list[Route]:
    """Return the routes that other entries use, on the operators' listener."""
    arguments = {"context": context}
    return [
        (f"{PEER_PREFIX}/jobs", PeerJobsHandler, arguments),
        (PEER_PREFIX + r"/jobs/([A-Za-z0-9_.=-]{1,512})", PeerJobHandler, arguments),
    ]

"""The submission ledger: kept and evicted results, and the run status after eviction."""

from __future__ import annotations

import msgspec
import testtools

from dalemast.core.dispatch import JobResult
from dalemast.core.submissions import (
    AnswerForgotten,
    ClaimKey,
    Submission,
    SubmissionKey,
    SubmissionLedger,
    TicketExpired,
    TicketInvalid,
    TicketKey,
)
from dalemast.core.submissions import ledger as ledger_module
from dalemast.core.verdicts import Run

PLENTY = 1 << 30


class LedgerTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.ledger = SubmissionLedger(ticket_life_s=60.0)
        self.jobs = 0

    def open(self, key: SubmissionKey, account: str = "a") -> int:
        self.jobs += 1
        self.ledger.open(Submission(key=key, account=account, job=self.jobs, digest=b"d"))
        return self.jobs

    def finish(self, job: int, run: Run = Run.RAN, kept_bytes: int = PLENTY) -> None:
        result = JobResult(job=job, account="a", run=run, answers=(msgspec.Raw(b"x" * 100),))
        self.ledger.finish(result=result, now=0.0, kept_bytes=kept_bytes)

    def issue_ticket(self) -> TicketKey:
        return TicketKey(number=self.ledger.issue())

    def test_evicted_answers_keep_their_run_status(self) -> None:
        for run in Run:
            key = self.issue_ticket()
            self.finish(self.open(key), run)
            self.ledger.tick(now=1000.0)
            error = self.assertRaises(AnswerForgotten, self.ledger.find, key)
            self.assertIs(error.run, run)
        self.assertEqual(len(self.ledger), 0)
        self.assertEqual(self.ledger.kept_bytes, 0)

    def test_open_submission_is_never_evicted(self) -> None:
        key = self.issue_ticket()
        self.open(key)
        self.ledger.tick(now=10_000.0)
        self.assertIsNotNone(self.ledger.find(key))

    def test_refused_key_stays_not_run(self) -> None:
        key = self.issue_ticket()
        self.ledger.refuse(key)
        error = self.assertRaises(AnswerForgotten, self.ledger.find, key)
        self.assertIs(error.run, Run.NOT_RUN)

    def test_account_over_its_limit_loses_its_oldest_answer_only(self) -> None:
        keys = [self.issue_ticket() for _ in range(3)]
        for key in keys:
            self.finish(self.open(key), kept_bytes=250)
        self.assertRaises(AnswerForgotten, self.ledger.find, keys[0])
        self.assertIsNotNone(self.ledger.find(keys[1]))
        self.assertEqual(self.ledger.kept_bytes, 200)

    def test_ticket_expires_after_its_lifetime(self) -> None:
        number = self.ledger.issue()
        self.ledger.check_not_expired(number=number, issued_ms=0, now=59.0)
        arguments = {"number": number, "issued_ms": 0, "now": 61.0}
        self.assertRaises(TicketExpired, self.ledger.check_not_expired, **arguments)
        arguments = {"number": 99, "issued_ms": 0, "now": 0.0}
        self.assertRaises(TicketInvalid, self.ledger.check_not_expired, **arguments)

    def test_evicted_claims_are_not_started_again(self) -> None:
        self.patch(ledger_module, "MAX_CLAIMS_REMEMBERED", 2)
        keys = [ClaimKey(account="a", key=f"k{n}") for n in range(3)]
        self.ledger.check_claim(keys[0])
        for key in keys:
            self.finish(self.open(key))
        self.ledger.tick(now=1000.0)
        self.assertFalse(self.ledger.is_claim_known(keys[0]))
        self.assertRaises(AnswerForgotten, self.ledger.check_claim, keys[0])

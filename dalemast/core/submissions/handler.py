"""Handle submissions: start a job, return the existing one, or refuse permanently."""

from __future__ import annotations

from dalemast.core.configuration import ConfigurationHolder
from dalemast.core.dispatch import JobRequest, JobResult, Owner
from dalemast.core.exceptions import DalemastError
from dalemast.core.submissions.base import Submission, SubmissionKey
from dalemast.core.submissions.exceptions import OwnerDraining
from dalemast.core.submissions.ledger import LedgerEntry, SubmissionLedger

__all__ = ["SubmissionHandler"]


class SubmissionHandler:
    """Handles the submissions of one owner incarnation; each key starts at most one job."""

    def __init__(
        self, *, owner: Owner, ledger: SubmissionLedger, configuration: ConfigurationHolder
    ) -> None:
        self._owner = owner
        self._ledger = ledger
        self._configuration = configuration
        self._is_draining = False

    @property
    def is_draining(self) -> bool:
        """Whether new submissions are refused."""
        return self._is_draining

    def start_draining(self) -> None:
        """Refuse new submissions from now on; jobs of known keys are still returned."""
        self._is_draining = True

    def submit(
        self, *, now: float, key: SubmissionKey, digest: bytes, request: JobRequest
    ) -> LedgerEntry:
        """Start a submission, or return the one that was started under the same key.

        A refusal raises an error and is stored: the error reports that nothing ran, so a
        delayed copy of the request must not run either.
        """
        entry = self._ledger.find(key, digest=digest)
        if entry is not None:
            return entry
        try:
            if self._is_draining:
                raise OwnerDraining("this entry is stopping", retry_after_s=0.1)
            job = self._owner.submit(now=now, request=request)
        except DalemastError:
            self._ledger.refuse(key)
            raise
        return self._ledger.open(
            Submission(key=key, account=request.account, job=job, digest=digest)
        )

    def finish(self, *, now: float, result: JobResult) -> None:
        """Store the result of a job, within the ``kept_bytes`` limit of its account."""
        account = self._configuration.accounts.get(result.account)
        kept_bytes = account.limits.kept_bytes if account is not None else 0
        self._ledger.finish(result=result, now=now, kept_bytes=kept_bytes)

"""Forward a request to the entry that owns the submission."""

from __future__ import annotations

from dataclasses import dataclass

from dalemast.core.submissions import OwnerLost
from dalemast.http.client import HttpFailure, JsonClient, JsonResponse
from dalemast.http.security import SystemProof
from dalemast.observability import Metrics

__all__ = [
    "ACCOUNT_HEADER",
    "INCARNATION_HEADER",
    "KEY_HEADER",
    "TICKET_HEADER",
    "Forwarder",
    "ForwardedRequest",
]

TICKET_HEADER = "Submission-Ticket"
KEY_HEADER = "Idempotency-Key"
ACCOUNT_HEADER = "X-Dalemast-Account"
INCARNATION_HEADER = "X-Dalemast-Incarnation"

FORWARD_TIMEOUT_S = 150.0
"""Longer than the longest job deadline, so that the owner's result arrives first."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ForwardedRequest:
    """A request to another entry. ``headers`` hold the ticket or key of the submission."""

    method: str
    path: str
    address: str
    incarnation: str
    account: str
    headers: dict[str, str]
    body: bytes | None = None


class Forwarder:
    """Sends requests to the owners of submissions."""

    def __init__(
        self, *, client: JsonClient, proof: SystemProof, scheme: str, metrics: Metrics
    ) -> None:
        self._client = client
        self._proof = proof
        self._scheme = scheme
        self._metrics = metrics

    async def forward(self, request: ForwardedRequest) -> JsonResponse:
        """Return the owner's response; raise :class:`OwnerLost` if there is none.

        An unreachable owner may still be running the job, so its outcome is unknown.
        """
        self._metrics.count("forwards.sent")
        headers = {
            **request.headers,
            **self._proof.headers,
            ACCOUNT_HEADER: request.account,
            INCARNATION_HEADER: request.incarnation,
        }
        try:
            return await self._client.request(
                request.method,
                f"{self._scheme}://{request.address}{request.path}",
                body=request.body,
                headers=headers,
                timeout_s=FORWARD_TIMEOUT_S,
            )
        except HttpFailure as failure:
            self._metrics.count("forwards.failed")
            raise OwnerLost(f"no response from the owner: {failure.message}") from failure

"""Pass a submission on to the entry that owns it."""

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

LONGEST_WAIT_S = 150.0
"""Above the longest deadline: the owner itself ends every job in time."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ForwardedRequest:
    """A request for another owner. ``headers`` are those that name the submission."""

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
        """Return the owner's response; raises :class:`OwnerLost` when there is none.

        The owner may be gone, or alive and cut off: either way nothing is proved.
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
                timeout_s=LONGEST_WAIT_S,
            )
        except HttpFailure as failure:
            self._metrics.count("forwards.failed")
            raise OwnerLost(f"the owner does not answer: {failure.message}") from failure

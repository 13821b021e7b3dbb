"""Result types of the HTTP clients: a response, or the failure to get one."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import msgspec

__all__ = ["HttpFailure", "JsonResponse", "encode_body"]


class HttpFailure(Exception):
    """No response was received.

    ``is_unreachable`` means that the peer cannot have received the request.
    """

    def __init__(self, message: str, *, is_unreachable: bool) -> None:
        super().__init__(message)
        self.message = message
        self.is_unreachable = is_unreachable


@dataclass(frozen=True, kw_only=True, slots=True)
class JsonResponse:
    """A response whose body is parsed on demand."""

    status: int
    body: bytes
    retry_after: str = ""

    def decode(self, answer_type: Any) -> Any:
        """Parse the body as the given type; raise :class:`msgspec.MsgspecError` on failure."""
        return msgspec.json.decode(self.body, type=answer_type)

    def get_error_code(self) -> str:
        """Return the error code in the body, or an empty string."""
        try:
            return str(msgspec.json.decode(self.body)["error"]["code"])
        except (msgspec.MsgspecError, KeyError, TypeError):
            return ""


def encode_body(body: object) -> bytes | None:
    """Encode a body as JSON; return bytes and None unchanged."""
    if body is None:
        return None
    if isinstance(body, bytes):
        return body
    return msgspec.json.encode(body)

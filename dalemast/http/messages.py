"""What clients give: a response, or the failure to get one."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import msgspec

__all__ = ["HttpFailure", "JsonResponse", "encode_body"]


class HttpFailure(Exception):
    """No response came. ``is_unreachable`` tells that the peer cannot have seen the request."""

    def __init__(self, message: str, *, is_unreachable: bool) -> None:
        super().__init__(message)
        self.message = message
        self.is_unreachable = is_unreachable


@dataclass(frozen=True, kw_only=True, slots=True)
class JsonResponse:
    """A response; ``body`` is not parsed until asked for."""

    status: int
    body: bytes
    retry_after: str = ""

    def decode(self, answer_type: Any) -> Any:
        """Parse the body; raises :class:`msgspec.MsgspecError`."""
        return msgspec.json.decode(self.body, type=answer_type)

    def get_error_code(self) -> str:
        """Return the code of an error body, or an empty text."""
        try:
            return str(msgspec.json.decode(self.body)["error"]["code"])
        except (msgspec.MsgspecError, KeyError, TypeError):
            return ""


def encode_body(body: object) -> bytes | None:
    """Encode a body as JSON unless it is bytes or there is none."""
    if body is None:
        return None
    if isinstance(body, bytes):
        return body
    return msgspec.json.encode(body)

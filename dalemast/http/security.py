"""Authentication between the system's own processes.

Both sides derive the same value from the shared system key and compare it in constant time. The key
itself is never sent. TLS on the listeners provides confidentiality.
"""

from __future__ import annotations

import hashlib
import hmac

__all__ = ["SYSTEM_HEADER", "SystemProof", "get_token_digest"]

SYSTEM_HEADER = "X-Dalemast-System"


class SystemProof:
    """The value by which a process of the system authenticates its requests to another."""

    def __init__(self, *, key: bytes) -> None:
        self._value = hmac.new(key, b"dalemast.system", hashlib.sha256).hexdigest()

    @property
    def headers(self) -> dict[str, str]:
        """The request headers that contain the proof."""
        return {SYSTEM_HEADER: self._value}

    def is_valid(self, value: str) -> bool:
        """Return whether a received value is the expected one."""
        return hmac.compare_digest(self._value.encode(), value.encode())


def get_token_digest(token: str) -> str:
    """Return the hex SHA-256 digest of a caller's token, as stored in an account."""
    return hashlib.sha256(token.encode()).hexdigest()

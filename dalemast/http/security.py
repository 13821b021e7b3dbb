"""How the system's own processes prove themselves to one another.

Both sides derive the same value from the shared system key; it is compared in constant time. The
key itself never travels. Confidentiality on hostile networks is the listeners' TLS.
"""

from __future__ import annotations

import hashlib
import hmac

__all__ = ["SYSTEM_HEADER", "SystemProof", "get_token_digest"]

SYSTEM_HEADER = "X-Dalemast-System"


class SystemProof:
    """The value that a process of the system sends with each request to another."""

    def __init__(self, *, key: bytes) -> None:
        self._value = hmac.new(key, b"dalemast.system", hashlib.sha256).hexdigest()

    @property
    def headers(self) -> dict[str, str]:
        """The headers that carry the proof."""
        return {SYSTEM_HEADER: self._value}

    def is_valid(self, value: str) -> bool:
        """Tell whether a received value is the right one."""
        return hmac.compare_digest(self._value.encode(), value.encode())


def get_token_digest(token: str) -> str:
    """Return the hex SHA-256 of a caller's token, as accounts declare it."""
    return hashlib.sha256(token.encode()).hexdigest()

"""Rate limits by token buckets, and the retry budget."""

from __future__ import annotations

__all__ = ["RetryBudget", "TokenBucket"]


class TokenBucket:
    """A bucket that gains ``rate_per_s`` tokens per second and holds at most ``burst``."""

    def __init__(self, *, rate_per_s: float, burst: float, now: float) -> None:
        self._rate_per_s = rate_per_s
        self._burst = max(burst, 1.0)
        self._tokens = self._burst
        self._updated_at = now

    def set_rate(self, *, rate_per_s: float, burst: float) -> None:
        """Set new limits; tokens above the new burst are dropped."""
        self._rate_per_s = rate_per_s
        self._burst = max(burst, 1.0)
        self._tokens = min(self._tokens, self._burst)

    def take(self, *, now: float) -> bool:
        """Take a token; return whether there was one."""
        elapsed = max(0.0, now - self._updated_at)
        self._updated_at = now
        self._tokens = min(self._burst, self._tokens + elapsed * self._rate_per_s)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def get_wait_s(self) -> float:
        """Return the time until the next token, in seconds."""
        if self._rate_per_s <= 0:
            return 60.0
        return max(0.0, (1.0 - self._tokens) / self._rate_per_s)


class RetryBudget:
    """Limits how often tasks are queued again, for each account and in total."""

    def __init__(self, *, rate_per_s: float, now: float) -> None:
        self._all = TokenBucket(rate_per_s=rate_per_s, burst=rate_per_s, now=now)
        self._accounts: dict[str, TokenBucket] = {}

    def take(self, *, account: str, rate_per_s: float, now: float) -> bool:
        """Take one retry of an account; return whether both budgets allow it."""
        bucket = self._accounts.get(account)
        if bucket is None:
            bucket = TokenBucket(rate_per_s=rate_per_s, burst=rate_per_s, now=now)
            self._accounts[account] = bucket
        bucket.set_rate(rate_per_s=rate_per_s, burst=rate_per_s)
        return bucket.take(now=now) and self._all.take(now=now)

"""Queues as operators configure them, and the choice of one for a request."""

from __future__ import annotations

from dataclasses import dataclass

from dalemast.core.workloads.exceptions import QueueUnknown

__all__ = ["Queue", "QueueTable"]


@dataclass(frozen=True, kw_only=True, slots=True)
class Queue:
    """A queue and the service whose workers run its tasks.

    ``priority`` 0 is the most urgent. ``attempts`` is how many failed runs of one task fail its
    job. A job is on time within ``stretch`` times its longest chain plus ``slack_s``.
    ``needs_advice`` says that only some workers may run a step and that another service knows
    which.
    """

    name: str
    host: str
    prefix: str
    service: str
    priority: int = 0
    attempts: int = 1
    stretch: float = 1.0
    slack_s: float = 0.0
    timeout_s: float = 0.0
    needs_advice: bool = False

    def get_objective_s(self, chain_s: float) -> float:
        """Return the time within which a job of this chain is on time."""
        return self.stretch * chain_s + self.slack_s


class QueueTable:
    """One version of the configuration, ready for look-ups. Versions only rise."""

    def __init__(self, *, version: int, queues: tuple[Queue, ...]) -> None:
        self._version = version
        self._by_host: dict[str, list[Queue]] = {}
        for queue in queues:
            self._by_host.setdefault(queue.host.lower(), []).append(queue)
        for same_host in self._by_host.values():
            same_host.sort(key=lambda queue: len(queue.prefix), reverse=True)

    @property
    def version(self) -> int:
        """The configuration's version."""
        return self._version

    def find(self, *, host: str, path: str) -> Queue:
        """Return the queue with the longest prefix; raises :class:`QueueUnknown`."""
        for queue in self._by_host.get(host.lower(), ()):
            if path.startswith(queue.prefix):
                return queue
        raise QueueUnknown(f"no queue for {host}{path}")

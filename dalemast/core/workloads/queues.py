"""Queues as operators configure them, and the lookup of the queue for a request."""

from __future__ import annotations

from dataclasses import dataclass

from dalemast.core.workloads.exceptions import QueueUnknown

__all__ = ["Queue", "QueueTable"]


@dataclass(frozen=True, kw_only=True, slots=True)
class Queue:
    """A queue and the service whose workers run its tasks.

    A ``priority`` of 0 is the most urgent. A job fails once one of its tasks has failed
    ``attempts`` times. A job is on time if it takes at most ``stretch`` times its longest chain
    plus ``slack_s``. ``needs_advice`` tells that only some workers may run a step, and that another
    service knows which.
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
        """Return the maximum duration of a job that is on time, in seconds."""
        return self.stretch * chain_s + self.slack_s


class QueueTable:
    """The queues of one version of the configuration, indexed by host name."""

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
        """Return the queue with the longest matching prefix, or raise :class:`QueueUnknown`."""
        for queue in self._by_host.get(host.lower(), ()):
            if path.startswith(queue.prefix):
                return queue
        raise QueueUnknown(f"no queue for {host}{path}")

"""Which rule keeps waiting work from each worker: what an operator asks of a refused job.

Under overload most refusals come with all workers full. One that comes beside a worker with room
has another cause, such as distrust, an evacuation or a label, which the room alone doesn't show.
"""

from __future__ import annotations

from dataclasses import asdict, dataclass

__all__ = ["WorkerExclusions"]


@dataclass(frozen=True, kw_only=True, slots=True)
class WorkerExclusions:
    """How many workers of a service each rule keeps a task from.

    Each worker counts once: those without room by ``no_room``, and the others by the first of the
    rules below, in their order. ``suiting`` counts those that no rule leaves out.
    """

    no_room: int = 0
    evacuated: int = 0
    not_accepting: int = 0
    label: int = 0
    per_worker_limit: int = 0
    avoided: int = 0
    too_slow: int = 0
    suiting: int = 0

    def get_counts(self) -> dict[str, int]:
        """Return the counts above zero, by rule."""
        return {rule: count for rule, count in asdict(self).items() if count}

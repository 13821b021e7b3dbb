"""Which rule excluded each worker for a waiting task, to explain a refusal to operators.

Under overload most refusals happen because all workers are full. A refusal while a worker has free
capacity has another cause, such as a suspected worker, an evacuation or a label.
"""

from __future__ import annotations

from dataclasses import asdict, dataclass

__all__ = ["WorkerExclusions"]


@dataclass(frozen=True, kw_only=True, slots=True)
class WorkerExclusions:
    """The number of workers of a service that each rule excludes for a task.

    Each worker counts once, for the first rule that applies in the order of the fields.
    ``no_room`` means too little free capacity, ``avoided`` that the task should run elsewhere after
    a failed or slow run. ``suiting`` counts the workers that no rule excludes.
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

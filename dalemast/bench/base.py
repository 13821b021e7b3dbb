"""What a scenario is."""

from __future__ import annotations

import abc
from dataclasses import dataclass, field
from typing import Any, ClassVar

from dalemast.bench.cluster import Cluster, ClusterShape
from dalemast.bench.workload import Arrival
from dalemast.core.configuration import Limits

__all__ = ["VARIANTS", "BaseScenario", "Variant"]


@dataclass(frozen=True, kw_only=True, slots=True)
class Variant:
    """A policy to measure: settings of the entries and what the agents need for it."""

    policy: dict[str, Any] = field(default_factory=dict)
    queue_limit: int = 1
    is_holding_answers: bool = True
    is_claiming: bool = False


LONG_QUEUE = 1000

VARIANTS: dict[str, Variant] = {
    "default": Variant(),
    "spreading": Variant(policy={"placement": "spreading"}),
    "queue-0": Variant(queue_limit=0),
    "queue-2": Variant(queue_limit=2),
    "queue-4": Variant(queue_limit=4),
    "queue-8": Variant(queue_limit=8),
    "answers-at-once": Variant(is_holding_answers=False),
    "random": Variant(
        policy={"placement": "random", "admission": "open", "is_ejecting": False},
        queue_limit=LONG_QUEUE,
    ),
    "round-robin": Variant(
        policy={"placement": "round-robin", "admission": "open", "is_ejecting": False},
        queue_limit=LONG_QUEUE,
    ),
    "stale-shortest-queue": Variant(
        policy={"placement": "stale-shortest-queue", "admission": "open", "is_ejecting": False},
        queue_limit=LONG_QUEUE,
    ),
    "task-by-task": Variant(policy={"is_task_by_task": True}, is_holding_answers=False),
    "claim-per-job": Variant(is_claiming=True),
    "no-ejection": Variant(policy={"is_ejecting": False}),
    "open-admission": Variant(policy={"admission": "open"}),
}
"""The default policy and everything it is measured against, by name."""


class BaseScenario(abc.ABC):
    """A load, what happens to the cluster meanwhile, and the variants worth comparing."""

    name: ClassVar[str]
    seconds: ClassVar[float] = 30.0
    short_seconds: ClassVar[float] = 4.0
    variants: ClassVar[tuple[str, ...]] = ("default",)
    short_variants: ClassVar[tuple[str, ...]] = ("default",)
    limits: ClassVar[dict[str, Limits]] = {}

    @abc.abstractmethod
    def make_arrivals(self, *, seed: int, seconds: float, slots: int) -> list[Arrival]:
        """Return the seeded load."""

    async def disturb(self, cluster: Cluster, seconds: float) -> None:  # noqa: B027
        """Do what goes wrong during the load; nothing by default."""

    def get_window(self, seconds: float) -> tuple[float, float] | None:
        """Return the part of the load that the ratios count; all of it by default."""
        return None

    def make_shape(self, variant: Variant) -> ClusterShape:
        """Return the cluster for a variant."""
        return ClusterShape(
            policy=variant.policy,
            queue_limit=variant.queue_limit,
            is_holding_answers=variant.is_holding_answers,
            limits=self.limits,
        )

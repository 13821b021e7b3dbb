"""The interface of a placement policy."""

from __future__ import annotations

import abc
import random
from collections.abc import Sequence
from dataclasses import dataclass

from dalemast.core.placement.health import HealthMonitor
from dalemast.core.placement.workers import WorkerView

__all__ = ["Allotment", "BasePlacement"]


@dataclass(frozen=True, kw_only=True, slots=True)
class Allotment:
    """``count`` tasks for one worker."""

    worker: WorkerView
    count: int


class BasePlacement(abc.ABC):
    """Base of the policies that choose workers for the tasks of a job."""

    @abc.abstractmethod
    def choose(
        self,
        *,
        count: int,
        candidates: Sequence[WorkerView],
        health: HealthMonitor,
        now: float,
        rng: random.Random,
    ) -> list[Allotment]:
        """Allot at most ``count`` tasks; return an empty list if no worker has capacity.

        ``health`` is the monitor of the job's account.
        """

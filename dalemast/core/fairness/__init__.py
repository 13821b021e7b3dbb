"""Fair queueing between accounts."""

from dalemast.core.fairness.queues import FairQueue

__all__ = ["FairQueue"]

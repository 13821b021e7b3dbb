"""Evacuations: data centres whose workers are temporarily given no new work by operators."""

from dalemast.core.evacuations.base import EvacuationChanges, Evacuations
from dalemast.core.evacuations.records import EvacuationRecord, EvacuationView

__all__ = ["EvacuationChanges", "EvacuationRecord", "EvacuationView", "Evacuations"]

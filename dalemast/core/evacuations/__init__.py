"""Evacuations: data centres to whose workers operators want nothing new sent for a while."""

from dalemast.core.evacuations.base import EvacuationChanges, Evacuations
from dalemast.core.evacuations.records import EvacuationRecord, EvacuationView

__all__ = ["EvacuationChanges", "EvacuationRecord", "EvacuationView", "Evacuations"]

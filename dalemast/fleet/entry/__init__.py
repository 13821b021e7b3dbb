"""The entry: owns the jobs that callers hand to it."""

from dalemast.fleet.entry.process import FleetEntryProcess

__all__ = ["FleetEntryProcess"]

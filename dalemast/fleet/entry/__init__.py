"""The entry: accepts jobs from callers and owns them until they end."""

from dalemast.fleet.entry.process import FleetEntryProcess

__all__ = ["FleetEntryProcess"]

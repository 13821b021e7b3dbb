"""The entry: accepts jobs from callers and owns the jobs whose tickets it issued."""

from dalemast.entry.process import EntryProcess

__all__ = ["EntryProcess"]

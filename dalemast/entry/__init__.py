"""The entry: takes jobs from callers and owns those whose tickets it issued."""

from dalemast.entry.process import EntryProcess

__all__ = ["EntryProcess"]

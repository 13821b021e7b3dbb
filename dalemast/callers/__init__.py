"""A small caller: tickets, resubmission under the same ticket, and waiting when told to."""

from dalemast.callers.client import Caller, CallerAnswer, NoAnswer

__all__ = ["Caller", "CallerAnswer", "NoAnswer"]

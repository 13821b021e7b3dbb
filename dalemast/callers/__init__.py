"""A client for callers that uses tickets and resubmits with the same ticket."""

from dalemast.callers.client import Caller, CallerAnswer, NoAnswer

__all__ = ["Caller", "CallerAnswer", "NoAnswer"]

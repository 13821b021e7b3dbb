"""The whole system in one event loop, for demonstration and tests."""

from dalemast.local.process import LocalProcess
from dalemast.local.samples import SampleEndpoint, SampleState

__all__ = ["LocalProcess", "SampleEndpoint", "SampleState"]

"""Everything in one event loop: the embedded default, for trying out and for tests."""

from dalemast.local.process import LocalProcess
from dalemast.local.samples import SampleEndpoint, SampleState

__all__ = ["LocalProcess", "SampleEndpoint", "SampleState"]

"""The agent process, which alone controls the worker on its host."""

from dalemast.fleet.agent.process import FleetAgentProcess

__all__ = ["FleetAgentProcess"]

"""The agent: the one caller of the worker on its host."""

from dalemast.fleet.agent.process import FleetAgentProcess

__all__ = ["FleetAgentProcess"]

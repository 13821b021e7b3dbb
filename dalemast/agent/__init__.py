"""The agent: one small process beside each endpoint."""

from dalemast.agent.process import AgentProcess

__all__ = ["AgentProcess"]

"""The agent: a small process that runs next to each endpoint."""

from dalemast.agent.process import AgentProcess

__all__ = ["AgentProcess"]

"""URL paths at which an entry accepts links."""

__all__ = ["AGENTS_PATH", "PEERS_PATH"]

AGENTS_PATH = "/v1/agents"
PEERS_PATH = "/v1/peers"

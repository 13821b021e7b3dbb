"""A link between two entries that an agent forwards while they can't connect directly."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from dalemast.fleet.links.base import BaseLink

__all__ = ["RelayedLink"]


class RelayedLink(BaseLink):
    """A link without its own connection.

    ``forward`` sends a frame to the agent; ``end_route`` reports the end of the link to the other
    end, if the agent can reach it.
    """

    def __init__(
        self,
        *,
        message_type: Any,
        forward: Callable[[str], None],
        end_route: Callable[[], None],
    ) -> None:
        super().__init__(message_type=message_type)
        self._forward = forward
        self._end_route = end_route

    def _write(self, data: bytes) -> None:
        self._forward(data.decode())

    def _abort(self) -> None:
        self._end_route()

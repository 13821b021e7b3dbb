"""A link between two entries whose frames an agent passes on, while no connection works."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from dalemast.fleet.links.base import BaseLink

__all__ = ["RelayedLink"]


class RelayedLink(BaseLink):
    """A link without a connection of its own.

    ``pass_on`` sends a frame to the agent, and ``end_route`` tells the other end, as far as the
    agent reaches it, that nothing more comes.
    """

    def __init__(
        self,
        *,
        message_type: Any,
        pass_on: Callable[[str], None],
        end_route: Callable[[], None],
    ) -> None:
        super().__init__(message_type=message_type)
        self._pass_on = pass_on
        self._end_route = end_route

    def _write(self, data: bytes) -> None:
        self._pass_on(data.decode())

    def _abort(self) -> None:
        self._end_route()

"""All links of an owner, and which of them there is something to do about.

With thousands of workers hardly any link has something to send or to watch at a given moment, so
nothing that happens often may walk over all of them.
"""

from __future__ import annotations

import itertools
from collections.abc import Iterable

from dalemast.core.dispatch.links import WorkerLink
from dalemast.core.placement import WorkerPool, WorkerView

__all__ = ["LinkRegistry"]


class LinkRegistry:
    """The links by the name of the endpoint.

    ``due`` are links with something to send, ``watched`` those with tasks out or with frames that
    the agent keeps until they are confirmed.
    """

    def __init__(self) -> None:
        self._links: dict[str, WorkerLink] = {}
        self._connections = itertools.count(1)
        """Numbers for all links together: an endpoint that comes back goes on from its last one."""
        self._due: dict[str, WorkerLink] = {}
        self._watched: dict[str, WorkerLink] = {}

    def get(self, worker: str) -> WorkerLink | None:
        """Return a link."""
        return self._links.get(worker)

    def update(self, pool: WorkerPool) -> None:
        """Have a link for each worker of the pool, and no other."""
        for view in pool.get_views():
            if view.name not in self._links:
                self._add(view)
        for name in [name for name in self._links if pool.get(name) is None]:
            del self._links[name]
            self._due.pop(name, None)
            self._watched.pop(name, None)

    def take_due(self) -> Iterable[WorkerLink]:
        """Return the linked ones that have something to send, each once.

        What waits for a link that is down is made anew when the link comes up.
        """
        due = list(self._due.values())
        self._due.clear()
        return [link for link in due if link.has_content and link.view.is_linked]

    def get_watched(self) -> list[WorkerLink]:
        """Return the linked ones that have to be looked at as time passes."""
        for name in [n for n, link in self._watched.items() if not link.needs_watching]:
            del self._watched[name]
        return [link for link in self._watched.values() if link.view.is_linked]

    def _add(self, view: WorkerView) -> None:
        self._links[view.name] = WorkerLink(
            view=view,
            connections=self._connections,
            on_due=self._add_due,
            on_watched=self._add_watched,
        )

    def _add_due(self, link: WorkerLink) -> None:
        self._due[link.view.name] = link

    def _add_watched(self, link: WorkerLink) -> None:
        self._watched[link.view.name] = link

"""The links of an owner, with indexes of those that need attention.

With thousands of workers few links have anything to send or to check at one time. The indexes
avoid a loop over all links on each dispatch and tick.
"""

from __future__ import annotations

import itertools
from collections.abc import Iterable

from dalemast.core.dispatch.links import WorkerLink
from dalemast.core.placement import WorkerPool, WorkerView

__all__ = ["LinkRegistry"]


class LinkRegistry:
    """The links by endpoint name.

    Links in ``_due`` have something to send. Those in ``_watched`` have tasks at the agent or
    frames from it that are not confirmed yet, so they are checked on each tick.
    """

    def __init__(self) -> None:
        self._links: dict[str, WorkerLink] = {}
        self._connections = itertools.count(1)
        """Shared by all links, so that the numbers keep growing when an endpoint is removed and
        declared again; the agent refuses a number that is not higher."""
        self._due: dict[str, WorkerLink] = {}
        self._watched: dict[str, WorkerLink] = {}

    def get(self, worker: str) -> WorkerLink | None:
        """Return the link of a worker, or None."""
        return self._links.get(worker)

    def update(self, pool: WorkerPool) -> None:
        """Add links for new workers of the pool and remove those of workers no longer in it."""
        for view in pool.get_views():
            if view.name not in self._links:
                self._add(view)
        for name in [name for name in self._links if pool.get(name) is None]:
            del self._links[name]
            self._due.pop(name, None)
            self._watched.pop(name, None)

    def take_due(self) -> Iterable[WorkerLink]:
        """Return the connected links with something to send, and clear the index.

        Links that are down are dropped: their messages are rebuilt when they reconnect.
        """
        due = list(self._due.values())
        self._due.clear()
        return [link for link in due if link.has_content and link.view.is_linked]

    def get_watched(self) -> list[WorkerLink]:
        """Return the connected links to check on a tick."""
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

"""Which entries an agent keeps links with, when there are too many for all of them.

Links between all entries and all agents grow with their product, and so do beats and room reports.
An agent therefore offers its worker to a bounded number of entries, most of them in its own data
centre. Rendezvous hashing spreads the agents over the entries evenly, and moves few of them when an
entry comes or goes.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from dalemast.core.ownership.rendezvous import rank_entries

__all__ = ["KnownEntry", "LinkBounds", "choose_owners"]


@dataclass(frozen=True, kw_only=True, slots=True)
class LinkBounds:
    """How many entries an agent is linked to, once there are more than both bounds together.

    The defaults link every agent to all entries in a system of 16. At 300 hosts, where some 40 are
    entries, they bring an entry's agents from 260 down to about 100.
    """

    same_data_centre: int = 12
    """Most entries in the agent's own data centre."""
    other_data_centres: int = 4
    """Most entries elsewhere: they place tasks here only when their own data centre is full."""

    @property
    def total(self) -> int:
        """How many entries an agent is linked to in all."""
        return self.same_data_centre + self.other_data_centres


@dataclass(frozen=True, kw_only=True, slots=True)
class KnownEntry:
    """An entry that an agent knows.

    ``is_same_data_centre`` tells whether it is in the agent's data centre.
    """

    name: str
    is_same_data_centre: bool


def choose_owners(agent: str, entries: Iterable[KnownEntry], *, bounds: LinkBounds) -> set[str]:
    """Return the names of the entries that an agent offers its worker to."""
    known = list(entries)
    if len(known) <= bounds.total:
        return {entry.name for entry in known}
    near = rank_entries(agent, (entry.name for entry in known if entry.is_same_data_centre))
    far = rank_entries(agent, (entry.name for entry in known if not entry.is_same_data_centre))
    # Where one kind is scarce, more of the other make up for it.
    near = near[: max(bounds.same_data_centre, bounds.total - len(far))]
    return {*near, *far[: bounds.total - len(near)]}

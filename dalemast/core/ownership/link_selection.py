"""Which entries an agent keeps links with, if there are too many to be linked to all.

With links between all entries and all agents, heartbeats and capacity reports would grow with the
product of their numbers. So each agent offers its worker to a bounded number of entries, most of
them in its own data centre. Rendezvous hashing spreads agents evenly over entries and changes few
links when an entry joins or leaves.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from dalemast.core.ownership.rendezvous import rank_entries

__all__ = ["KnownEntry", "LinkBounds", "choose_owners"]


@dataclass(frozen=True, kw_only=True, slots=True)
class LinkBounds:
    """The number of entries an agent is linked to, if there are more than both bounds together."""

    same_data_centre: int = 12
    """Maximum number of entries in the agent's own data centre."""
    other_data_centres: int = 4
    """Maximum number of entries in other data centres. They place tasks here only when their own
    data centre is full."""

    @property
    def total(self) -> int:
        """The total number of entries an agent is linked to."""
        return self.same_data_centre + self.other_data_centres


@dataclass(frozen=True, kw_only=True, slots=True)
class KnownEntry:
    """An entry known to an agent.

    ``is_same_data_centre`` tells whether it is in the agent's data centre.
    """

    name: str
    is_same_data_centre: bool


def choose_owners(agent: str, entries: Iterable[KnownEntry], *, bounds: LinkBounds) -> set[str]:
    """Return the names of the entries that an agent offers its worker to."""
    known = list(entries)
    if len(known) <= bounds.total:
        return {entry.name for entry in known}
    local = rank_entries(agent, (entry.name for entry in known if entry.is_same_data_centre))
    others = rank_entries(agent, (entry.name for entry in known if not entry.is_same_data_centre))
    # If one group has too few entries, choose more of the other.
    local = local[: max(bounds.same_data_centre, bounds.total - len(others))]
    return {*local, *others[: bounds.total - len(local)]}

"""Claims on job ids, and the choice of the entries that an agent is linked to.

Neither needs a write to the store.
"""

from dalemast.core.ownership.claims import Claims, Granted, Held
from dalemast.core.ownership.link_selection import KnownEntry, LinkBounds, choose_owners
from dalemast.core.ownership.rendezvous import choose_home, rank_entries

__all__ = [
    "Claims",
    "Granted",
    "Held",
    "KnownEntry",
    "LinkBounds",
    "choose_home",
    "choose_owners",
    "rank_entries",
]

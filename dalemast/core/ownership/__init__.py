"""Claims on job ids, and the choice of the entries that an agent is linked to.

Neither needs a write to the store.
"""

from dalemast.core.ownership.cancelled_ids import CancelledId, CancelledIds
from dalemast.core.ownership.claims import Cancelled, Claims, Granted, Held, Withheld
from dalemast.core.ownership.link_selection import KnownEntry, LinkBounds, choose_owners
from dalemast.core.ownership.quorum import has_quorum
from dalemast.core.ownership.rendezvous import choose_home, rank_entries

__all__ = [
    "Cancelled",
    "CancelledId",
    "CancelledIds",
    "Claims",
    "Granted",
    "Held",
    "KnownEntry",
    "LinkBounds",
    "Withheld",
    "choose_home",
    "choose_owners",
    "has_quorum",
    "rank_entries",
]

"""One owner at a time for a job's id, without a write to the store."""

from dalemast.core.ownership.claims import Claims, Granted, Held
from dalemast.core.ownership.rendezvous import choose_home

__all__ = ["Claims", "Granted", "Held", "choose_home"]

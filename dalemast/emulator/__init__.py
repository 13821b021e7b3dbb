"""Stand-ins of the users' platform, written from its pages: a worker and a store, with faults."""

from dalemast.emulator.fates import CallFates, CallKind, CallRecord, Fate
from dalemast.emulator.store import EmulatedStore
from dalemast.emulator.worker import EmulatedWorker, WorkerFaults

__all__ = [
    "CallFates",
    "CallKind",
    "CallRecord",
    "EmulatedStore",
    "EmulatedWorker",
    "Fate",
    "WorkerFaults",
]

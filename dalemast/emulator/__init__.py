"""Stand-ins of the users' platform, written from its pages: a worker and a store, with faults."""

from dalemast.emulator.reporting import ReportingWorker
from dalemast.emulator.store import EmulatedStore
from dalemast.emulator.worker import EmulatedWorker, WorkerFaults

__all__ = ["EmulatedStore", "EmulatedWorker", "ReportingWorker", "WorkerFaults"]

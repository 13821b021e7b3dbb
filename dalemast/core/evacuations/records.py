"""Evacuations as followed in the store and as reported by other processes."""

from __future__ import annotations

from dalemast.core.evacuations.base import EvacuationChanges, Evacuations

__all__ = ["EvacuationRecord", "EvacuationView"]


class EvacuationRecord:
    """The evacuations according to the answers of one feed of the store, applied in order."""

    def __init__(self) -> None:
        self._data_centres: frozenset[str] = frozenset()

    def apply(self, changes: EvacuationChanges) -> Evacuations:
        """Apply one answer and return the evacuations as of its version.

        A whole answer also ends evacuations that it does not contain: once the store has dropped
        its history, it no longer reports the removal of a row.
        """
        before = frozenset() if changes.is_whole else self._data_centres - changes.ended
        self._data_centres = before | changes.begun
        return Evacuations(version=changes.version, data_centres=self._data_centres)


class EvacuationView:
    """The newest evacuations that one process has received, from the store or from others.

    Reports may arrive out of order, so each carries the version of the store that it reflects. The
    version here never decreases, so that an old report neither restores an evacuation that has
    ended nor ends one in force.
    """

    def __init__(self) -> None:
        self._current: Evacuations | None = None

    @property
    def current(self) -> Evacuations | None:
        """The newest report, or None before the first."""
        return self._current

    @property
    def data_centres(self) -> frozenset[str]:
        """The evacuated data centres according to the newest report."""
        return frozenset() if self._current is None else self._current.data_centres

    def offer(self, offered: Evacuations) -> bool:
        """Accept a report if it is newer; return whether it changes the evacuated data centres.

        The first report always counts as a change, since others may still apply an evacuation that
        has ended.
        """
        before = self._current
        if before is not None and offered.version <= before.version:
            return False
        self._current = offered
        return before is None or before.data_centres != offered.data_centres

    def contradicts(self, offered: Evacuations) -> bool:
        """Return whether a report is outdated and wrong, so that its sender should be updated."""
        current = self._current
        if current is None or offered.version >= current.version:
            return False
        return offered.data_centres != current.data_centres

"""How evacuations are followed in the store, and which of several reports is believed."""

from __future__ import annotations

from dalemast.core.evacuations.base import EvacuationChanges, Evacuations

__all__ = ["EvacuationRecord", "EvacuationView"]


class EvacuationRecord:
    """The evacuations as the answers of one feed of the store tell them, in their order."""

    def __init__(self) -> None:
        self._data_centres: frozenset[str] = frozenset()

    def apply(self, changes: EvacuationChanges) -> Evacuations:
        """Take in one answer and return the evacuations as of its version.

        A whole answer also ends what it does not name: the removal of a row is not told any more
        once the store has forgotten its history.
        """
        before = frozenset() if changes.is_whole else self._data_centres - changes.ended
        self._data_centres = before | changes.begun
        return Evacuations(version=changes.version, data_centres=self._data_centres)


class EvacuationView:
    """The newest evacuations that one process has heard of, from the store or from others.

    Reports name the version of the store that they are true of, and overtake one another on their
    ways. The version here never goes down, so an evacuation that was taken back does not return,
    and one in force is not lifted by an old report.
    """

    def __init__(self) -> None:
        self._current: Evacuations | None = None

    @property
    def current(self) -> Evacuations | None:
        """The newest report, or None before the first."""
        return self._current

    @property
    def data_centres(self) -> frozenset[str]:
        """The data centres that are evacuated by the newest report."""
        return frozenset() if self._current is None else self._current.data_centres

    def offer(self, offered: Evacuations) -> bool:
        """Take a report if it is newer; return whether that says anything new of a data centre.

        The first report is always news: others may still believe an evacuation that it ends.
        """
        before = self._current
        if before is not None and offered.version <= before.version:
            return False
        self._current = offered
        return before is None or before.data_centres != offered.data_centres

    def contradicts(self, offered: Evacuations) -> bool:
        """Tell whether a report is out of date and wrong, so that its sender had better be told."""
        current = self._current
        if current is None or offered.version >= current.version:
            return False
        return offered.data_centres != current.data_centres

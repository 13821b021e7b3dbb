"""What is said of evacuations."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["EvacuationChanges", "Evacuations"]


@dataclass(frozen=True, kw_only=True, slots=True)
class Evacuations:
    """The data centres that are evacuated as of one version of the store, and no others."""

    version: int
    data_centres: frozenset[str]


@dataclass(frozen=True, kw_only=True, slots=True)
class EvacuationChanges:
    """What one answer of the store says of evacuations, as of ``version``.

    If ``is_whole`` is set, ``begun`` are all that there are. Otherwise ``begun`` and ``ended`` are
    what has changed since the answer before.
    """

    version: int
    begun: frozenset[str]
    ended: frozenset[str] = frozenset()
    is_whole: bool = False

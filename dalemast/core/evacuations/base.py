"""Reports of evacuations."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["EvacuationChanges", "Evacuations"]


@dataclass(frozen=True, kw_only=True, slots=True)
class Evacuations:
    """All data centres that are evacuated as of one version of the store."""

    version: int
    data_centres: frozenset[str]


@dataclass(frozen=True, kw_only=True, slots=True)
class EvacuationChanges:
    """The evacuations in one answer of the store, as of ``version``.

    If ``is_whole`` is set, ``begun`` contains all evacuated data centres. Otherwise ``begun`` and
    ``ended`` are the changes since the previous answer.
    """

    version: int
    begun: frozenset[str]
    ended: frozenset[str] = frozenset()
    is_whole: bool = False

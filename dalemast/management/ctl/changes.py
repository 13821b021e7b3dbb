"""Differences between a file of declarations and the accepted configuration."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from dalemast.core.configuration import Configuration
from dalemast.management.ctl.base import to_plain_values

__all__ = ["Change", "get_changes", "merge"]


@dataclass(frozen=True, kw_only=True, slots=True)
class Change:
    """An item that a file adds or changes."""

    kind: str
    name: str
    action: str
    fields: tuple[str, ...]


def get_changes(current: Configuration, wanted: dict[str, tuple[Any, ...]]) -> list[Change]:
    """Return the changes that applying a file would make, in the order of the file."""
    changes = []
    for kind, items in wanted.items():
        known = {item.name: item for item in getattr(current, kind)}
        for item in items:
            old = known.get(item.name)
            if old == item:
                continue
            changes.append(
                Change(
                    kind=kind,
                    name=item.name,
                    action="add" if old is None else "change",
                    fields=_get_changed_fields(old, item),
                )
            )
    return changes


def merge(current: Configuration, wanted: dict[str, tuple[Any, ...]]) -> dict[str, list[Any]]:
    """Return the kinds in a file, with its items added or replacing those of the same name."""
    merged = {}
    for kind, items in wanted.items():
        replaced = {item.name: item for item in items}
        kept = [item for item in getattr(current, kind) if item.name not in replaced]
        merged[kind] = [to_plain_values(item) for item in (*kept, *items)]
    return merged


def _get_changed_fields(old: Any, new: Any) -> tuple[str, ...]:
    if old is None:
        return ()
    return tuple(
        field for field in new.__struct_fields__ if getattr(old, field) != getattr(new, field)
    )

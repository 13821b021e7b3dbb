"""Decodes rows of the store one by one and ignores invalid ones.

An invalid row does not cancel what the valid row before it declared: an evacuation lasts until its
row is removed, a configuration until a newer one is read, and an entry stays known.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass

import msgspec

from dalemast.core.evacuations import EvacuationChanges
from dalemast.core.workloads import Queue
from dalemast.fleet.address_book import find_fault
from dalemast.fleet.base import Configuration, Member
from dalemast.observability import Metrics, RefusalLog
from dalemast.platform.foreign import Fault, ForeignInput, read_json, read_value
from dalemast.platform.wire import (
    ConfigurationDocument,
    EvacuationDocument,
    RouteBody,
    RowBody,
    RowKey,
)

__all__ = [
    "FOREIGN_ROW",
    "MEMBERS_TABLE",
    "OPERATORS_TABLE",
    "RowReader",
    "TableUpdate",
    "find_last_readable_key",
]

OPERATORS_TABLE = "op"
CONFIGURATION_KEY = "config"
EVACUATION_PREFIX = "evacuate/"
"""Prefix of the keys that request an evacuation. The name of the data centre follows."""
MEMBERS_TABLE = "dalemast-entries"
FOREIGN_ROW = "row:foreign"
"""Log event of a rejected row. With a dot in place of the colon, the prefix of its counters."""


@dataclass(frozen=True, kw_only=True, slots=True)
class TableUpdate:
    """Rows of a table at a version: all of them, or those changed since the last update."""

    rows: tuple[RowBody, ...]
    version: int
    is_whole: bool


class RowReader:
    """Decodes and validates the rows that one process reads.

    ``data_centres`` are those of the deployment. If empty, any name is valid.
    """

    def __init__(self, *, data_centres: Collection[str], metrics: Metrics) -> None:
        self._data_centres = data_centres
        self._evacuated: frozenset[str] = frozenset()
        """Data centres under evacuation, including those whose row has become invalid."""
        self._refusals = RefusalLog(event=FOREIGN_ROW, metrics=metrics)

    def record_foreign(self, place: str, refusal: ForeignInput, *, version: int = 0) -> None:
        """Count and log a rejected row. ``place`` is its table, and its key if known."""
        self._refusals.note(
            writer=place, reason=refusal.fault.value, detail=refusal.detail, version=version
        )

    def read_rows(self, table: str, raw_rows: Iterable[msgspec.Raw]) -> tuple[RowBody, ...]:
        """Return the valid rows of a table. Rows that belong to a part of the table are invalid."""
        rows = []
        for raw in raw_rows:
            try:
                rows.append(_read_row(table, raw))
            except ForeignInput as refusal:
                self.record_foreign(table, refusal)
        return tuple(rows)

    def read_members(self, update: TableUpdate) -> list[Member]:
        """Return the entries announced by the rows."""
        members = []
        for row in update.rows:
            if row.is_removed:
                continue
            try:
                members.append(_read_member(row))
            except ForeignInput as refusal:
                self._record_foreign_row(MEMBERS_TABLE, row, refusal)
        return members

    def read_configurations(self, update: TableUpdate) -> list[Configuration]:
        """Return the operators' configuration, or an empty list if the rows hold none."""
        configurations = []
        for row in update.rows:
            if row.key != CONFIGURATION_KEY or row.is_removed:
                continue
            try:
                document = read_value(row.value, ConfigurationDocument)
            except ForeignInput as refusal:
                self._record_foreign_row(OPERATORS_TABLE, row, refusal)
            else:
                configurations.append(_make_configuration(document))
        return configurations

    def read_evacuations(self, update: TableUpdate) -> EvacuationChanges:
        """Return the changes of evacuations.

        A valid row that was overwritten by an invalid one remains in effect until it is removed,
        even if the whole table is read again.
        """
        begun: set[str] = set()
        ended: set[str] = set()
        for row in update.rows:
            if not row.key.startswith(EVACUATION_PREFIX):
                continue
            data_centre = row.key.removeprefix(EVACUATION_PREFIX)
            if row.is_removed:
                ended.add(data_centre)
            elif self._is_evacuated(row, data_centre):
                begun.add(data_centre)
        before = frozenset() if update.is_whole else self._evacuated - ended
        self._evacuated = before | begun
        return EvacuationChanges(
            version=update.version,
            begun=frozenset(begun),
            ended=frozenset(ended),
            is_whole=update.is_whole,
        )

    def _is_evacuated(self, row: RowBody, data_centre: str) -> bool:
        """Return whether a row requests an evacuation, or is invalid and overwrote one that did."""
        try:
            self._check_data_centre(data_centre)
            read_value(row.value, EvacuationDocument)
        except ForeignInput as refusal:
            self._record_foreign_row(OPERATORS_TABLE, row, refusal)
            return data_centre in self._evacuated
        return True

    def _check_data_centre(self, name: str) -> None:
        """Raise :class:`ForeignInput` unless ``name`` is a data centre of the deployment."""
        if not name:
            raise ForeignInput(Fault.FIELD_MISSING, "name of the data centre")
        if self._data_centres and name not in self._data_centres:
            raise ForeignInput(Fault.WRONG_LOCATION, f"data centre {name}")

    def _record_foreign_row(self, table: str, row: RowBody, refusal: ForeignInput) -> None:
        self.record_foreign(f"{table}/{row.key}", refusal, version=row.ver)


def find_last_readable_key(raw_rows: Sequence[msgspec.Raw]) -> str:
    """Return the last key that can be decoded, or an empty string. Its row may be invalid."""
    for raw in reversed(raw_rows):
        try:
            row: RowKey = read_json(raw, RowKey)
        except ForeignInput:
            # Already counted by read_rows.
            continue
        return row.key
    return ""


def _read_row(table: str, raw: msgspec.Raw) -> RowBody:
    row: RowBody = read_json(raw, RowBody)
    if row.part or row.table not in ("", table):
        raise ForeignInput(Fault.WRONG_LOCATION, f"key {row.key} of {row.table}, part {row.part}")
    return row


def _read_member(row: RowBody) -> Member:
    member: Member = read_value(row.value, Member)
    fault = find_fault(member)
    if fault:
        raise ForeignInput(Fault.FIELD_INVALID, fault)
    return member


def _make_configuration(document: ConfigurationDocument) -> Configuration:
    queues = tuple(_make_queue(route) for route in document.routes)
    return Configuration(version=document.version, queues=queues)


def _make_queue(route: RouteBody) -> Queue:
    return Queue(
        name=route.name,
        host=route.host,
        prefix=route.prefix,
        service=route.service,
        priority=route.priority,
        attempts=route.attempts,
        stretch=route.stretch,
        slack_s=route.slack_ms / 1000,
        timeout_s=route.timeout_ms / 1000,
        needs_advice=route.advice is not None,
    )

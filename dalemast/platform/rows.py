"""Reads rows of the store one by one, and passes over those that another writer has left.

What a bad row stands in place of holds: an evacuation until its row is removed, a configuration
until a newer one is read, an entry for as long as it is known.
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
    "TableNews",
    "find_last_key",
]

OPERATORS_TABLE = "op"
CONFIGURATION_KEY = "config"
EVACUATION_PREFIX = "evacuate/"
"""A row whose key goes on with the name of a data centre asks for its evacuation."""
MEMBERS_TABLE = "dalemast-entries"
FOREIGN_ROW = "row:foreign"
"""Log line of a row that is not used, and with dots the beginning of its counters."""


@dataclass(frozen=True, kw_only=True, slots=True)
class TableNews:
    """Rows of a table as of a version: all of them, or those that changed since the last news."""

    rows: tuple[RowBody, ...]
    version: int
    is_whole: bool


class RowReader:
    """Judges rows for one process.

    ``data_centres`` are those of the deployment; without any, every name is taken.
    """

    def __init__(self, *, data_centres: Collection[str], metrics: Metrics) -> None:
        self._data_centres = data_centres
        self._evacuated: frozenset[str] = frozenset()
        """Data centres with a row that was good when it was read last."""
        self._refusals = RefusalLog(event=FOREIGN_ROW, metrics=metrics)

    def note_foreign(self, place: str, refusal: ForeignInput, *, version: int = 0) -> None:
        """Count and log what is not used. ``place`` is its table, with its key if that is known."""
        self._refusals.note(
            writer=place, reason=refusal.fault.value, detail=refusal.detail, version=version
        )

    def read_rows(self, table: str, raw_rows: Iterable[msgspec.Raw]) -> tuple[RowBody, ...]:
        """Return the rows of a table that can be read and belong to its empty part."""
        rows = []
        for raw in raw_rows:
            try:
                rows.append(_read_row(table, raw))
            except ForeignInput as refusal:
                self.note_foreign(table, refusal)
        return tuple(rows)

    def read_members(self, news: TableNews) -> list[Member]:
        """Return the entries that rows announce."""
        members = []
        for row in news.rows:
            if row.is_removed:
                continue
            try:
                members.append(_read_member(row))
            except ForeignInput as refusal:
                self._note_row(MEMBERS_TABLE, row, refusal)
        return members

    def read_configurations(self, news: TableNews) -> list[Configuration]:
        """Return the operators' configuration, or nothing if it is not among the rows."""
        configurations = []
        for row in news.rows:
            if row.key != CONFIGURATION_KEY or row.is_removed:
                continue
            try:
                document = read_value(row.value, ConfigurationDocument)
            except ForeignInput as refusal:
                self._note_row(OPERATORS_TABLE, row, refusal)
            else:
                configurations.append(_make_configuration(document))
        return configurations

    def read_evacuations(self, news: TableNews) -> EvacuationChanges:
        """Return what the rows say of evacuations.

        A row that was good and is written over by a bad one goes on to count, also when the table
        is read anew, until it is removed.
        """
        begun: set[str] = set()
        ended: set[str] = set()
        for row in news.rows:
            if not row.key.startswith(EVACUATION_PREFIX):
                continue
            data_centre = row.key.removeprefix(EVACUATION_PREFIX)
            if row.is_removed:
                ended.add(data_centre)
            elif self._is_evacuated(row, data_centre):
                begun.add(data_centre)
        before = frozenset() if news.is_whole else self._evacuated - ended
        self._evacuated = before | begun
        return EvacuationChanges(
            version=news.version,
            begun=frozenset(begun),
            ended=frozenset(ended),
            is_whole=news.is_whole,
        )

    def _is_evacuated(self, row: RowBody, data_centre: str) -> bool:
        """Tell whether a row asks for an evacuation, or stands where one did that asked for it."""
        try:
            self._check_data_centre(data_centre)
            read_value(row.value, EvacuationDocument)
        except ForeignInput as refusal:
            self._note_row(OPERATORS_TABLE, row, refusal)
            return data_centre in self._evacuated
        return True

    def _check_data_centre(self, name: str) -> None:
        """Raise :class:`ForeignInput` unless there is such a data centre."""
        if not name:
            raise ForeignInput(Fault.FIELD_MISSING, "name of the data centre")
        if self._data_centres and name not in self._data_centres:
            raise ForeignInput(Fault.OTHER_PLACE, f"data centre {name}")

    def _note_row(self, table: str, row: RowBody, refusal: ForeignInput) -> None:
        self.note_foreign(f"{table}/{row.key}", refusal, version=row.ver)


def find_last_key(raw_rows: Sequence[msgspec.Raw]) -> str:
    """Return the last key that can be read, whatever else its row holds, or an empty text."""
    for raw in reversed(raw_rows):
        try:
            row: RowKey = read_json(raw, RowKey)
        except ForeignInput:
            # It was counted when the rows were read.
            continue
        return row.key
    return ""


def _read_row(table: str, raw: msgspec.Raw) -> RowBody:
    row: RowBody = read_json(raw, RowBody)
    if row.part or row.table not in ("", table):
        raise ForeignInput(Fault.OTHER_PLACE, f"key {row.key} of {row.table}, part {row.part}")
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

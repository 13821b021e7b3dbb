"""Foreign rows of any kind, added to valid rows or overwriting them, have no effect."""

from __future__ import annotations

import base64
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

import msgspec
import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from dalemast.core.evacuations import EvacuationRecord, EvacuationView
from dalemast.fleet.base import Configuration, Member
from dalemast.fleet.entry.configuration import ConfigurationInForce
from dalemast.observability import Metrics
from dalemast.platform.foreign import read_json
from dalemast.platform.rows import RowReader, TableUpdate
from dalemast.platform.wire import FeedResponse
from tests.fleet.base import make_configuration

EXAMPLES = 400
DATA_CENTRES = ("austin", "waco", "temple")
CONFIG = "config"
MEMBER_KEYS = ("e0", "e1", "e2")
EVACUATION_KEYS = tuple(f"evacuate/{name}" for name in DATA_CENTRES)
OPERATORS, ENTRIES = "op", "dalemast-entries"
PLACES = [
    *((OPERATORS, key) for key in (CONFIG, *EVACUATION_KEYS)),
    *((ENTRIES, key) for key in MEMBER_KEYS),
]

TEXTS = st.text(max_size=20)
SCALARS = st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | TEXTS
JSON = st.recursive(
    SCALARS,
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(TEXTS, inner, max_size=3),
    max_leaves=6,
)
NO_TEXT = JSON.filter(lambda value: not isinstance(value, str))
NO_MAP = JSON.filter(lambda value: not isinstance(value, dict))


@dataclass(frozen=True, kw_only=True)
class Own:
    """A valid write or removal of a row by an operator or an entry."""

    table: str
    key: str
    is_removed: bool = False


@dataclass(frozen=True, kw_only=True)
class Foreign:
    """A foreign write: ``value`` overwrites the row of a key; ``raw`` is an additional row."""

    table: str
    key: str
    value: str = ""
    raw: bytes = b""


@dataclass(frozen=True, kw_only=True)
class Reread:
    """The store's history is lost, so that both tables are read again."""


def encode(document: object) -> str:
    return base64.b64encode(msgspec.json.encode(document)).decode()


def make_document(key: str, version: int) -> Any:
    """Return the valid document of a key."""
    if key == CONFIG:
        return make_configuration(version, attempts=1 + version % 3)
    if key in EVACUATION_KEYS:
        return {}
    return {"name": key, "incarnation": "i", "address": f"10.0.0.{key[1]}:80", "data_centre": "a"}


def drop(document: dict[str, Any], name: str) -> dict[str, Any]:
    return {key: value for key, value in document.items() if key != name}


def spoil_row(table: str, row: tuple[str, Any]) -> bytes:
    """Return a configuration row as JSON, with one field replaced by an invalid value."""
    name, value = row
    document = encode(make_configuration(10**6))
    whole = {"table": table, "part": "", "key": CONFIG, "value": document, "ver": 10**6}
    return msgspec.json.encode({**whole, name: value})


def is_map(data: bytes) -> bool:
    try:
        return isinstance(msgspec.json.decode(data), dict)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return False


UNREADABLE = (
    TEXTS.filter(lambda text: len(text) % 4 != 0)
    | st.binary(max_size=40)
    .filter(lambda data: not is_map(data))
    .map(lambda data: base64.b64encode(data).decode())
    | NO_MAP.map(encode)
)
CONFIG_FIELDS = st.sampled_from(("version", "routes", "services", "limits"))
ROUTE_FIELDS = st.sampled_from(("name", "host", "path_prefix", "service"))
ROUTE = make_configuration(0)["routes"][0]
BAD_CONFIGURATIONS = (
    CONFIG_FIELDS.map(lambda name: drop(make_configuration(10**6), name))
    | st.tuples(CONFIG_FIELDS, SCALARS.filter(lambda value: not isinstance(value, int))).map(
        lambda row: {**make_configuration(10**6), row[0]: row[1]}
    )
    | st.integers(2**53 + 1, 10**30).map(make_configuration)
    | st.integers(-(10**30), -1).map(make_configuration)
    | ROUTE_FIELDS.map(lambda name: {**make_configuration(10**6), "routes": [drop(ROUTE, name)]})
    | st.tuples(ROUTE_FIELDS, NO_TEXT).map(
        lambda row: make_configuration(10**6, **{row[0]: row[1]})
    )
    | NO_MAP.map(lambda row: {**make_configuration(10**6), "routes": [ROUTE, row]})
).map(encode)
MEMBER = make_document("e1", 0)
MEMBER_FIELDS = st.sampled_from(tuple(MEMBER))
BAD_MEMBERS = (
    MEMBER_FIELDS.map(lambda name: drop(MEMBER, name))
    | st.tuples(MEMBER_FIELDS, NO_TEXT).map(lambda row: {**MEMBER, row[0]: row[1]})
    | MEMBER_FIELDS.map(lambda name: {**MEMBER, name: ""})
    | TEXTS.map(lambda text: {**MEMBER, "address": text})
).map(encode)
BAD_KEYS = st.sampled_from(("evacuate/", "evacuate/nowhere", "evacuate/waco/1", "evacuate", "x"))
RAW_ROWS = (
    NO_MAP.map(msgspec.json.encode)
    | st.tuples(st.sampled_from(("table", "part", "key", "value")), NO_TEXT).map(
        lambda row: spoil_row(OPERATORS, row)
    )
    | st.tuples(st.just("part"), st.text(min_size=1, max_size=5)).map(
        lambda row: spoil_row(OPERATORS, row)
    )
    | st.tuples(st.just("ver"), TEXTS | st.integers(2**53 + 1, 10**30) | st.none()).map(
        lambda row: spoil_row(OPERATORS, row)
    )
    | st.tuples(st.just("removed"), TEXTS | st.integers() | st.none()).map(
        lambda row: spoil_row(OPERATORS, row)
    )
    | st.sampled_from((b'{"key":"\xff","ver":1}', b'{"key":"config","value":"\xc3"}', b"{}"))
)

FOREIGN = (
    st.builds(
        lambda place, value: Foreign(table=place[0], key=place[1], value=value),
        st.sampled_from(PLACES),
        UNREADABLE,
    )
    | BAD_CONFIGURATIONS.map(lambda value: Foreign(table=OPERATORS, key=CONFIG, value=value))
    | st.builds(
        lambda key, value: Foreign(table=ENTRIES, key=key, value=value),
        st.sampled_from((*MEMBER_KEYS, "e9")),
        BAD_MEMBERS,
    )
    | BAD_KEYS.map(lambda key: Foreign(table=OPERATORS, key=key, value=encode({})))
    | st.builds(
        lambda table, number, raw: Foreign(table=table, key=f"raw{number}", raw=raw),
        st.sampled_from((OPERATORS, ENTRIES)),
        st.integers(0, 9),
        RAW_ROWS,
    )
)
OWN = st.sampled_from(PLACES).map(
    lambda place: Own(table=place[0], key=place[1])
) | st.sampled_from(EVACUATION_KEYS).map(lambda key: Own(table=OPERATORS, key=key, is_removed=True))
OVERWRITTEN = st.tuples(st.sampled_from(PLACES), UNREADABLE).map(
    lambda row: [
        Own(table=row[0][0], key=row[0][1]),
        Foreign(table=row[0][0], key=row[0][1], value=row[1]),
        Reread(),
    ]
)
STEP = (OWN | FOREIGN | FOREIGN | st.just(Reread())).map(lambda step: [step])
STEPS = st.lists(STEP | STEP | OVERWRITTEN, min_size=3, max_size=20).map(
    lambda parts: [step for part in parts for step in part]
)


@dataclass(kw_only=True)
class Reader:
    """The state of an entry that follows the store."""

    configuration: ConfigurationInForce = field(default_factory=ConfigurationInForce)
    members: set[Member] = field(default_factory=set)

    def __post_init__(self) -> None:
        self._rows = RowReader(data_centres=DATA_CENTRES, metrics=Metrics())
        self._record = EvacuationRecord()
        self._view = EvacuationView()

    def read(self, table: str, raw_rows: Iterable[bytes], *, version: int, is_whole: bool) -> None:
        """Apply one response of the store."""
        body = b'{"rows":[%b],"ver":%d}' % (b",".join(raw_rows), version)
        feed = read_json(body, FeedResponse)
        rows = self._rows.read_rows(table, feed.rows)
        news = TableUpdate(rows=rows, version=feed.ver, is_whole=is_whole)
        if table == ENTRIES:
            self.members |= set(self._rows.read_members(news))
            return
        self._view.offer(self._record.apply(self._rows.read_evacuations(news)))
        for configuration in self._rows.read_configurations(news):
            self.configuration.offer(configuration, source="store")

    @property
    def known(self) -> tuple[Configuration | None, frozenset[str], set[Member]]:
        """Return the configuration in force, the evacuations and the entries."""
        return self.configuration.current, self._view.data_centres, self.members


class Store:
    """Store of JSON rows by table and key."""

    def __init__(self) -> None:
        self.version = 0
        self._rows: dict[tuple[str, str], bytes] = {}

    def write(self, table: str, key: str, value: str) -> bytes:
        row = {"table": table, "part": "", "key": key, "value": value, "ver": self.version}
        self._rows[table, key] = msgspec.json.encode(row)
        return self._rows[table, key]

    def write_raw(self, table: str, key: str, raw: bytes) -> bytes:
        self._rows[table, key] = raw
        return raw

    def remove(self, table: str, key: str) -> bytes:
        self._rows.pop((table, key), None)
        return msgspec.json.encode(
            {"table": table, "key": key, "ver": self.version, "removed": True}
        )

    def get_rows(self, table: str) -> list[bytes]:
        return [row for (name, _), row in sorted(self._rows.items()) if name == table]


def play(steps: list[Own | Foreign | Reread]) -> list[Any]:
    """Return the state of an entry after each step."""
    store, reader, known = Store(), Reader(), []
    for step in steps:
        store.version += 1
        match step:
            case Own(is_removed=True):
                row = store.remove(step.table, step.key)
            case Own():
                value = encode(make_document(step.key, store.version))
                row = store.write(step.table, step.key, value)
            case Foreign(raw=b""):
                row = store.write(step.table, step.key, step.value)
            case Foreign():
                row = store.write_raw(step.table, step.key, step.raw)
        if isinstance(step, Reread):
            for table in (OPERATORS, ENTRIES):
                rows = store.get_rows(table)
                reader.read(table, rows, version=store.version, is_whole=True)
        else:
            reader.read(step.table, [row], version=store.version, is_whole=False)
        current, evacuated, members = reader.known
        known.append((current, evacuated, frozenset(members)))
    return known


def leave_out_foreign(steps: list[Own | Foreign | Reread]) -> list[Own | Foreign | Reread]:
    """Return the steps with each foreign one replaced by one without effect."""
    idle = Own(table=OPERATORS, key="other", is_removed=True)
    return [idle if isinstance(step, Foreign) else step for step in steps]


class ForeignRowProperties(testtools.TestCase):
    @settings(max_examples=EXAMPLES)
    @given(STEPS)
    def check(self, steps: list[Own | Foreign | Reread]) -> None:
        self.cases += sum(isinstance(step, Foreign) for step in steps)
        self.assertEqual(play(leave_out_foreign(steps)), play(steps))

    def test_an_entry_knows_the_same_as_without_foreign_rows(self) -> None:
        self.cases = 0
        self.check()
        self.assertGreater(self.cases, EXAMPLES)

"""Foreign reports of any kind, sent between the worker's own, have no effect."""

from __future__ import annotations

from typing import Any

import msgspec
import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from dalemast.platform import PlatformRegistration
from dalemast.platform.foreign import ForeignInput
from tests.platform.reports import (
    ADDRESS,
    DATA_CENTRE,
    REQUIRED,
    WORKER_ID,
    Observer,
    make_report,
    make_settings,
)

EXAMPLES = 400
TEXT_FIELDS = ("service", "addr", "zone", "version", "state")
NUMBER_FIELDS = ("slots", "cold_left_ms", "seq", "clock_ms", "remaining_ms")
CAPACITY_FIELDS = ("cpu", "mem_mb", "gpu")
HUGE = st.integers(2**53 + 1, 10**40) | st.integers(-(10**40), -1)
TEXTS = st.text(max_size=20)
LISTS = st.lists(st.integers() | st.booleans() | st.none(), min_size=1, max_size=3)
MAPS = st.dictionaries(TEXTS, st.integers(), max_size=2)
NO_TEXT = st.none() | st.booleans() | st.integers() | LISTS | MAPS
NO_NUMBER = st.none() | st.booleans() | TEXTS | LISTS | MAPS
WORKER_IDS = st.just(WORKER_ID) | st.from_regex(r"i-[0-9a-f]{8}", fullmatch=True)

ForeignReport = tuple[str, bytes]
"""A worker id and a request body."""


def change(fields: dict[str, Any], dropped: str = "") -> bytes:
    """Return an encoded report with some fields changed, or one omitted."""
    report = make_report(**fields)
    report.pop(dropped, None)
    return msgspec.json.encode(report)


def change_capacity(name: str, value: Any) -> bytes:
    return change({"capacity": {**make_report()["capacity"], name: value}})


DROPPED = st.sampled_from(REQUIRED).map(lambda name: change({}, name))
RETYPED = (
    st.tuples(st.sampled_from(TEXT_FIELDS), NO_TEXT)
    | st.tuples(st.sampled_from(NUMBER_FIELDS), NO_NUMBER)
    | st.tuples(st.just("capacity"), NO_NUMBER.filter(lambda value: value is not None))
    | st.tuples(st.just("labels"), TEXTS | LISTS | MAPS)
).map(lambda row: change({row[0]: row[1]}))
UNKNOWN_WORD = TEXTS.filter(lambda word: word not in ("ready", "draining")).map(
    lambda word: change({"state": word})
)
ELSEWHERE = TEXTS.filter(lambda text: text not in (ADDRESS, DATA_CENTRE)).flatmap(
    lambda text: st.sampled_from(("addr", "zone")).map(lambda name: change({name: text}))
)
OUT_OF_RANGE = st.tuples(st.sampled_from(("slots", "seq")), HUGE).map(
    lambda row: change({row[0]: row[1]})
) | st.tuples(st.sampled_from(CAPACITY_FIELDS), HUGE).map(lambda row: change_capacity(*row))
RAW = st.binary(max_size=60)
CUT = st.integers(0, len(change({})) - 1).map(lambda length: change({})[:length])
CONTRADICTING = (
    st.integers(1, 10**9)
    .filter(lambda cpu: cpu != 16000)
    .map(lambda cpu: change_capacity("cpu", cpu))
    | TEXTS.filter(lambda text: text not in ("", "floor")).map(
        lambda text: change({"service": text})
    )
    | st.lists(st.text(min_size=1, max_size=5), max_size=1).map(
        lambda rows: change({"labels": rows})
    )
)
JUMPED = st.integers(10**6, 2**53).map(lambda seq: change({"seq": seq}))

UNUSABLE = DROPPED | RETYPED | UNKNOWN_WORD | ELSEWHERE | OUT_OF_RANGE | RAW | CUT
FOREIGN_REPORTS = st.tuples(WORKER_IDS, UNUSABLE) | st.tuples(
    st.just(WORKER_ID), CONTRADICTING | JUMPED
)
OWN_REPORTS = st.lists(
    st.sampled_from(("ready", "ready", "ready", "draining")), min_size=2, max_size=6
)


class Counter:
    """Number of foreign reports that a test has delivered."""

    def __init__(self) -> None:
        self.cases = 0


def deliver(own: list[str], foreign: list[list[ForeignReport]], counter: Counter) -> Observer:
    """Deliver the worker's reports, each followed by foreign ones."""
    observer = Observer()
    registration = PlatformRegistration(settings=make_settings(), observer=observer)
    for number, state in enumerate(["ready", *own], start=1):
        registration.handle_report(WORKER_ID, change({"state": state, "seq": number}))
        for worker_id, data in foreign[number - 1] if number <= len(foreign) else []:
            counter.cases += 1
            try:
                registration.handle_report(worker_id, data)
            except ForeignInput:
                continue
    return observer


class ForeignReportProperties(testtools.TestCase):
    @settings(max_examples=EXAMPLES)
    @given(
        OWN_REPORTS,
        st.lists(st.lists(FOREIGN_REPORTS, min_size=1, max_size=4), min_size=1, max_size=7),
    )
    def check(self, own: list[str], foreign: list[list[ForeignReport]]) -> None:
        with_foreign = deliver(own, foreign, self.counter)
        without = deliver(own, [], Counter())
        self.assertEqual(without.incarnations, with_foreign.incarnations)

    def test_the_worker_is_known_as_without_foreign_reports(self) -> None:
        self.counter = Counter()
        self.check()
        self.assertGreater(self.counter.cases, EXAMPLES)

    @settings(max_examples=EXAMPLES)
    @given(st.tuples(WORKER_IDS, UNUSABLE))
    def test_an_unusable_report_is_never_taken(self, report: ForeignReport) -> None:
        observer = Observer()
        registration = PlatformRegistration(settings=make_settings(), observer=observer)
        self.assertRaises(ForeignInput, registration.handle_report, *report)
        self.assertEqual([], observer.incarnations)

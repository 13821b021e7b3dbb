"""Whom a process asks for a version that it missed, and how many copies are under way."""

from __future__ import annotations

import testtools
from hypothesis import given
from hypothesis import strategies as st

from dalemast.core.catch_up import CopyLimit, MissingVersion, VersionRequest, get_copy_s

SIZE = 400_000
"""Bytes of a version; its copy is given up after more than a second."""


def ask_until(missing: MissingVersion, *, end: float) -> list[tuple[float, VersionRequest]]:
    """Ask for what is due every 50 ms; return the asks with their times."""
    asks = []
    for number in range(round(end / 0.05)):
        now = number * 0.05
        ask = missing.take_due(now=now, draw=0.0)
        if ask is not None:
            asks.append((now, ask))
    return asks


class MissingVersionTests(testtools.TestCase):
    def test_nobody_is_asked_while_the_store_may_still_bring_the_version(self) -> None:
        missing = MissingVersion()
        missing.note_own(1)
        missing.note_peer("b", 2, SIZE, now=0.0)
        self.assertIsNone(missing.take_due(now=0.3, draw=0.0))
        missing.note_own(2)
        self.assertEqual([], ask_until(missing, end=5.0))

    def test_a_process_without_any_version_asks_soon(self) -> None:
        missing = MissingVersion()
        missing.note_peer("b", 2, SIZE, now=0.0)
        self.assertEqual(VersionRequest(peer="b", version=2), missing.take_due(now=0.1, draw=0.0))

    def test_one_peer_is_asked_at_a_time_and_the_next_if_it_is_silent(self) -> None:
        missing = MissingVersion()
        missing.note_own(1)
        for name in ("b", "c", "d"):
            missing.note_peer(name, 2, SIZE, now=0.0)
        asks = ask_until(missing, end=2.5)
        self.assertEqual(["b", "c"], [ask.peer for _, ask in asks])
        pause_s = asks[1][0] - asks[0][0]
        self.assertGreaterEqual(pause_s, get_copy_s(SIZE))

    def test_a_peer_that_is_lost_is_not_asked(self) -> None:
        missing = MissingVersion()
        missing.note_own(1)
        missing.note_peer("b", 2, SIZE, now=0.0)
        missing.note_peer("c", 2, SIZE, now=0.0)
        missing.forget_peer("b")
        self.assertEqual({"c"}, {ask.peer for _, ask in ask_until(missing, end=4.0)})

    def test_only_peers_with_the_newest_version_are_asked(self) -> None:
        missing = MissingVersion()
        missing.note_own(1)
        missing.note_peer("b", 2, SIZE, now=0.0)
        missing.note_peer("c", 3, SIZE, now=0.1)
        self.assertEqual({"c"}, {ask.peer for _, ask in ask_until(missing, end=4.0)})

    def test_a_busy_peer_is_asked_again_soon(self) -> None:
        missing = MissingVersion()
        missing.note_own(1)
        missing.note_peer("b", 2, SIZE, now=0.0)
        self.assertIsNotNone(missing.take_due(now=0.5, draw=0.0))
        missing.note_deferred("b", now=0.5)
        self.assertIsNotNone(missing.take_due(now=0.65, draw=0.0))


class SpreadTests(testtools.TestCase):
    """All but one process lack a version: the load that fills the smallest links."""

    @given(processes=st.integers(2, 40), seed=st.integers(0, 2**16))
    def test_each_process_gets_one_copy_and_rounds_double(self, processes: int, seed: int) -> None:
        copies = self._spread(processes, seed)
        self.assertEqual([1] * (processes - 1), list(copies.values()))

    def _spread(self, processes: int, seed: int) -> dict[int, int]:
        """Let copies take 0.3 s and asks none; return the copies that each process got."""
        parts = {n: (MissingVersion(), CopyLimit()) for n in range(processes)}
        copies = dict.fromkeys(range(1, processes), 0)
        under_way: list[tuple[float, int, int]] = []
        for missing, _ in parts.values():
            missing.note_own(1)
        self._tell(parts, 0, now=0.0)
        for step in range(400):
            now = step * 0.05
            for copy in [copy for copy in under_way if copy[0] <= now]:
                under_way.remove(copy)
                copies[copy[2]] += 1
                self._tell(parts, copy[2], now=now)
            for number, (missing, _) in parts.items():
                draw = ((seed * 31 + number * 17 + step) % 97) / 97
                ask = missing.take_due(now=now, draw=draw)
                if ask is None:
                    continue
                holder = int(ask.peer)
                if parts[holder][1].take(str(number), now=now, copy_s=get_copy_s(SIZE)):
                    under_way.append((now + 0.3, holder, number))
                else:
                    missing.note_deferred(ask.peer, now=now)
        return copies

    def _tell(
        self, parts: dict[int, tuple[MissingVersion, CopyLimit]], holder: int, *, now: float
    ) -> None:
        """Let a process have the version and say so."""
        parts[holder][0].note_own(2)
        for number, (missing, copies) in parts.items():
            if number != holder:
                missing.note_peer(str(holder), 2, SIZE, now=now)
                copies.note_arrived(str(holder))


class CopyLimitTests(testtools.TestCase):
    def test_two_copies_are_under_way_at_most(self) -> None:
        copies = CopyLimit()
        taken = [copies.take(name, now=0.0, copy_s=1.0) for name in ("a", "b", "c")]
        self.assertEqual([True, True, False], taken)
        copies.note_arrived("a")
        self.assertTrue(copies.take("c", now=0.1, copy_s=1.0))

    def test_a_copy_that_never_arrives_is_over_in_time(self) -> None:
        copies = CopyLimit()
        copies.take("a", now=0.0, copy_s=1.0)
        copies.take("b", now=0.0, copy_s=1.0)
        self.assertTrue(copies.take("c", now=1.1, copy_s=1.0))

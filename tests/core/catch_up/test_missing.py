"""Requests for a missing version, and the limit on concurrent copies."""

from __future__ import annotations

import testtools
from hypothesis import given
from hypothesis import strategies as st

from dalemast.core.catch_up import CopyLimit, MissingVersion, VersionRequest, get_copy_timeout_s

SIZE = 400_000
"""Size of a version in bytes. Its copy times out after more than a second."""


def request_until(missing: MissingVersion, *, end: float) -> list[tuple[float, VersionRequest]]:
    """Collect the requests that are due, every 50 ms; return them with their times."""
    requests = []
    for number in range(round(end / 0.05)):
        now = number * 0.05
        request = missing.take_due(now=now, draw=0.0)
        if request is not None:
            requests.append((now, request))
    return requests


class MissingVersionTests(testtools.TestCase):
    def test_nothing_is_requested_during_the_head_start_of_the_store(self) -> None:
        missing = MissingVersion()
        missing.note_own(1)
        missing.note_peer("b", 2, SIZE, now=0.0)
        self.assertIsNone(missing.take_due(now=0.3, draw=0.0))
        missing.note_own(2)
        self.assertEqual([], request_until(missing, end=5.0))

    def test_a_process_without_any_version_requests_soon(self) -> None:
        missing = MissingVersion()
        missing.note_peer("b", 2, SIZE, now=0.0)
        self.assertEqual(VersionRequest(peer="b", version=2), missing.take_due(now=0.1, draw=0.0))

    def test_the_next_peer_gets_a_request_if_the_first_does_not_answer(self) -> None:
        missing = MissingVersion()
        missing.note_own(1)
        for name in ("b", "c", "d"):
            missing.note_peer(name, 2, SIZE, now=0.0)
        requests = request_until(missing, end=2.5)
        self.assertEqual(["b", "c"], [request.peer for _, request in requests])
        interval_s = requests[1][0] - requests[0][0]
        self.assertGreaterEqual(interval_s, get_copy_timeout_s(SIZE))

    def test_an_unreachable_peer_gets_no_request(self) -> None:
        missing = MissingVersion()
        missing.note_own(1)
        missing.note_peer("b", 2, SIZE, now=0.0)
        missing.note_peer("c", 2, SIZE, now=0.0)
        missing.forget_peer("b")
        self.assertEqual({"c"}, {request.peer for _, request in request_until(missing, end=4.0)})

    def test_only_peers_with_the_newest_version_get_requests(self) -> None:
        missing = MissingVersion()
        missing.note_own(1)
        missing.note_peer("b", 2, SIZE, now=0.0)
        missing.note_peer("c", 3, SIZE, now=0.1)
        self.assertEqual({"c"}, {request.peer for _, request in request_until(missing, end=4.0)})

    def test_a_busy_peer_gets_another_request_soon(self) -> None:
        missing = MissingVersion()
        missing.note_own(1)
        missing.note_peer("b", 2, SIZE, now=0.0)
        self.assertIsNotNone(missing.take_due(now=0.5, draw=0.0))
        missing.note_deferred("b", now=0.5)
        self.assertIsNotNone(missing.take_due(now=0.65, draw=0.0))


class SpreadTests(testtools.TestCase):
    """All processes but one lack a version, which could saturate small links with copies."""

    @given(processes=st.integers(2, 40), seed=st.integers(0, 2**16))
    def test_each_process_gets_one_copy_and_rounds_double(self, processes: int, seed: int) -> None:
        copies = self._spread(processes, seed)
        self.assertEqual([1] * (processes - 1), list(copies.values()))

    def _spread(self, processes: int, seed: int) -> dict[int, int]:
        """Simulate copies that take 0.3 s; return the number that each process received."""
        parts = {n: (MissingVersion(), CopyLimit()) for n in range(processes)}
        copies = dict.fromkeys(range(1, processes), 0)
        under_way: list[tuple[float, int, int]] = []
        for missing, _ in parts.values():
            missing.note_own(1)
        self._announce(parts, 0, now=0.0)
        for step in range(400):
            now = step * 0.05
            for copy in [copy for copy in under_way if copy[0] <= now]:
                under_way.remove(copy)
                copies[copy[2]] += 1
                self._announce(parts, copy[2], now=now)
            for number, (missing, _) in parts.items():
                draw = ((seed * 31 + number * 17 + step) % 97) / 97
                request = missing.take_due(now=now, draw=draw)
                if request is None:
                    continue
                holder = int(request.peer)
                if parts[holder][1].acquire(str(number), now=now, copy_s=get_copy_timeout_s(SIZE)):
                    under_way.append((now + 0.3, holder, number))
                else:
                    missing.note_deferred(request.peer, now=now)
        return copies

    def _announce(
        self, parts: dict[int, tuple[MissingVersion, CopyLimit]], holder: int, *, now: float
    ) -> None:
        """Give a process the version, and let it announce it to the others."""
        parts[holder][0].note_own(2)
        for number, (missing, copies) in parts.items():
            if number != holder:
                missing.note_peer(str(holder), 2, SIZE, now=now)
                copies.release(str(holder))


class CopyLimitTests(testtools.TestCase):
    def test_the_number_of_concurrent_copies_is_bounded(self) -> None:
        copies = CopyLimit()
        taken = [copies.acquire(name, now=0.0, copy_s=1.0) for name in ("a", "b", "c")]
        self.assertEqual([True, True, False], taken)
        copies.release("a")
        self.assertTrue(copies.acquire("c", now=0.1, copy_s=1.0))

    def test_a_copy_that_never_arrives_times_out(self) -> None:
        copies = CopyLimit()
        copies.acquire("a", now=0.0, copy_s=1.0)
        copies.acquire("b", now=0.0, copy_s=1.0)
        self.assertTrue(copies.acquire("c", now=1.1, copy_s=1.0))

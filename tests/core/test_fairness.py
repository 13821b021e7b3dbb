"""Fair queueing: no account gets more than its share of slot time."""

from __future__ import annotations

import testtools
from hypothesis import given
from hypothesis import strategies as st

from dalemast.core.fairness import FairQueue


class FairQueueTests(testtools.TestCase):
    def test_account_with_many_items_does_not_block_another(self) -> None:
        queue: FairQueue[str] = FairQueue()
        for number in range(100):
            queue.push(account="flood", item=f"f{number}")
        queue.push(account="quiet", item="q")
        order = []
        for _ in range(3):
            account = queue.get_next_account()
            assert account is not None
            order.append(queue.pop(account))
            queue.charge(account=account, slot_seconds=1.0)
        self.assertIn("q", order[:2])

    def test_idle_account_saves_up_no_share(self) -> None:
        queue: FairQueue[int] = FairQueue()
        queue.push(account="busy", item=0)
        queue.push(account="late", item=0)
        queue.pop("late")
        for number in range(50):
            self.assertEqual(queue.get_next_account(), "busy")
            queue.pop("busy")
            queue.charge(account="busy", slot_seconds=1.0)
            queue.push(account="busy", item=number)
        queue.get_next_account()
        for number in range(20):
            queue.push(account="late", item=number)
        taken = []
        for _ in range(10):
            account = queue.get_next_account()
            assert account is not None
            taken.append(account)
            queue.pop(account)
            queue.charge(account=account, slot_seconds=1.0)
            queue.push(account=account, item=0)
        self.assertLessEqual(abs(taken.count("late") - taken.count("busy")), 2)

    @given(
        st.floats(0.5, 4.0),
        st.lists(st.floats(0.05, 1.0), min_size=60, max_size=60),
    )
    def test_shares_follow_the_weights_whatever_the_costs(
        self, weight: float, costs: list[float]
    ) -> None:
        queue: FairQueue[int] = FairQueue()
        used = {"a": 0.0, "b": 0.0}
        for _ in range(len(costs)):
            queue.push(account="a", item=0, weight=weight)
            queue.push(account="b", item=0, weight=1.0)
        for cost in costs:
            account = queue.get_next_account()
            assert account is not None
            queue.pop(account)
            queue.charge(account=account, slot_seconds=cost)
            used[account] += cost
        # No account is ever further ahead of its share than one task.
        self.assertLessEqual(used["a"] / weight - used["b"], 1.0 / weight + 1e-9)
        self.assertLessEqual(used["b"] - used["a"] / weight, 1.0 + 1e-9)

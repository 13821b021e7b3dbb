"""A job of a caller runs on the endpoints and its answers are returned."""

from __future__ import annotations

import msgspec

from tests.base import AsyncTestCase, LocalSystem, make_job


class PathTests(AsyncTestCase):
    def test_all_answers_are_returned_in_task_order(self) -> None:
        async def run() -> None:
            async with LocalSystem() as system:
                caller = system.make_caller()
                answer = await caller.submit(make_job("echo", *range(110)))
                self.assertEqual(answer.status, 200)
                self.assertEqual(answer.body["answers"], list(range(110)))
                again = await caller.submit(make_job("prize-ladder", {"pool": 1001, "places": 7}))
                self.assertEqual(sum(again.body["answers"][0]), 1001)

        self.run_async(run())

    def test_same_ticket_again_gives_same_answer_and_no_second_start(self) -> None:
        async def run() -> None:
            async with LocalSystem() as system:
                ticket = await system.get_ticket()
                body = make_job("count", {"name": "once"})
                first = await system.submit(body, ticket=ticket)
                second = await system.submit(body, ticket=ticket)
                self.assertEqual(first.decode(dict)["answers"], [1])
                self.assertEqual(second.decode(dict)["answers"], [1])
                self.assertEqual(system.process.samples.starts["once"], 1)

        self.run_async(run())

    def test_failed_task_fails_whole_job(self) -> None:
        async def run() -> None:
            async with LocalSystem() as system:
                ticket = await system.get_ticket()
                answer = await system.submit(make_job("fail", 1, 2, 3), ticket=ticket)
                body = msgspec.json.decode(answer.body)
                self.assertEqual(answer.status, 502)
                self.assertEqual(body["outcome"], "failed")
                self.assertEqual(body["error"]["code"], "E1504")
                self.assertNotIn("answers", body)

        self.run_async(run())

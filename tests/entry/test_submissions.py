"""Submissions over HTTP: tickets, keys, forwarding, joining, cancellation, disconnects."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Any

import msgspec

from dalemast.hosting import FaultControls
from dalemast.http.client import HttpFailure, JsonResponse
from tests.base import AsyncTestCase, LocalSystem, make_job, wait_until


def read(response: JsonResponse) -> Any:
    return msgspec.json.decode(response.body)


class TicketTests(AsyncTestCase):
    def test_resubmission_at_another_entry_joins_the_running_job(self) -> None:
        async def run() -> None:
            async with LocalSystem(entry_count=2) as system:
                ticket = await system.get_ticket(entry=0)
                body = make_job("sleep", {"ms": 300, "name": "join"})
                answers = await asyncio.gather(
                    *(system.submit(body, ticket=ticket, entry=n % 2) for n in range(4))
                )
                self.assertEqual({answer.status for answer in answers}, {200})
                self.assertEqual(len({read(answer)["job"] for answer in answers}), 1)
                self.assertEqual(system.process.samples.starts["join"], 1)

        self.run_async(run())

    def test_ticket_of_an_entry_that_is_gone_is_never_started_by_another(self) -> None:
        async def run() -> None:
            async with LocalSystem(entry_count=2) as system:
                ticket = await system.get_ticket(entry=1)
                await system.process.entries.pop(1).close()
                answer = await system.submit(make_job("count", {"name": "x"}), ticket=ticket)
                self.assertEqual(answer.get_error_code(), "E1606")
                self.assertEqual(read(answer)["run"], "may_have_run")
                self.assertEqual(system.process.samples.starts["x"], 0)

        self.run_async(run())

    def test_same_ticket_with_another_body_is_refused(self) -> None:
        async def run() -> None:
            async with LocalSystem() as system:
                ticket = await system.get_ticket()
                await system.submit(make_job("echo", 1), ticket=ticket)
                answer = await system.submit(make_job("echo", 2), ticket=ticket)
                self.assertEqual((answer.status, answer.get_error_code()), (409, "E1604"))

        self.run_async(run())

    def test_refused_ticket_stays_refused(self) -> None:
        async def run() -> None:
            async with LocalSystem() as system:
                ticket = await system.get_ticket()
                body = make_job("echo", 1, selector="hall=dallas")
                first = await system.submit(body, ticket=ticket)
                second = await system.submit(make_job("echo", 1), ticket=ticket)
                self.assertEqual(read(first)["run"], "not_run")
                self.assertEqual(read(second)["run"], "not_run")
                self.assertEqual(second.get_error_code(), "E1605")
                self.assertEqual(system.process.samples.tasks.total(), 0)

        self.run_async(run())

    def test_expired_ticket_is_refused_and_a_used_one_keeps_its_answer(self) -> None:
        async def run() -> None:
            async with LocalSystem() as system:
                unused, used = await system.get_ticket(), await system.get_ticket()
                await system.submit(make_job("echo", 1), ticket=used)
                ledger = system.process.entries[0].engine.ledger
                ledger._ticket_life_s = -1.0
                late = await system.submit(make_job("echo", 1), ticket=unused)
                self.assertEqual((late.status, late.get_error_code()), (410, "E1603"))
                kept = await system.submit(make_job("echo", 1), ticket=used)
                self.assertEqual(kept.status, 200)

        self.run_async(run())


class KeyTests(AsyncTestCase):
    def test_same_key_at_all_entries_starts_once(self) -> None:
        async def run() -> None:
            async with LocalSystem(entry_count=3) as system:
                body = make_job("count", {"name": "key"})
                answers = await asyncio.gather(
                    *(system.submit(body, key="k1", entry=n % 3) for n in range(9))
                )
                self.assertEqual({answer.status for answer in answers}, {200})
                self.assertEqual(system.process.samples.starts["key"], 1)

        self.run_async(run())

    def test_same_key_of_another_account_is_another_job(self) -> None:
        async def run() -> None:
            async with LocalSystem() as system:
                body = make_job("count", {"name": "key"})
                await system.submit(body, key="k1")
                await system.submit(body, key="k1", token="rival-token")
                self.assertEqual(system.process.samples.starts["key"], 2)

        self.run_async(run())

    def test_key_while_the_table_is_down_starts_nothing(self) -> None:
        async def run() -> None:
            async with LocalSystem() as system:
                body = make_job("count", {"name": "down"})
                system.process.platform.set_faults(FaultControls(is_down=True))
                answer = await system.submit(body, key="k1")
                self.assertEqual((answer.status, answer.get_error_code()), (503, "E1607"))
                self.assertEqual(system.process.samples.starts["down"], 0)
                system.process.platform.set_faults(FaultControls())
                again = await system.submit(body, key="k1")
                self.assertEqual(again.status, 200)
                self.assertEqual(system.process.samples.starts["down"], 1)

        self.run_async(run())

    def test_lost_answer_to_a_claim_is_resolved_by_reading_it_back(self) -> None:
        async def run() -> None:
            async with LocalSystem(entry_count=2) as system:
                body = make_job("count", {"name": "lost"})
                system.process.platform.set_faults(FaultControls(is_losing_answers=True))
                first = await system.submit(body, key="k1", entry=0)
                second = await system.submit(body, key="k1", entry=1)
                self.assertEqual((first.status, second.status), (200, 200))
                self.assertEqual(system.process.samples.starts["lost"], 1)

        self.run_async(run())

    def test_tickets_need_no_table(self) -> None:
        async def run() -> None:
            async with LocalSystem() as system:
                system.process.platform.set_faults(FaultControls(is_down=True))
                ticket = await system.get_ticket()
                answer = await system.submit(make_job("echo", 1), ticket=ticket)
                self.assertEqual(answer.status, 200)

        self.run_async(run())


class JobTests(AsyncTestCase):
    def test_job_is_polled_and_cancelled_at_any_entry(self) -> None:
        async def run() -> None:
            async with LocalSystem(entry_count=2) as system:
                ticket = await system.get_ticket()
                body = make_job("sleep", *[{"ms": 15_000}] * 40)
                task = asyncio.create_task(system.submit(body, ticket=ticket))
                engine = system.process.entries[0].engine
                await wait_until(lambda: engine.open_jobs == 1)
                job = ticket
                pending = await system.request("GET", f"/v1/jobs/{job}?wait_ms=0", entry=1)
                self.assertEqual((pending.status, read(pending)["outcome"]), (202, "pending"))
                cancelled = await system.request("DELETE", f"/v1/jobs/{job}", entry=1)
                self.assertEqual(cancelled.get_error_code(), "E1506")
                self.assertEqual((await task).get_error_code(), "E1506")
                again = await system.request("GET", f"/v1/jobs/{job}", entry=1)
                self.assertEqual(read(again)["run"], read(cancelled)["run"])
                started = system.process.samples.tasks.total()
                self.assertLessEqual(started, 24)

        self.run_async(run())

    def test_job_without_callers_starts_no_more_tasks(self) -> None:
        async def run() -> None:
            async with LocalSystem() as system:
                engine = system.process.entries[0].engine
                engine._caller_grace_s = 0.05
                ticket = await system.get_ticket()
                body = make_job("sleep", *[{"ms": 400}] * 60)
                task = asyncio.create_task(
                    system.client.request(
                        "POST",
                        f"http://{system.process.callers_address}/v1/jobs",
                        body=body,
                        headers={
                            "Authorization": "Bearer demo-token",
                            "Submission-Ticket": ticket,
                        },
                        timeout_s=0.2,
                    )
                )
                with contextlib.suppress(HttpFailure):
                    await task
                await wait_until(lambda: engine.metrics.get_count("jobs.abandoned") == 1)
                self.assertLess(system.process.samples.tasks.total(), 60)
                answer = await system.submit(body, ticket=ticket)
                self.assertEqual(answer.get_error_code(), "E1507")

        self.run_async(run())

    def test_ticket_that_is_cancelled_before_its_use_never_runs(self) -> None:
        async def run() -> None:
            async with LocalSystem(entry_count=2) as system:
                ticket = await system.get_ticket()
                cancelled = await system.request("DELETE", f"/v1/jobs/{ticket}", entry=1)
                self.assertEqual(read(cancelled)["run"], "not_run")
                answer = await system.submit(make_job("count", {"name": "late"}), ticket=ticket)
                self.assertEqual(read(answer)["run"], "not_run")
                self.assertEqual(system.process.samples.starts["late"], 0)

        self.run_async(run())

"""Tests of the whole path from callers to workers, with faults on the way."""

from __future__ import annotations

import asyncio
import time
from typing import Any

from dalemast.core.ownership import choose_home
from tests.base import AsyncTestCase, wait_until
from tests.fleet.base import (
    PREFIX,
    LocalFleet,
    make_configuration,
    make_text,
    settle,
)

JOB = "00000000000000aa"


def is_home(name: str, job_id: str, fleet: LocalFleet) -> bool:
    entries = [settings.name for settings in fleet.entry_settings]
    return choose_home(job_id, [name, *entries]) == name


def read_state(response: Any) -> str:
    return str(response.decode(dict[str, Any])["state"])


class FaultFreeTests(AsyncTestCase):
    def test_a_job_ends_once_all_its_tasks_are_done(self) -> None:
        async def scenario() -> None:
            async with LocalFleet() as fleet:
                response = await fleet.submit(JOB, count=6)
                self.assertEqual((200, "succeeded"), (response.status, read_state(response)))
                started = fleet.get_started(JOB)
                self.assertEqual(sorted((f"{JOB}.0.0.{n}", 1) for n in range(6)), sorted(started))

        self.run_async(scenario())

    def test_an_agent_finds_entries_by_way_of_its_seed(self) -> None:
        async def scenario() -> None:
            async with LocalFleet(entries=3, workers=1) as fleet:
                response = await fleet.submit(JOB, entry=2)
                self.assertEqual(200, response.status)

        self.run_async(scenario())

    def test_an_agent_keeps_no_more_links_than_its_limits(self) -> None:
        async def scenario() -> None:
            bounds = {"max_near_links": 1, "max_far_links": 1}
            fleet = LocalFleet(entries=4, workers=1, agent_settings=bounds, links_per_agent=2)
            async with fleet:
                linked = [e for e in fleet.entries if e.get_state()["workers"]]
                self.assertEqual(2, len(linked))
                response = await fleet.submit_with_retries(
                    JOB, entry=fleet.entries.index(linked[0])
                )
                self.assertEqual(200, response.status)
                # The link of an entry that stops is replaced by one with another entry.
                await linked[0].close()
                fleet.entries.remove(linked[0])
                await wait_until(lambda: fleet.agents[0].get_state()["entries"] == 2)

        self.run_async(scenario())

    def test_a_job_for_an_unserved_service_is_rejected_as_not_run(self) -> None:
        async def scenario() -> None:
            async with LocalFleet(entries=1, workers=1) as fleet:
                body = {"spec": "", "steps": [{"count": 1, "cpu": 10}]}
                response = await fleet.call("POST", PREFIX + JOB, body=body)
                self.assertEqual(503, response.status)
                self.assertNotEqual("", response.retry_after)
                self.assertEqual([], fleet.get_started(JOB))

        self.run_async(scenario())

    def test_invalid_paths_and_bodies_are_rejected(self) -> None:
        async def scenario() -> None:
            async with LocalFleet(entries=1, workers=1) as fleet:
                cases = [
                    ("POST", "/nowhere/" + JOB, {}, 404),
                    ("GET", "/nowhere/", None, 404),
                    ("POST", PREFIX + "not-an-id", {}, 400),
                    ("POST", PREFIX + JOB, {"steps": []}, 400),
                    ("GET", PREFIX + JOB, None, 410),
                    ("DELETE", PREFIX + JOB, None, 410),
                    ("GET", PREFIX, None, 200),
                ]
                for method, path, body, status in cases:
                    response = await fleet.call(method, path, body=body)
                    self.assertEqual(status, response.status, f"{method} {path}")

        self.run_async(scenario())

    def test_a_job_fails_once_its_attempts_are_used_up(self) -> None:
        async def scenario() -> None:
            async with LocalFleet(workers=1) as fleet:
                fleet.workers[0].set_faults(fail=1.0)
                response = await fleet.submit(JOB)
                self.assertEqual((200, "failed"), (response.status, read_state(response)))
                self.assertEqual(2, len(fleet.get_started(JOB)))

        self.run_async(scenario())


class ConfigurationTests(AsyncTestCase):
    def test_a_new_configuration_reaches_every_entry(self) -> None:
        async def scenario() -> None:
            async with LocalFleet() as fleet:
                fleet.store.put("op", "config", make_configuration(9, path_prefix="/new/"))
                await wait_until(
                    lambda: all(e.get_state()["configuration"] == 9 for e in fleet.entries)
                )
                response = await fleet.call("GET", PREFIX)
                self.assertEqual(404, response.status)

        self.run_async(scenario())

    def test_an_older_configuration_is_ignored(self) -> None:
        async def scenario() -> None:
            async with LocalFleet(entries=1, workers=1) as fleet:
                fleet.store.put("op", "config", make_configuration(3, path_prefix="/old/"))
                await settle()
                self.assertEqual(7, fleet.entries[0].get_state()["configuration"])

        self.run_async(scenario())

    def test_a_feed_with_a_lost_history_restarts(self) -> None:
        async def scenario() -> None:
            async with LocalFleet(entries=1, workers=1) as fleet:
                fleet.store.forget_history()
                fleet.store.put("op", "config", make_configuration(9))
                await wait_until(lambda: fleet.entries[0].get_state()["configuration"] == 9)

        self.run_async(scenario())

    def test_a_peer_sends_the_configuration_while_the_store_is_down(self) -> None:
        async def scenario() -> None:
            async with LocalFleet(entries=2, workers=1) as fleet:
                await fleet.entries[1].close()
                fleet.entries.pop()
                fleet.store.outage = "busy"
                settings = fleet.entry_settings[1]
                settings = type(settings)(
                    **{
                        **{f: getattr(settings, f) for f in settings.__struct_fields__},
                        "seeds": (fleet.entry_settings[0].links.address,),
                    }
                )
                entry = await fleet.add_entry(settings)
                await wait_until(lambda: entry.get_state()["configuration"] == 7)

        self.run_async(scenario())


class ResubmissionTests(AsyncTestCase):
    def test_two_submissions_of_an_id_never_run_at_the_same_time(self) -> None:
        async def scenario() -> None:
            async with LocalFleet() as fleet:
                text = make_text(0.8)
                first = asyncio.ensure_future(fleet.submit(JOB, entry=0, text=text))
                await wait_until(lambda: len(fleet.get_running(JOB)) == 1)
                second = asyncio.ensure_future(fleet.submit(JOB, entry=1, text=text))
                while not second.done():
                    self.assertLessEqual(len(fleet.get_running(JOB)), 1)
                    await asyncio.sleep(0.01)
                self.assertEqual(200, second.result().status)
                self.assertEqual(502, (await first).status)

        self.run_async(scenario())

    def test_every_peer_that_received_a_claim_receives_its_release(self) -> None:
        async def scenario() -> None:
            async with LocalFleet(entries=3, workers=1) as fleet:
                claims = fleet.entries[0]._peers.claims
                # Simulates the loss of the id's home, after which all other entries are asked.
                lost = next(f"l{n}" for n in range(99) if is_home(f"l{n}", JOB, fleet))
                claims._suspected_until[lost] = float("inf")
                job = asyncio.ensure_future(fleet.submit(JOB, text=make_text(0.4)))
                await wait_until(lambda: len(fleet.get_running(JOB)) == 1)
                self.assertEqual({"entry-1", "entry-2"}, claims._claim_recipients[JOB])
                claims._suspected_until.clear()
                self.assertEqual(200, (await job).status)
                await wait_until(lambda: not any(e.get_state()["claims"] for e in fleet.entries))

        self.run_async(scenario())

    def test_a_second_submission_at_the_same_entry_joins_the_first(self) -> None:
        async def scenario() -> None:
            async with LocalFleet(entries=1, workers=1) as fleet:
                text = make_text(0.5)
                first = asyncio.ensure_future(fleet.submit(JOB, text=text))
                await wait_until(lambda: len(fleet.get_running(JOB)) == 1)
                second = await fleet.submit(JOB, text=text)
                self.assertEqual(200, second.status)
                self.assertEqual(502, (await first).status)
                self.assertEqual(1, len(fleet.get_started(JOB)))

        self.run_async(scenario())

    def test_a_caller_that_disconnects_before_its_claim_does_not_affect_the_next(self) -> None:
        async def scenario() -> None:
            async with LocalFleet(entries=1, workers=1) as fleet:
                # An entry grants no ids right after its start, so the first claim still waits.
                await fleet.abort_submission(JOB, after_s=0.2)
                self.assertEqual(200, (await fleet.submit(JOB)).status)

        self.run_async(scenario())

    def test_the_tasks_of_a_caller_that_disconnects_are_stopped(self) -> None:
        async def scenario() -> None:
            async with LocalFleet(entries=1, workers=1) as fleet:
                await fleet.abort_once_running(JOB, text=make_text(30.0))
                self.assertEqual(1, len(fleet.get_started(JOB)))
                await wait_until(lambda: not fleet.get_running(JOB))
                response = await fleet.submit_with_retries(JOB, text=make_text(0.05))
                self.assertEqual(200, response.status)

        self.run_async(scenario())


class WorkerFaultTests(AsyncTestCase):
    def test_the_tasks_of_a_crashed_worker_run_elsewhere(self) -> None:
        async def scenario() -> None:
            async with LocalFleet() as fleet:
                job = asyncio.ensure_future(fleet.submit(JOB, text=make_text(0.6)))
                await wait_until(lambda: len(fleet.get_running(JOB)) == 1)
                (victim,) = [w for w in fleet.workers if w.active_tasks]
                await victim.crash()
                response = await job
                self.assertEqual((200, "succeeded"), (response.status, read_state(response)))

        self.run_async(scenario())

    def test_a_stalled_task_is_moved(self) -> None:
        async def scenario() -> None:
            async with LocalFleet() as fleet:
                for worker in fleet.workers:
                    worker.set_faults(stand_still=1.0)
                job = asyncio.ensure_future(fleet.submit(JOB))
                await wait_until(lambda: len(fleet.get_running(JOB)) == 1)
                for worker in fleet.workers:
                    worker.set_faults(stand_still=0.0)
                response = await job
                self.assertEqual((200, "succeeded"), (response.status, read_state(response)))
                self.assertEqual(2, len(fleet.get_started(JOB)))

        self.run_async(scenario())

    def test_runs_of_an_agents_previous_incarnation_end_before_they_run_elsewhere(self) -> None:
        """Guards against a second run, as a restarted agent lists no runs before its first poll."""

        async def scenario() -> None:
            async with LocalFleet(entries=1) as fleet:
                most = 0

                def count_runs(task: str) -> None:
                    nonlocal most
                    most = max(most, len(fleet.get_running(JOB)))

                for worker in fleet.workers:
                    worker.on_start = count_runs
                job = asyncio.ensure_future(fleet.submit(JOB, text=make_text(2.0)))
                await wait_until(lambda: len(fleet.get_running(JOB)) == 1)
                (number,) = [n for n, w in enumerate(fleet.workers) if w.active_tasks]
                await fleet.restart_agent(number)
                self.assertEqual(200, (await job).status)
                self.assertEqual(2, len(fleet.get_started(JOB)))
                self.assertEqual(1, most)

        self.run_async(scenario())

    def test_unanswered_orders_never_make_two_runs(self) -> None:
        async def scenario() -> None:
            async with LocalFleet(entries=1) as fleet:
                for worker in fleet.workers:
                    worker.set_faults(late_orders=0.5)
                jobs = [
                    asyncio.ensure_future(fleet.submit(f"{n:016x}", count=2)) for n in range(1, 9)
                ]
                while not all(job.done() for job in jobs):
                    running = [task for w in fleet.workers for task in w.active_tasks]
                    self.assertEqual(len(set(running)), len(running))
                    await asyncio.sleep(0.01)
                for job in jobs:
                    self.assertIn(job.result().status, (200, 503))

        self.run_async(scenario())

    def test_a_leaving_worker_receives_no_new_tasks(self) -> None:
        async def scenario() -> None:
            async with LocalFleet() as fleet:
                fleet.workers[0].state = "draining"
                await wait_until(lambda: not fleet.agents[0].get_state()["is_accepting"])
                response = await fleet.submit(JOB, count=4)
                self.assertEqual(200, response.status)
                self.assertEqual([], fleet.workers[0].started)

        self.run_async(scenario())


class LateProcessTests(AsyncTestCase):
    def test_a_process_that_was_late_itself_keeps_its_links(self) -> None:
        """Guards against links that are closed again and again on an overloaded host."""

        async def scenario() -> None:
            async with LocalFleet(entries=2, workers=1) as fleet:
                before = set(fleet.entries[0]._peers._sessions)
                for _ in range(3):
                    time.sleep(0.6)
                    await asyncio.sleep(0.3)
                self.assertEqual(before, set(fleet.entries[0]._peers._sessions))

        self.run_async(scenario())


class PlannedStopTests(AsyncTestCase):
    def test_a_stopping_entry_finishes_its_jobs(self) -> None:
        async def scenario() -> None:
            async with LocalFleet() as fleet:
                job = asyncio.ensure_future(fleet.submit(JOB, text=make_text(0.6)))
                await wait_until(lambda: len(fleet.get_running(JOB)) == 1)
                await fleet.entries[0].drain()
                self.assertEqual([], fleet.entries[0].get_unfinished())
                self.assertEqual(200, (await job).status)

        self.run_async(scenario())

    def test_an_idle_connection_is_closed_when_a_stop_begins(self) -> None:
        """Guards against a next request that comes too late in the stop to be finished."""

        async def scenario() -> None:
            async with LocalFleet(entries=1, workers=1) as fleet:
                kept = await fleet.connect()
                kept.send("a" * 16)
                self.assertEqual(200, await kept.read_status())
                fresh = await fleet.connect()
                stop = asyncio.ensure_future(fleet.entries[0].drain())
                self.assertEqual(b"", await kept.reader.read())
                fresh.send("b" * 16)
                self.assertEqual(200, await fresh.read_status())
                await stop

        self.run_async(scenario())

    def test_a_connection_in_use_is_not_closed_when_a_stop_begins(self) -> None:
        async def scenario() -> None:
            async with LocalFleet(entries=1, workers=1) as fleet:
                kept = await fleet.connect()
                kept.send("a" * 16)
                self.assertEqual(200, await kept.read_status())
                kept.send(JOB, text=make_text(0.5))
                await wait_until(lambda: len(fleet.get_running(JOB)) == 1)
                stop = asyncio.ensure_future(fleet.entries[0].drain())
                self.assertEqual(200, await kept.read_status())
                await stop

        self.run_async(scenario())

    def test_a_stopping_entry_accepts_the_jobs_that_it_can_finish(self) -> None:
        async def scenario() -> None:
            async with LocalFleet(entries=1, workers=1) as fleet:
                # The jobs arrive during the stop, which ends early as no other job is open.
                stop = asyncio.ensure_future(fleet.entries[0].drain())
                await wait_until(lambda: fleet.entries[0].is_draining)
                short = fleet.submit(f"{1:016x}", estimate_ms=100)
                long = fleet.submit(f"{2:016x}", estimate_ms=20_000)
                self.assertEqual(200, (await short).status)
                refusal = await long
                self.assertEqual(503, refusal.status)
                self.assertEqual([], fleet.get_started(f"{2:016x}"))
                await stop

        self.run_async(scenario())

    def test_jobs_that_a_stopping_entry_cannot_finish_are_dropped_and_stopped(self) -> None:
        async def scenario() -> None:
            fleet = LocalFleet(entries=1, workers=1, entry_settings={"grace_s": 1.0})
            async with fleet:
                job = asyncio.ensure_future(fleet.submit(JOB, text=make_text(30.0)))
                await wait_until(lambda: len(fleet.get_running(JOB)) == 1)
                await fleet.entries[0].drain()
                self.assertEqual(502, (await job).status)
                await wait_until(lambda: not fleet.get_running(JOB))
                self.assertEqual([], fleet.entries[0].get_unfinished())

        self.run_async(scenario())

    def test_a_stopping_agent_finishes_its_runs(self) -> None:
        async def scenario() -> None:
            async with LocalFleet(workers=1) as fleet:
                job = asyncio.ensure_future(fleet.submit(JOB, text=make_text(0.6)))
                await wait_until(lambda: len(fleet.get_running(JOB)) == 1)
                await fleet.agents[0].drain()
                self.assertEqual(200, (await job).status)
                self.assertEqual(1, len(fleet.get_started(JOB)))

        self.run_async(scenario())

"""Faults on real processes over loopback: kills, freezes, planned stops, the store away at start.

Everything waits on events with a generous bound; nothing passes because of a time it took.
"""

from __future__ import annotations

import asyncio
import signal
from collections import Counter
from typing import Any

import msgspec

from dalemast.bench.cluster import Cluster, ClusterShape
from dalemast.http.client import HttpFailure, JsonClient
from tests.base import AsyncTestCase, make_job

SHAPE = ClusterShape(workers=2, slots=4, entries=2, far_ms=0.0)


class System:
    """A cluster with what the tests do to it."""

    def __init__(self, cluster: Cluster) -> None:
        self.cluster = cluster
        self.client = JsonClient()

    async def request(
        self, method: str, path: str, body: bytes | None = None, *, entry: int = 0, **headers: str
    ) -> tuple[int, Any]:
        """Send a request to an entry as the account card."""
        response = await self.client.request(
            method,
            f"http://{self.cluster.caller_addresses[entry]}{path}",
            body=body,
            headers={
                "Authorization": "Bearer card-token",
                **{name.replace("_", "-"): value for name, value in headers.items()},
            },
            timeout_s=60.0,
        )
        return response.status, msgspec.json.decode(response.body)

    async def get_ticket(self, entry: int = 0) -> str:
        """Fetch a ticket."""
        _, body = await self.request("POST", "/v1/tickets", b"{}", entry=entry)
        return str(body["tickets"][0])

    async def submit(self, body: bytes, ticket: str, entry: int = 0) -> tuple[int, Any]:
        """Submit a job."""
        return await self.request("POST", "/v1/jobs", body, entry=entry, Submission_Ticket=ticket)

    async def wait_for_starts(self, count: int) -> None:
        """Wait until the endpoints have started as many tasks."""
        while (await self.cluster.count_starts())[0] < count:
            await asyncio.sleep(0.02)

    async def get_starts(self) -> Counter[str]:
        """Return how often each named task was started."""
        names: Counter[str] = Counter()
        for address in self.cluster.sample_addresses:
            names.update((await self.cluster.get(address, "/control?all=1"))["names"])
        return names


def make_sleep(count: int, ms: int, name: str) -> bytes:
    return make_job("sleep-card", *[{"ms": ms, "name": f"{name}-{n}"} for n in range(count)])


class ProcessFaultTests(AsyncTestCase):
    def check(self, body: Any) -> None:
        async def run() -> None:
            async with Cluster(SHAPE) as cluster:
                await body(System(cluster))

        self.run_async(run())

    def test_killed_agent_fails_its_jobs_as_may_have_run_and_starts_nothing_again(self) -> None:
        async def body(system: System) -> None:
            ticket = await system.get_ticket()
            job = make_sleep(8, 1500, "kill")
            task = asyncio.create_task(system.submit(job, ticket))
            await system.wait_for_starts(8)
            system.cluster.agents[0].signal(signal.SIGKILL)
            system.cluster.agents[0].wait(5.0)
            system.cluster.agents[0].start()
            status, answer = await task
            self.assertEqual((status, answer["run"]), (502, "may_have_run"))
            self.assertEqual(answer["error"]["code"], "E1505")
            _, again = await system.submit(job, ticket, entry=1)
            self.assertEqual(again["run"], "may_have_run")
            self.assertEqual(set((await system.get_starts()).values()), {1})

        self.check(body)

    def test_frozen_agent_that_wakes_gives_its_answers(self) -> None:
        async def body(system: System) -> None:
            ticket = await system.get_ticket()
            task = asyncio.create_task(system.submit(make_sleep(8, 300, "freeze"), ticket))
            await system.wait_for_starts(8)
            system.cluster.agents[0].signal(signal.SIGSTOP)
            await asyncio.sleep(1.0)
            system.cluster.agents[0].signal(signal.SIGCONT)
            status, answer = await task
            self.assertEqual(status, 200)
            self.assertEqual(len(answer["answers"]), 8)
            self.assertEqual(set((await system.get_starts()).values()), {1})

        self.check(body)

    def test_frozen_entry_that_wakes_starts_nothing_twice(self) -> None:
        async def body(system: System) -> None:
            ticket = await system.get_ticket(entry=1)
            job = make_sleep(4, 300, "entry")
            first = asyncio.create_task(system.submit(job, ticket, entry=1))
            await system.wait_for_starts(1)
            system.cluster.entries[1].signal(signal.SIGSTOP)
            second = asyncio.create_task(system.submit(job, ticket, entry=0))
            await asyncio.sleep(1.0)
            system.cluster.entries[1].signal(signal.SIGCONT)
            answers = await asyncio.gather(first, second)
            self.assertEqual([status for status, _ in answers], [200, 200])
            self.assertEqual(set((await system.get_starts()).values()), {1})

        self.check(body)

    def test_job_of_a_killed_entry_is_never_started_by_another(self) -> None:
        async def body(system: System) -> None:
            ticket = await system.get_ticket(entry=1)
            job = make_sleep(2, 2000, "gone")
            first = asyncio.create_task(system.submit(job, ticket, entry=1))
            await system.wait_for_starts(2)
            system.cluster.entries[1].signal(signal.SIGKILL)
            system.cluster.entries[1].wait(5.0)
            lost = False
            try:
                await first
            except HttpFailure:
                lost = True
            self.assertTrue(lost)
            status, answer = await system.submit(job, ticket, entry=0)
            self.assertEqual((status, answer["error"]["code"]), (502, "E1606"))
            self.assertEqual(answer["run"], "may_have_run")
            self.assertEqual(set((await system.get_starts()).values()), {1})

        self.check(body)

    def test_planned_stop_of_an_agent_cuts_nothing_off(self) -> None:
        async def body(system: System) -> None:
            ticket = await system.get_ticket()
            task = asyncio.create_task(system.submit(make_sleep(8, 800, "stop"), ticket))
            await system.wait_for_starts(8)
            agent = system.cluster.agents[0]
            agent.signal(signal.SIGTERM)
            status, _ = await task
            self.assertEqual(status, 200)
            self.assertEqual(await asyncio.to_thread(agent.wait, 20.0), 0)
            status, _ = await system.submit(make_sleep(4, 50, "after"), await system.get_ticket())
            self.assertEqual(status, 200)

        self.check(body)

    def test_planned_stop_of_an_entry_answers_its_jobs_and_takes_no_new_one(self) -> None:
        async def body(system: System) -> None:
            ticket = await system.get_ticket(entry=1)
            spare = await system.get_ticket(entry=1)
            task = asyncio.create_task(system.submit(make_sleep(4, 800, "drain"), ticket, entry=1))
            await system.wait_for_starts(4)
            entry = system.cluster.entries[1]
            entry.signal(signal.SIGTERM)
            refused = await system.submit(make_sleep(1, 10, "new"), spare, entry=0)
            self.assertEqual(refused[1]["error"]["code"], "E1608")
            self.assertEqual(refused[1]["run"], "not_run")
            status, _ = await task
            self.assertEqual(status, 200)
            self.assertEqual(await asyncio.to_thread(entry.wait, 20.0), 0)
            self.assertNotIn("new-0", await system.get_starts())

        self.check(body)

    def test_second_signal_ends_a_stop_and_says_what_was_cut_off(self) -> None:
        async def body(system: System) -> None:
            ticket = await system.get_ticket()
            task = asyncio.create_task(system.submit(make_sleep(8, 5000, "cut"), ticket))
            await system.wait_for_starts(8)
            agent = system.cluster.agents[0]
            agent.signal(signal.SIGTERM)
            state = system.cluster.agent_addresses[0]
            while not (await system.cluster.get(state, "/v1/state"))["is_draining"]:
                await asyncio.sleep(0.02)
            agent.signal(signal.SIGTERM)
            self.assertEqual(await asyncio.to_thread(agent.wait, 20.0), 1)
            status, answer = await task
            self.assertEqual((status, answer["run"]), (502, "may_have_run"))

        self.check(body)

    def test_entry_that_starts_while_the_store_is_down_learns_from_its_peer(self) -> None:
        async def body(system: System) -> None:
            cluster = system.cluster
            version = await cluster.apply_endpoints()
            entry = cluster.entries[1]
            entry.signal(signal.SIGKILL)
            entry.wait(5.0)
            hosts_known = await cluster.get(cluster.platform_address, "/v1/hosts")
            self.assertEqual(len(hosts_known), 2)
            await cluster.set_faults(is_down=True)
            entry.start()
            await cluster.wait_for_links(cluster.entry_addresses[1])
            state = await cluster.get(cluster.entry_addresses[1], "/v1/state")
            self.assertEqual(state["configuration_version"], version)

        self.check(body)

    def test_agent_killed_and_entry_frozen_at_once_start_nothing_twice(self) -> None:
        async def body(system: System) -> None:
            cluster = system.cluster
            jobs = [make_sleep(4, 400, f"both-{n}") for n in range(6)]
            tickets = [await system.get_ticket(entry=1) for _ in jobs]
            first = [
                asyncio.create_task(system.submit(job, ticket, entry=1))
                for job, ticket in zip(jobs, tickets, strict=True)
            ]
            await system.wait_for_starts(4)
            cluster.entries[1].signal(signal.SIGSTOP)
            cluster.agents[0].signal(signal.SIGKILL)
            cluster.agents[0].wait(5.0)
            cluster.agents[0].start()
            again = [
                asyncio.create_task(system.submit(job, ticket, entry=0))
                for job, ticket in zip(jobs, tickets, strict=True)
            ]
            await asyncio.sleep(0.5)
            cluster.entries[1].signal(signal.SIGCONT)
            answers = await asyncio.gather(*first)
            repeats = await asyncio.gather(*again)
            starts = await system.get_starts()
            self.assertEqual(set(starts.values()), {1})
            for number, ((_, one), (_, two)) in enumerate(zip(answers, repeats, strict=True)):
                self.assertEqual((one["outcome"], one["run"]), (two["outcome"], two["run"]))
                names = [f"both-{number}-{n}" for n in range(4)]
                if one["run"] == "not_run":
                    self.assertFalse([name for name in names if name in starts])

        self.check(body)

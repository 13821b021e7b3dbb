"""Invalid requests are answered with a typed error that names the code and the place."""

from __future__ import annotations

import msgspec

from tests.base import AsyncTestCase, LocalSystem, make_job

ECHO = {"service": "echo", "deadline_ms": 1000, "tasks": [{"payload": 1}]}


def with_fields(**fields: object) -> bytes:
    return msgspec.json.encode({**ECHO, **fields})


DEEP = b'{"service":"echo","tasks":[{"payload":' + b"[" * 100 + b"]" * 100 + b"}]}"
VERY_DEEP = b'{"service":"echo","tasks":[{"payload":' + b"[" * 100_000 + b"]" * 100_000 + b"}]}"

# description, body, status, code, prefix of the place
BAD_BODIES: list[tuple[str, bytes, int, str, str]] = [
    ("no JSON", b"{", 400, "E1101", "$"),
    ("not an object", b"[]", 400, "E1101", "$"),
    ("wrong type", with_fields(deadline_ms="soon"), 400, "E1101", "$.deadline_ms"),
    ("unknown key", with_fields(colour="red"), 400, "E1101", "$"),
    ("task without payload", with_fields(tasks=[{}]), 400, "E1101", "$.tasks[0]"),
    ("no service", b'{"tasks":[{"payload":1}]}', 400, "E1101", "$"),
    ("empty job", with_fields(tasks=[]), 400, "E1101", "$.tasks"),
    ("111 tasks", with_fields(tasks=[{"payload": 1}] * 111), 413, "E1102", "$.tasks"),
    ("negative deadline", with_fields(deadline_ms=-1), 400, "E1101", "$.deadline_ms"),
    ("absurd deadline", with_fields(deadline_ms=10**12), 400, "E1101", "$.deadline_ms"),
    (
        "large payload",
        with_fields(tasks=[{"payload": "x" * 300_000}]),
        413,
        "E1102",
        "$.tasks[0].payload",
    ),
    ("large job", with_fields(tasks=[{"payload": "x" * 200_000}] * 30), 413, "E1102", "$"),
    ("deep payload", DEEP, 413, "E1102", "$.tasks[0].payload"),
    ("very deep payload", VERY_DEEP, 400, "E1101", "$"),
    ("unknown service", with_fields(service="poker"), 404, "E1501", "$.service"),
    ("selector that does not parse", with_fields(selector="hall in"), 400, "E1201", "$.selector"),
    ("selector of nothing", with_fields(selector="hall=dallas"), 422, "E1202", "$.selector"),
]


class BadInputTests(AsyncTestCase):
    def test_bad_bodies(self) -> None:
        async def run() -> None:
            async with LocalSystem() as system:
                for what, body, status, code, place in BAD_BODIES:
                    answer = await system.submit(body, ticket=await system.get_ticket())
                    failure = msgspec.json.decode(answer.body)
                    self.assertEqual(answer.status, status, what)
                    self.assertEqual(failure["error"]["code"], code, what)
                    self.assertTrue(failure["error"].get("place", "").startswith(place), what)
                    self.assertEqual(failure["run"], "not_run", what)
                    self.assertEqual(failure["outcome"], "failed", what)
                self.assertEqual(system.process.samples.tasks.total(), 0)

        self.run_async(run())

    def test_bad_credentials(self) -> None:
        async def run() -> None:
            async with LocalSystem() as system:
                ticket = await system.get_ticket()
                body = make_job("echo", 1)
                tampered = ticket[:-3] + ("abc" if ticket[-3:] != "abc" else "abd")
                cases = [
                    ("no token", {"token": ""}, ticket, 401, "E1103"),
                    ("bad token", {"token": "guess"}, ticket, 401, "E1103"),
                    ("ticket of another account", {"token": "rival-token"}, ticket, 404, "E1602"),
                    ("tampered ticket", {}, tampered, 400, "E1601"),
                    ("ticket too long", {}, "x" * 5000, 400, "E1601"),
                ]
                for what, arguments, sent, status, code in cases:
                    answer = await system.submit(body, ticket=sent, **arguments)
                    self.assertEqual(answer.status, status, what)
                    self.assertEqual(answer.get_error_code(), code, what)

        self.run_async(run())

    def test_missing_and_double_keys(self) -> None:
        async def run() -> None:
            async with LocalSystem() as system:
                body = make_job("echo", 1)
                none = await system.request("POST", "/v1/jobs", body)
                self.assertEqual((none.status, none.get_error_code()), (428, "E1104"))
                both = {"Submission-Ticket": "t", "Idempotency-Key": "k"}
                double = await system.request("POST", "/v1/jobs", body, headers=both)
                self.assertEqual((double.status, double.get_error_code()), (400, "E1105"))
                long = await system.submit(body, key="k" * 201)
                self.assertEqual((long.status, long.get_error_code()), (400, "E1105"))

        self.run_async(run())

    def test_unknown_paths_and_methods(self) -> None:
        async def run() -> None:
            async with LocalSystem() as system:
                answer = await system.request("GET", "/v2/nothing")
                self.assertEqual((answer.status, answer.get_error_code()), (404, "E1106"))
                answer = await system.request("GET", "/v1/tickets")
                self.assertEqual((answer.status, answer.get_error_code()), (405, "E1106"))

        self.run_async(run())

    def test_job_of_another_account_looks_like_an_unknown_job(self) -> None:
        async def run() -> None:
            async with LocalSystem() as system:
                ticket = await system.get_ticket()
                answer = await system.submit(make_job("echo", 1), ticket=ticket)
                job = msgspec.json.decode(answer.body)["job"]
                own = await system.request("GET", f"/v1/jobs/{job}")
                self.assertEqual(own.status, 200)
                foreign = await system.request("GET", f"/v1/jobs/{job}", token="rival-token")
                nothing = await system.request("GET", f"/v1/jobs/{job[:-2]}zz")
                self.assertEqual(foreign.status, 404)
                self.assertEqual(foreign.body, nothing.body)

        self.run_async(run())

"""Logs are structured, have one action per job and contain no tokens."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

import eliot
import testtools
from eliot import _output

from dalemast.observability import Metrics, set_up_logs
from dalemast.observability.logs import LogLevel, _State
from tests.base import AsyncTestCase, LocalSystem, make_job


class LogTests(AsyncTestCase):
    def test_job_is_one_action_without_tokens(self) -> None:
        with TemporaryDirectory() as directory:
            file = Path(directory) / "log"
            before = list(_output.Logger._destinations._destinations)
            set_up_logs(level="jobs", destination=str(file), process="test")
            self.addCleanup(self.reset, before)

            async def run() -> str:
                async with LocalSystem() as system:
                    ticket = await system.get_ticket()
                    await system.submit(make_job("echo", 1), ticket=ticket)
                    return ticket

            ticket = self.run_async(run())
            text = file.read_text()
        lines: list[dict[str, Any]] = [json.loads(line) for line in text.splitlines()]
        actions = [line for line in lines if line.get("action_type") == "job"]
        self.assertEqual([a["action_status"] for a in actions], ["started", "succeeded"])
        self.assertEqual(actions[0]["account"], "demo")
        self.assertEqual(actions[1]["outcome"], "complete")
        self.assertNotIn("demo-token", text)
        self.assertNotIn(ticket, text)

    def reset(self, destinations: list[Any]) -> None:
        _State.level = LogLevel.NONE
        for destination in list(_output.Logger._destinations._destinations):
            if destination not in destinations:
                eliot.remove_destination(destination)


class StandardOutputTests(testtools.TestCase):
    """Lines written without eliot have eliot's format."""

    def run_program(self, program: str) -> list[dict[str, Any]]:
        ended = subprocess.run(
            [sys.executable, "-c", program], capture_output=True, text=True, check=True
        )
        return [json.loads(line) for line in ended.stdout.splitlines()]

    def test_a_line_has_the_fields_of_a_message(self) -> None:
        first, second = self.run_program(
            "from dalemast.observability import log_error, log_event, set_up_logs\n"
            "set_up_logs(level='all', destination='stdout', process='p')\n"
            "log_event('job:ended', job='a', took_s=0.5)\n"
            "log_error('link:fault', reason='r')\n"
        )
        self.assertEqual([1], first["task_level"])
        self.assertNotEqual(first["task_uuid"], second["task_uuid"])
        self.assertEqual(
            ("job:ended", "p", "a", 0.5),
            (first["message_type"], first["process"], first["job"], first["took_s"]),
        )
        self.assertEqual(("link:fault", "r"), (second["message_type"], second["reason"]))
        self.assertIsInstance(first["timestamp"], float)

    def test_actions_go_to_the_same_output(self) -> None:
        lines = self.run_program(
            "from dalemast.observability.logs import log_job, set_up_logs\n"
            "set_up_logs(level='jobs', destination='stdout', process='p')\n"
            "for name in 'ab':\n"
            "    log_job(job=name, account='x', service='s', tasks=1, outcome='complete',\n"
            "            run='ran', code='', response_ms=1.0)\n"
        )
        ended = [line for line in lines if line.get("action_status") == "succeeded"]
        self.assertEqual(2, len(ended))


class MetricsTests(testtools.TestCase):
    def test_dump_has_counters_and_percentiles(self) -> None:
        metrics = Metrics()
        metrics.count("jobs", 2)
        for value in range(1, 101):
            metrics.record("job", "a", value / 1000.0)
        dump = metrics.dump()
        self.assertEqual(dump.counters, {"jobs": 2})
        (latency,) = dump.latencies
        self.assertEqual(latency.count, 100)
        self.assertTrue(49.0 <= latency.percentiles_ms["p50"] <= 52.0)
        self.assertGreater(dump.resident_bytes, 1_000_000)

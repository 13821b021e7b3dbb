"""The command line: checks, errors, exit codes and the subcommands of ``dalemast ctl``."""

from __future__ import annotations

import asyncio
import contextlib
import io
from collections.abc import Callable
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

import msgspec
import testtools

from dalemast.management import run_command_line
from dalemast.management.commands.reference import render_errors, render_settings
from tests.base import AsyncTestCase, LocalSystem

DOCS = Path(__file__).parents[2] / "docs"


class Result:
    """Output and exit code of a command."""

    def __init__(self, *arguments: str) -> None:
        out, err = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            self.code = run_command_line(arguments)
        self.out = out.getvalue()
        self.err = err.getvalue()


# content of the file, exit code, expected part of the output
CHECKED_FILES = [
    ("name: entry-7\ndata_centre: waco\npolicy: {placement: packing}\n", 0, "good (entry)"),
    ("worker: w\nslots: 4\nendpoint_url: http://127.0.0.1:1/\n", 0, "good (agent)"),
    ("accounts:\n  - name: a\n", 0, "good (accounts)"),
    ("name: [\n", 2, "E1801"),
    ("name: a\nname: b\n", 2, "appears twice"),
    ("name: a\nplacement: packing\npeers: []\n", 2, "unknown field"),
    ("name: 5\npeers: []\n", 2, "$.name"),
    ("peers: []\ncallers: {address: localhost}\n", 2, "dalemast.E001"),
    ("peers: []\npolicy: {placement: magic}\n", 2, "dalemast.E005"),
    ("slots: 0\nendpoint_url: http://127.0.0.1:1/\n", 2, "dalemast.E008"),
    ("accounts:\n  - name: a\n    colour: red\n", 2, "$.accounts[0]"),
    (
        "services: [{name: s}]\nendpoints:\n"
        + "  - {name: e, worker: w, data_centre: d, agent: '10.0.0.1:1', services: [s]}\n" * 2,
        2,
        "stands twice",
    ),
]


class CheckTests(testtools.TestCase):
    def test_files(self) -> None:
        for text, code, wanted in CHECKED_FILES:
            with TemporaryDirectory() as directory:
                file = Path(directory) / "file.yaml"
                file.write_text(text)
                result = Result("check", str(file))
            self.assertEqual(result.code, code, text + result.out + result.err)
            self.assertIn(wanted, result.out + result.err, text)

    def test_missing_file(self) -> None:
        result = Result("check", "/no/such/file")
        self.assertEqual(result.code, 2)
        self.assertEqual(len(result.err.splitlines()), 1)

    def test_bad_command_exits_2(self) -> None:
        self.assertEqual(Result("ctl", "nonsense").code, 2)

    def test_role_that_fails_a_check_does_not_start(self) -> None:
        with TemporaryDirectory() as directory:
            file = Path(directory) / "file.yaml"
            file.write_text("slots: 0\n")
            result = Result("agent", "--settings", str(file))
        self.assertEqual(result.code, 2)
        self.assertIn("E1803", result.err)


class ReferenceTests(testtools.TestCase):
    def test_pages_and_code_agree(self) -> None:
        for name, render in (("ERRORS.md", render_errors), ("settings.md", render_settings)):
            page = (DOCS / "reference" / name).read_text()
            self.assertEqual(page, render(), f"{name} is out of date: run make docs")


class CtlTests(AsyncTestCase):
    def operate(self, body: Callable[[Callable[..., Any]], Any], **arguments: Any) -> None:
        async def run() -> None:
            async with LocalSystem(**arguments) as system:
                address = system.process.operators_address

                async def ctl(*words: str, output: str = "json") -> Result:
                    options = ("--address", address, "--output", output)
                    return await asyncio.to_thread(Result, "ctl", *words, *options)

                await body(ctl)

        self.run_async(run())

    def test_apply_diff_get_and_delete(self) -> None:
        async def body(ctl: Callable[..., Any]) -> None:
            with TemporaryDirectory() as directory:
                file = Path(directory) / "more.yaml"
                file.write_text("accounts:\n  - name: third\n    weight: 2.0\n")
                self.assertEqual((await ctl("diff", str(file))).code, 1)
                applied = await ctl("apply", str(file), "--wait")
                self.assertEqual(applied.code, 0, applied.err)
                self.assertEqual(msgspec.json.decode(applied.out)["version"], 2)
                self.assertEqual((await ctl("diff", str(file))).code, 0)
            shown = await ctl("get", "accounts", "third")
            self.assertEqual(msgspec.json.decode(shown.out)["weight"], 2.0)
            self.assertEqual((await ctl("delete", "accounts", "third")).code, 0)
            gone = await ctl("get", "accounts", "third")
            self.assertEqual(gone.code, 2)
            self.assertIn("E1304", gone.err)
            self.assertEqual(len(gone.err.splitlines()), 1)

        self.operate(body, entry_count=2)

    def test_status_is_printed_as_json_and_as_a_table(self) -> None:
        async def body(ctl: Callable[..., Any]) -> None:
            status = await ctl("status")
            self.assertEqual(status.code, 0)
            self.assertEqual(len(msgspec.json.decode(status.out)["entries"]), 2)
            table = await ctl("status", output="table")
            self.assertIn("entry-1", table.out)
            self.assertEqual((await ctl("status", output="xml")).code, 2)

        self.operate(body, entry_count=2)

    def test_unreachable_entry_exits_3(self) -> None:
        result = Result("ctl", "status", "--address", "127.0.0.1:1")
        self.assertEqual(result.code, 3)
        self.assertEqual(len(result.err.splitlines()), 1)

"""A caller cancels a job while it runs. Exit 1 if the rule UNASKED was broken, 0 if it held, else 2.

With TROUBLE=0 in the environment, the caller does not cancel.
"""

import asyncio
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
ROOT = HERE.parents[1]
sys.path.insert(0, str(HERE.parent))

from standins import Store, Worker, call, find_address  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SERVICE = "huvo11a"
HOST = "nony24.example"
PREFIX = "/lohu930/"
JOB = "5c0e7a21d94b36f8"
ZONES = {"oax-ixtlan": "oaxaca", "oax-mitla": "oaxaca", "oax-tlacolula": "oaxaca"}
CANCEL_S = 3.0
"""Bound ``cancel_ms`` of the sheet."""
STOP_S = 0.05
"""Bound ``stop_ms`` of the sheet."""
RUN_S = [4.5, 2.0]
"""Run time of the tasks of each step."""
CANCEL_AFTER_S = 0.5
"""How long after its submission the job is cancelled."""
READY_S = 20.0


class Record:
    """What was sent, answered and run, with the time of each."""

    def __init__(self):
        self._began = time.monotonic()
        self.rows = []
        self._file = (HERE / "record.txt").open("w")

    def note(self, what, *details):
        at = time.monotonic() - self._began
        self.rows.append((at, what, *details))
        self._file.write("%8.3f s  %s %s\n" % (at, what, " ".join(map(str, details))))
        self._file.flush()
        return at


class Program:
    """One process, started with the command of the deploy file."""

    def __init__(self, role, folder, settings):
        file = folder / (settings["name"] + ".yaml")
        file.write_text(json.dumps(settings))
        self._log = (folder / (settings["name"] + ".log")).open("wb")
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "DALEMAST_BOOT": str(file),
        }
        command = ["python3", "-S", "-m", "dalemast", role]
        self._process = subprocess.Popen(
            command, cwd=ROOT, env=environment, stdout=self._log, stderr=self._log
        )

    def end(self):
        if self._process.poll() is None:
            self._process.send_signal(signal.SIGKILL)
        self._process.wait()
        self._log.close()


def make_common(name, zone, store, seeds):
    return {
        "name": name,
        "data_centre": zone,
        "metrics": {"address": find_address()},
        "store": {"address": store.address},
        "seeds": seeds,
        "resend_ms": 1300,
        "lease_max_ms": 1000,
        "stop_ms": 50,
        "grace_s": 6,
    }


def make_configuration():
    route = {
        "name": "r-3hwrr6x",
        "host": HOST,
        "path_prefix": PREFIX,
        "kind": "mutating",
        "timeout_ms": 30000,
        "slo_ms": 20000,
        "priority": 0,
        "service": SERVICE,
        "attempts": 3,
        "stretch": 1.6,
    }
    service = {
        "name": SERVICE,
        "health_path": "/healthz",
        "max_conns": 64,
        "protocol": "h1",
        "tls": False,
        "rejects_overload": False,
        "spare": False,
    }
    limits = {
        "max_header_bytes": 16384,
        "max_body_bytes": 262144,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    }
    return {"version": 7, "routes": [route], "services": [service], "limits": limits}


def make_job():
    steps = [
        {"count": 2, "cpu": 2000, "mem_mb": 64, "estimate_ms": int(RUN_S[0] * 1000)},
        {"count": 2, "cpu": 2000, "mem_mb": 64, "estimate_ms": int(RUN_S[1] * 1000), "since_rev": [0]},
    ]
    spec = json.dumps({"run_s": RUN_S, "cpu": 2000})
    return json.dumps({"spec": spec, "steps": steps, "best_effort": True}).encode()


async def wait_until_ready(addresses):
    end_at = time.monotonic() + READY_S
    while time.monotonic() < end_at:
        try:
            answers = [await call(each, "GET", "/v1/ready", timeout_s=1.0) for each in addresses]
            if all(answer[0] == 200 for answer in answers):
                return True
        except (OSError, asyncio.TimeoutError):
            pass
        await asyncio.sleep(0.2)
    return False


async def submit(record, address, body):
    headers = {"Host": HOST, "Dalemast-Deadline-Ms": "30000"}
    record.note("POST", PREFIX + JOB, "sent to", address)
    try:
        status, _, answer = await call(address, "POST", PREFIX + JOB, headers=headers, body=body)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
        record.note("POST", PREFIX + JOB, "has no answer:", repr(error))
        return 0, b""
    record.note("POST", PREFIX + JOB, "answered", status, answer.decode())
    return status, answer


async def cancel(record, address):
    """Send the cancelling until it is acknowledged with 2xx or 410; return when that was."""
    headers = {"Host": HOST, "Dalemast-Deadline-Ms": "1500"}
    while True:
        record.note("DELETE", PREFIX + JOB, "sent to", address)
        status, _, answer = await call(address, "DELETE", PREFIX + JOB, headers=headers)
        at = record.note("DELETE", PREFIX + JOB, "answered", status, answer.decode())
        if status // 100 == 2 or status == 410:
            return at
        await asyncio.sleep(0.2)


def judge(record, cancelled_at):
    """Return what breaks UNASKED: starts after the bound, and runs that go on after it."""
    faults = []
    starts = {}
    for at, what, *details in record.rows:
        if what == "start":
            starts[tuple(details[:2])] = at
            if at > cancelled_at + CANCEL_S:
                faults.append("%s run %d started %.3f s after the acknowledgement"
                              % (*details[:2], at - cancelled_at))
        elif what == "end":
            starts.pop(tuple(details[:2]), None)
            if at > cancelled_at + CANCEL_S + STOP_S:
                faults.append("%s run %d was still running until %.3f s after the acknowledgement"
                              % (*details[:2], at - cancelled_at))
    return faults + ["%s run %d never ended" % key for key in starts]


async def play(record, folder, programs, stands):
    store = Store()
    stands.append(store)
    await store.start()
    store.put("op", "config", make_configuration())
    links = [find_address() for _ in ZONES]
    callers = [find_address() for _ in ZONES]
    ready = [find_address() for _ in ZONES]
    for number, zone in enumerate(ZONES):
        worker = Worker(number=number, service=SERVICE, zone=zone, note=record.note)
        stands.append(worker)
        await worker.start()
        common = make_common("side-%s-1" % zone, zone, store, links)
        common.update(registration={"address": worker.control}, worker={"address": worker.address})
        programs.append(Program("fleet-agent", folder, common))
        common = make_common("front-%s-1" % zone, zone, store, links)
        common.update(
            data_centres=ZONES,
            callers={"address": callers[number]},
            readiness={"address": ready[number]},
            links={"address": links[number]},
            remote_factor=1.5,
        )
        programs.append(Program("fleet-entry", folder, common))
    if not await wait_until_ready(ready):
        record.note("not-ready")
        return 2
    await asyncio.sleep(8.0)  # longer than contact_ms, and all machines are calm
    job = asyncio.create_task(submit(record, callers[0], make_job()))
    await asyncio.sleep(CANCEL_AFTER_S)
    cancelled_at = await cancel(record, callers[0]) if TROUBLE else None
    watched_until = time.monotonic() + CANCEL_S + sum(RUN_S)
    status, answer = await job
    await asyncio.sleep(max(1.0, watched_until - time.monotonic()))
    if not TROUBLE:
        is_done = status == 200 and json.loads(answer)["state"] == "succeeded"
        record.note("verdict", "no cancelling; the job", "succeeded" if is_done else "failed")
        return 0 if is_done else 2
    faults = judge(record, cancelled_at)
    for fault in faults:
        record.note("UNASKED:", fault)
    record.note("verdict", "broken" if faults else "held")
    return 1 if faults else 0


class CancelledJob:
    """The case, by the name under which KNOWN-RED.txt lists it."""

    play = staticmethod(play)


async def main():
    record = Record()
    programs, stands = [], []
    with tempfile.TemporaryDirectory() as folder:
        try:
            return await asyncio.wait_for(play(record, Path(folder), programs, stands), 90.0)
        except Exception as error:
            record.note("could not run", repr(error))
            return 2
        finally:
            for program in programs:
                program.end()
            for stand in stands:
                stand.close()


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))

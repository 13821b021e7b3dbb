"""What every long-running process does: start, serve until told to stop, drain, end."""

from __future__ import annotations

import abc
import asyncio
import contextlib
import gc
import secrets
import signal
import sys
from collections.abc import Callable
from typing import Any

from dalemast.core.exceptions import DalemastError
from dalemast.observability import log_error, log_event

__all__ = ["BaseProcess", "make_incarnation", "run_process"]

INCARNATION_BYTES = 6
GARBAGE_THRESHOLDS = (20_000, 20, 50)


def make_incarnation() -> str:
    """Return a fresh random name for one start of a process."""
    return secrets.token_hex(INCARNATION_BYTES)


class BaseProcess(abc.ABC):
    """A role of the system in one event loop."""

    @abc.abstractmethod
    async def start(self) -> None:
        """Listen and begin to work."""

    @abc.abstractmethod
    async def drain(self) -> None:
        """Refuse new work and finish what runs, within the limit of the settings."""

    @abc.abstractmethod
    def get_unfinished(self) -> list[str]:
        """Return what would be cut off by ending now."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Close every socket and end every task."""

    def reload(self, settings: Any) -> None:
        """Take settings that were read anew on SIGHUP; by default they wait for the next start."""
        log_event("process:reload-ignored")


def _calm_garbage_collector() -> None:
    """Leave what lives as long as the process out of collections, and collect less often.

    A full collection stops the loop for milliseconds, which is a task's whole allowance.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GARBAGE_THRESHOLDS)


def _reload(process: BaseProcess, load_settings: Callable[[], Any] | None) -> None:
    """Read the settings anew; a file that is not good leaves the old ones in force."""
    if load_settings is None:
        return
    try:
        process.reload(load_settings())
    except DalemastError as error:
        log_error("process:reload-failed", reason=str(error))


async def _serve(
    make_process: Callable[[], BaseProcess], load_settings: Callable[[], Any] | None
) -> int:
    process = make_process()
    _calm_garbage_collector()
    loop = asyncio.get_running_loop()
    first = asyncio.Event()
    second = asyncio.Event()

    def stop() -> None:
        (second if first.is_set() else first).set()

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop)
    loop.add_signal_handler(signal.SIGHUP, _reload, process, load_settings)
    await process.start()
    await first.wait()
    draining = asyncio.ensure_future(process.drain())
    impatient = asyncio.ensure_future(second.wait())
    await asyncio.wait({draining, impatient}, return_when=asyncio.FIRST_COMPLETED)
    if not draining.done():
        draining.cancel()
    impatient.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await draining
    cut_off = process.get_unfinished()
    await process.close()
    for item in cut_off:
        print(f"cut off: {item}", file=sys.stderr)
    return 1 if cut_off else 0


def run_process(
    make_process: Callable[[], BaseProcess], *, load_settings: Callable[[], Any] | None = None
) -> int:
    """Run a process until it is told to stop; return its exit code.

    The process is made inside its event loop, since its sockets belong to that loop.
    ``load_settings`` reads them anew on SIGHUP.
    """
    return asyncio.run(_serve(make_process, load_settings))

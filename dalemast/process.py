"""Base of all long-running processes: start, serve until a signal, drain and close."""

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
GC_THRESHOLDS = (20_000, 20, 50)


def make_incarnation() -> str:
    """Return a random identifier for one run of a process."""
    return secrets.token_hex(INCARNATION_BYTES)


class BaseProcess(abc.ABC):
    """A process of one role, running in one event loop."""

    @abc.abstractmethod
    async def start(self) -> None:
        """Start listening and working."""

    @abc.abstractmethod
    async def drain(self) -> None:
        """Refuse new work and finish running work, within the drain limit of the settings."""

    @abc.abstractmethod
    def get_unfinished(self) -> list[str]:
        """Describe the work that would be interrupted by closing now."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Close all sockets and cancel all tasks."""

    def reload(self, settings: Any) -> None:
        """Apply settings that were reloaded on SIGHUP; by default they are ignored."""
        log_event("process:reload-ignored")


def _tune_garbage_collector() -> None:
    """Exclude long-lived objects from garbage collection, and collect less often.

    A full collection blocks the event loop for milliseconds, which delays short tasks.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)


def _reload(process: BaseProcess, load_settings: Callable[[], Any] | None) -> None:
    """Reload the settings; keep the current ones if the file is invalid."""
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
    _tune_garbage_collector()
    loop = asyncio.get_running_loop()
    stop_requested = asyncio.Event()
    abort_requested = asyncio.Event()

    def stop() -> None:
        (abort_requested if stop_requested.is_set() else stop_requested).set()

    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop)
    loop.add_signal_handler(signal.SIGHUP, _reload, process, load_settings)
    await process.start()
    await stop_requested.wait()
    draining = asyncio.ensure_future(process.drain())
    second_signal = asyncio.ensure_future(abort_requested.wait())
    await asyncio.wait({draining, second_signal}, return_when=asyncio.FIRST_COMPLETED)
    if not draining.done():
        draining.cancel()
    second_signal.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await draining
    unfinished = process.get_unfinished()
    await process.close()
    for item in unfinished:
        print(f"interrupted: {item}", file=sys.stderr)
    return 1 if unfinished else 0


def run_process(
    make_process: Callable[[], BaseProcess], *, load_settings: Callable[[], Any] | None = None
) -> int:
    """Run a process until SIGTERM or SIGINT and return its exit code.

    The first signal drains the process, a second one ends the drain early. The process is created
    inside its event loop because its sockets belong to that loop. ``load_settings`` reloads the
    settings on SIGHUP.
    """
    return asyncio.run(_serve(make_process, load_settings))

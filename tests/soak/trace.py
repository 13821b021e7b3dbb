"""A log of the calls that reached workers, in the format of the logs of the processes."""

from __future__ import annotations

import json
import time
from pathlib import Path

from dalemast.emulator import CallKind, CallRecord, Fate


class Trace:
    """Writes workers.log in the folder of a run, without polls that are served normally."""

    def __init__(self, *, folder: Path) -> None:
        self._file = (folder / "workers.log").open("a")

    def note_call(self, worker: int, record: CallRecord) -> None:
        """Record a call when it arrives, and again when it has been executed."""
        if record.kind is CallKind.LOOK and record.fate is Fate.SERVED:
            return
        self._write(
            worker=worker,
            call=record.kind.value,
            task=record.task,
            run=record.run,
            fate=record.fate.value,
            done=record.reason is not None,
            reason=record.reason or "",
        )

    def note_broken(self, task: str, workers: list[int]) -> None:
        """Record that a task runs on several workers."""
        self._write(broken=task, workers=workers)

    def close(self) -> None:
        """Flush and close the file."""
        self._file.close()

    def _write(self, **fields: object) -> None:
        self._file.write(json.dumps({"timestamp": time.time(), **fields}) + "\n")

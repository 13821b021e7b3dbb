"""Non-blocking log output with a bounded queue."""

from __future__ import annotations

import os
import threading
from collections import deque
from typing import Any

import msgspec

__all__ = ["BoundedOutput"]

MAX_QUEUED_LINES = 2000
"""Lines queued while the reader is slow; further lines are dropped and counted."""
FLUSH_INTERVAL_S = 0.2
"""Interval at which queued lines are written together, to save system calls."""

_encoder = msgspec.json.Encoder(enc_hook=str)


class BoundedOutput:
    """A log destination that writes to a file descriptor from a separate thread."""

    def __init__(self, *, descriptor: int) -> None:
        self._descriptor = descriptor
        self._lines: deque[bytes] = deque()
        self._dropped = 0
        self._wake = threading.Event()
        self._thread = threading.Thread(target=self._run, name="logs", daemon=True)
        self._thread.start()

    def __call__(self, message: dict[str, Any]) -> None:
        """Queue a message, or drop it if the queue is full."""
        if len(self._lines) >= MAX_QUEUED_LINES:
            self._dropped += 1
            return
        self._lines.append(_encoder.encode(message))
        self._wake.set()

    def flush(self) -> None:
        """Write the queued lines, when the process exits."""
        self._write_queued()

    def _run(self) -> None:
        while True:
            self._wake.wait()
            self._wake.clear()
            self._write_queued()
            threading.Event().wait(FLUSH_INTERVAL_S)

    def _write_queued(self) -> None:
        lines = [self._lines.popleft() for _ in range(len(self._lines))]
        dropped, self._dropped = self._dropped, 0
        if dropped:
            lines.append(_encoder.encode({"message_type": "logs:dropped", "lines": dropped}))
        data = b"".join(line + b"\n" for line in lines)
        while data:
            try:
                data = data[os.write(self._descriptor, data) :]
            except BlockingIOError:
                threading.Event().wait(FLUSH_INTERVAL_S)
            except OSError:
                # The reader is gone, so the error cannot be logged either.
                return

"""Log lines to standard output, bounded and never waited for."""

from __future__ import annotations

import os
import threading
from collections import deque
from typing import Any

import msgspec

__all__ = ["BoundedOutput"]

MAX_WAITING_LINES = 2000
"""Lines kept while the reader is slow, about 600 KB; further ones are counted and dropped."""
FLUSH_PAUSE_S = 0.2
"""Lines are written together this often, since a write costs the same whatever it holds."""

_encoder = msgspec.json.Encoder(enc_hook=str)


class BoundedOutput:
    """A destination of log messages that a thread of its own writes to a descriptor."""

    def __init__(self, *, descriptor: int) -> None:
        self._descriptor = descriptor
        self._lines: deque[bytes] = deque()
        self._dropped = 0
        self._wake = threading.Event()
        self._thread = threading.Thread(target=self._run, name="logs", daemon=True)
        self._thread.start()

    def __call__(self, message: dict[str, Any]) -> None:
        """Take a message."""
        if len(self._lines) >= MAX_WAITING_LINES:
            self._dropped += 1
            return
        self._lines.append(_encoder.encode(message))
        self._wake.set()

    def flush(self) -> None:
        """Write what waits, at the end of the process."""
        self._write_waiting()

    def _run(self) -> None:
        while True:
            self._wake.wait()
            self._wake.clear()
            self._write_waiting()
            threading.Event().wait(FLUSH_PAUSE_S)

    def _write_waiting(self) -> None:
        lines = [self._lines.popleft() for _ in range(len(self._lines))]
        dropped, self._dropped = self._dropped, 0
        if dropped:
            lines.append(_encoder.encode({"message_type": "logs:dropped", "lines": dropped}))
        data = b"".join(line + b"\n" for line in lines)
        while data:
            try:
                data = data[os.write(self._descriptor, data) :]
            except BlockingIOError:
                threading.Event().wait(FLUSH_PAUSE_S)
            except OSError:
                # Nobody reads the logs any more, and there is no other place to say so.
                return

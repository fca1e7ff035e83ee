"""The record of a case: one line for each thing that was sent, answered or run."""

from __future__ import annotations

import threading
import time
from pathlib import Path


class Record:
    """Writes timed lines to `record.txt`; usable from all threads."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._lock = threading.Lock()
        self._start = time.monotonic()

    def note(self, text: str) -> None:
        """Writes one line, with the seconds since the start of the case."""
        with self._lock:
            self._file.write(f"{time.monotonic() - self._start:9.3f} {text}\n")
            self._file.flush()

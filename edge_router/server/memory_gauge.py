"""How much memory the process holds, read without opening a file each time."""

from __future__ import annotations

import contextlib
import math
import os
import resource

PATH = "/proc/self/statm"


class MemoryGauge:
    """Keeps the kernel's figures open: at the limit of descriptors they could not be opened."""

    def __init__(self) -> None:
        self._descriptor = -1
        self._open()

    def _open(self) -> None:
        with contextlib.suppress(OSError):
            self._descriptor = os.open(PATH, os.O_RDONLY)

    def resident_mb(self) -> float:
        """Megabytes that are resident now; not a number if the system doesn't tell."""
        if self._descriptor < 0:
            self._open()
        try:
            fields = os.pread(self._descriptor, 256, 0).split()
            return int(fields[1]) * resource.getpagesize() / 1e6
        except (OSError, ValueError, IndexError):
            return math.nan

"""Resident memory of the process, from /proc/self/statm."""

from __future__ import annotations

import contextlib
import math
import os
import resource

STATM_PATH = "/proc/self/statm"
RESIDENT_FIELD = 1  # index in statm, see proc(5); the value is in pages
MAX_STATM_BYTES = 256
NO_DESCRIPTOR = -1


class MemoryGauge:
    """Reads statm through a descriptor that stays open, so that reading works without free descriptors."""

    def __init__(self) -> None:
        self._descriptor = NO_DESCRIPTOR
        self._open()

    def _open(self) -> None:
        with contextlib.suppress(OSError):
            self._descriptor = os.open(STATM_PATH, os.O_RDONLY)

    def close(self) -> None:
        """Closes the descriptor."""
        if self._descriptor != NO_DESCRIPTOR:
            os.close(self._descriptor)
            self._descriptor = NO_DESCRIPTOR

    def resident_mb(self) -> float:
        """Returns the resident memory in megabytes (10**6 bytes), NaN if the system does not provide it."""
        if self._descriptor == NO_DESCRIPTOR:
            self._open()
        try:
            fields = os.pread(self._descriptor, MAX_STATM_BYTES, 0).split()
            return int(fields[RESIDENT_FIELD]) * resource.getpagesize() / 1e6
        except (OSError, ValueError, IndexError):
            return math.nan

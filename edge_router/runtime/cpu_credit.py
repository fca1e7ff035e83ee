"""Accounts for the CPU time that the process may still use within its share of a core."""

from __future__ import annotations

import time

USABLE_SHARE = 0.97  # part of the share that is used before requests are rejected
MAX_CREDIT = 0.1  # seconds of CPU time that can be saved up, for a whole core
WHOLE_CORE = 1.0


class CpuCredit:
    """CPU time that is earned with real time and spent by the process.

    The platform stops a process that uses more than its share; requests are rejected before that.
    """

    def __init__(self) -> None:
        self.set_share(WHOLE_CORE)

    def set_share(self, cores: float) -> None:
        """Sets the share of the CPU, where 1.0 is a whole core, and starts again without credit."""
        self._cores, self._credit = cores, 0.0
        self._last_time, self._last_cpu_time = time.monotonic(), time.process_time()

    def remaining(self) -> float:
        """Seconds of CPU time saved up; negative if too much was used, and 0 with a whole core."""
        if self._cores >= WHOLE_CORE:
            return 0.0
        now, cpu_time = time.monotonic(), time.process_time()
        earned = (now - self._last_time) * self._cores * USABLE_SHARE
        spent = cpu_time - self._last_cpu_time
        self._credit = min(MAX_CREDIT * self._cores, self._credit + earned - spent)
        self._last_time, self._last_cpu_time = now, cpu_time
        return self._credit

"""Accounts for the CPU time that the process may use within its share of a core."""

from __future__ import annotations

import time

USABLE_SHARE = 0.97  # fraction of the share that may be used before requests are rejected
MAX_CREDIT = 0.1  # seconds of CPU time that a whole core can accumulate; less for a smaller share
WHOLE_CORE = 1.0


class CpuCredit:
    """CPU time that accrues with real time and is spent by the process.

    The platform stops a process that uses more than its share; requests are rejected before that.
    """

    def __init__(self) -> None:
        self.set_share(WHOLE_CORE)

    def set_share(self, cores: float) -> None:
        """Sets the share of the CPU, where 1.0 is a whole core, and resets the credit to 0."""
        self._cores, self._credit = cores, 0.0
        self._last_time, self._last_cpu_time = time.monotonic(), time.process_time()

    def remaining(self) -> float:
        """Returns the accumulated CPU seconds; negative if too many were used, always 0 with a whole core."""
        if self._cores >= WHOLE_CORE:
            return 0.0
        now, cpu_time = time.monotonic(), time.process_time()
        accrued = (now - self._last_time) * self._cores * USABLE_SHARE
        spent = cpu_time - self._last_cpu_time
        self._credit = min(MAX_CREDIT * self._cores, self._credit + accrued - spent)
        self._last_time, self._last_cpu_time = now, cpu_time
        return self._credit

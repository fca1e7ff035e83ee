"""The alarms that run on the clock. Who waits for the next one is somebody else's concern."""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable

from edge_router.runtime.clock import Clock
from edge_router.runtime.event_log import log

LATE_TIMER_TOLERANCE = (
    0.02  # seconds by which an alarm is late if the process stood still; the loop's own grid is finer
)
STALL_MEMORY = 0.2  # seconds after the process stood still for which what is read may have come meanwhile


def no_wakeup() -> None:
    """Nobody waits, so nobody is woken."""


class TimerHandle:
    """A call to be made at its time, unless called off."""

    __slots__ = ("callback",)

    def __init__(self, call: Callable[[], None]) -> None:
        self.callback: Callable[[], None] | None = call

    def cancel(self) -> None:
        """Calls it off."""
        self.callback = None


class Timers:
    """All alarms, in the order of their times; they run with real time, whatever the wall clock does."""

    def __init__(
        self, clock: Clock, steady: Callable[[], float], wake: Callable[[], None] = no_wakeup
    ) -> None:
        """`steady` tells seconds that nobody sets; `wake` is called when an earlier alarm than all is set."""
        self._clock = clock
        self._steady = steady
        self._wake = wake
        self._heap: list[tuple[float, int, TimerHandle]] = []
        self._count = 0
        self._ran = steady()  # when alarms were looked at last
        self._stall = (0.0, -math.inf)  # since when the process may have stood still, and when that was seen

    def call_at(self, moment: float, call: Callable[[], None]) -> TimerHandle:
        """Has the call made at that Unix millisecond, never before this turn is over."""
        alarm = TimerHandle(call)
        due = self._steady() + (moment - self._clock.now()) / 1000.0
        self._count += 1
        entry = (due, self._count, alarm)
        heapq.heappush(self._heap, entry)
        if self._heap[0] is entry:
            self._wake()
        return alarm

    def next_due(self) -> float:
        """When the next alarm falls due, in seconds of the steady clock; infinite without one."""
        while self._heap and self._heap[0][2].callback is None:
            heapq.heappop(self._heap)
        return self._heap[0][0] if self._heap else math.inf

    def run_due(self) -> None:
        """Makes the calls that have fallen due by now."""
        now = self._steady()
        if now - self.next_due() > LATE_TIMER_TOLERANCE:
            self._stall = self._ran, now
        self._ran = now
        while self._heap and (self._heap[0][0] <= now or self._heap[0][2].callback is None):
            call = heapq.heappop(self._heap)[2].callback
            if call is not None:
                self._make(call)

    def stall_duration(self) -> float:
        """Milliseconds for which what is read now may have waited, since the process stood still or lagged.

        0 if it did neither: then alarms are made in time.
        """
        now = self._steady()
        since, seen = self._stall
        if now - self.next_due() > LATE_TIMER_TOLERANCE:
            since = self._ran
        elif now - seen > STALL_MEMORY:
            return 0.0
        return (now - since) * 1000.0

    @staticmethod
    def _make(call: Callable[[], None]) -> None:
        """Guards against one call that goes wrong ending all the others."""
        try:
            call()
        except Exception as error:
            log("internal-error", location="timer", error=repr(error))

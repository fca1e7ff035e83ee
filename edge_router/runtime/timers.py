"""Timers on the monotonic clock. The caller runs the event loop that waits for the next timer."""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable

from edge_router.runtime.clock import Clock
from edge_router.runtime.event_log import log

LATE_TIMER_TOLERANCE = 0.02  # seconds; the loop's granularity is finer, so a later timer shows a stall
MIN_COMPACTED_TIMERS = 1024  # fewer timers are never searched for cancelled ones
STALL_MEMORY = 0.2  # seconds after a stall; bytes read within it may have arrived during the stall


def no_wakeup() -> None:
    """Does nothing: there is no event loop to wake."""


class TimerHandle:
    """A scheduled callback, which can be cancelled."""

    __slots__ = ("callback",)

    def __init__(self, callback: Callable[[], None]) -> None:
        self.callback: Callable[[], None] | None = callback

    def cancel(self) -> None:
        """Cancels the callback; has no effect once it has run."""
        self.callback = None


class Timers:
    """All timers, ordered by due time; steps of the wall clock have no effect on them."""

    def __init__(
        self, clock: Clock, monotonic: Callable[[], float], wake: Callable[[], None] = no_wakeup
    ) -> None:
        """Starts without timers.

        `monotonic` returns seconds; `wake` is called when a new timer becomes the earliest.
        """
        self._clock = clock
        self._monotonic = monotonic
        self._wake = wake
        self._heap: list[tuple[float, int, TimerHandle]] = []
        self._compact_at = MIN_COMPACTED_TIMERS  # number of timers at which the cancelled ones are dropped
        self._sequence = 0  # orders timers that are due at the same time
        self._last_run = monotonic()
        self._stall_start = 0.0  # latest time known to precede the last stall
        self._stall_end = -math.inf  # when the last stall was noticed
        self._longest_run = 0.0  # seconds; since `take_longest_run` was called

    def call_at(self, moment: float, callback: Callable[[], None]) -> TimerHandle:
        """Schedules a callback for a moment of `Clock` (ms); it never runs before this call returns."""
        handle = TimerHandle(callback)
        if len(self._heap) >= self._compact_at:
            self._drop_cancelled()
        due = self._monotonic() + (moment - self._clock.now()) / 1000.0
        self._sequence += 1
        entry = (due, self._sequence, handle)
        heapq.heappush(self._heap, entry)
        if self._heap[0] is entry:
            self._wake()
        return handle

    def _drop_cancelled(self) -> None:
        """Drops the cancelled timers, which else keep their memory until they would have been due."""
        self._heap = [entry for entry in self._heap if entry[2].callback is not None]
        heapq.heapify(self._heap)
        self._compact_at = max(MIN_COMPACTED_TIMERS, 2 * len(self._heap))

    def next_due(self) -> float:
        """Returns when the next timer is due (s on the monotonic clock); infinite if there is none."""
        while self._heap and self._heap[0][2].callback is None:
            heapq.heappop(self._heap)
        return self._heap[0][0] if self._heap else math.inf

    def run_due(self) -> None:
        """Runs the callbacks that are due by now."""
        now = self._monotonic()
        if now - self.next_due() > LATE_TIMER_TOLERANCE:
            self._stall_start, self._stall_end = self._last_run, now
        self._last_run = now
        while self._heap and (self._heap[0][0] <= now or self._heap[0][2].callback is None):
            callback = heapq.heappop(self._heap)[2].callback
            if callback is not None:
                self._run_callback(callback)
        self._longest_run = max(self._longest_run, self._monotonic() - now)

    def take_longest_run(self) -> float:
        """Returns the ms of the longest `run_due` since the last call, during which no other task ran."""
        longest, self._longest_run = self._longest_run, 0.0
        return longest * 1000.0

    def stall_duration(self) -> float:
        """Returns the ms for which bytes read now may have waited because the process stalled.

        It is 0 if no timer is overdue by more than `LATE_TIMER_TOLERANCE` and the last stall ended more than
        `STALL_MEMORY` ago. A stall during which no timer became that overdue is not noticed.
        """
        now = self._monotonic()
        start = self._stall_start
        if now - self.next_due() > LATE_TIMER_TOLERANCE:
            start = self._last_run
        elif now - self._stall_end > STALL_MEMORY:
            return 0.0
        return (now - start) * 1000.0

    @staticmethod
    def _run_callback(callback: Callable[[], None]) -> None:
        """Runs one callback; logs an error in it, so that the other timers still run."""
        try:
            callback()
        except Exception as error:
            log("internal-error", location="timer", error=repr(error))

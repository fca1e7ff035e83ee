"""The local clock, in milliseconds of real time."""

from __future__ import annotations

import time
from collections.abc import Callable


class Clock:
    """Milliseconds of real time, starting at the Unix time at which the router started.

    It advances with the monotonic clock, so that steps of the system's wall clock change no duration.
    `PeerClock` translates Unix times of other machines to this clock.
    """

    def __init__(
        self, monotonic: Callable[[], float] = time.monotonic, wall: Callable[[], float] = time.time
    ) -> None:
        """`monotonic` returns seconds that are never adjusted, `wall` returns Unix seconds."""
        self._monotonic = monotonic
        self._wall = wall
        self._start = (wall() - monotonic()) * 1000.0

    def now(self) -> float:
        """Returns the present moment in milliseconds; it never goes back."""
        return self._monotonic() * 1000.0 + self._start

    def wall_offset(self) -> float:
        """Returns by how many milliseconds the system's wall clock is ahead of this one now."""
        return self._wall() * 1000.0 - self.now()

"""Translates the Unix times that caches and the change log tell into moments of our own clock.

Our wall clock may step or have been wrong at the start, so it is not trusted for this. The translation starts
from the wall clock of the router's start and is corrected by evidence:

- the change log can't tell of what has not happened: a told moment in the future shows that we are behind;
- a copy that the origin gave out for one of our attempts was given out between the attempt's first byte and
  its answer. Several such copies that agree with each other, and not with us, show by how much we are off.
"""

from __future__ import annotations

from collections import deque

from stonecove.ground.clock import Clock
from stonecove.ground.log import log

TOLERANCE = 50.0  # ms by which moments of two machines may differ; the page's slack for time limits
CONFIRMATIONS = 3  # copies in a row that have to agree before they are believed
MOST_AHEAD = 86_400_000.0  # ms; a moment further in the future is a mistake and no evidence


class PeerTime:
    """The offset between the peers' Unix time and our clock, in milliseconds."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._offset = 0.0  # the peers' Unix time less our clock
        self._doubts: deque[tuple[float, float]] = deque(maxlen=CONFIRMATIONS)

    def local(self, unix: float) -> float:
        """The moment of our clock at which the peers' clocks showed that Unix time (both in ms)."""
        return unix - self._offset

    def happened(self, unix: float) -> None:
        """The change log told of something that happened at that Unix time (ms)."""
        ahead = self.local(unix) - self._clock.now()
        if TOLERANCE < ahead < MOST_AHEAD:
            self._move(self._offset + ahead)

    def given_out(self, unix: float, sent: float, received: float) -> None:
        """The origin gave a copy out at that Unix time, for an attempt sent and answered then (all in ms)."""
        least, most = unix - received, unix - sent
        if least - TOLERANCE <= self._offset <= most + TOLERANCE:
            self._doubts.clear()
            return
        self._doubts.append((least, most))
        wall = self._clock.wall_offset()
        if least - TOLERANCE <= wall <= most + TOLERANCE:
            self._move(min(max(wall, least), most))
            return
        least, most = max(low for low, _ in self._doubts), min(high for _, high in self._doubts)
        if len(self._doubts) == CONFIRMATIONS and least - TOLERANCE <= most + TOLERANCE:
            self._move((least + most) / 2.0)

    def _move(self, offset: float) -> None:
        log("peer-time-moved", by_ms=offset - self._offset, wall_ms=self._clock.wall_offset())
        self._offset = offset
        self._doubts.clear()

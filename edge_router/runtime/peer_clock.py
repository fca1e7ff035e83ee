"""Translates the Unix times that caches and the change log tell into moments of our own clock.

Our wall clock may step or have been wrong at the start, so it is not trusted for this. The translation starts
from the wall clock of the router's start and is corrected by evidence:

- the change log can't tell of what has not happened: a told moment in the future shows that we are behind;
- a copy that the origin gave out for one of our attempts was given out between the attempt's first byte and
  its answer. One from the future shows that we are behind. One from before its attempt need not show
  anything, as a parent may have joined an earlier fetch; but a few that no fill explains do, and many in a
  row do, by the freshest among them.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from edge_router.runtime.clock import Clock
from edge_router.runtime.event_log import log

TOLERANCE = 50.0  # ms by which moments of two machines may differ; the page's slack for time limits
LONGEST_FILL = 10_000.0  # ms by which a copy may be older than its attempt without any clock being off
FEW = 3  # copies in a row, none explained by a fill, that are believed
MANY, MANY_SPAN = 24, 3000.0  # copies in a row, over so many ms, that are believed whatever explains them
MOST_AHEAD = 86_400_000.0  # ms; a moment further in the future is a mistake and no evidence


class _Early(NamedTuple):
    """A copy that seems to be from before its attempt: offset that it allows, and when it came (ms)."""

    most: float
    received: float


class PeerClock:
    """The offset between the peers' Unix time and our clock, in milliseconds."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._offset = 0.0  # the peers' Unix time less our clock
        self._early: deque[_Early] = deque(maxlen=MANY)
        self._future: deque[float] = deque(maxlen=FEW)  # offsets that copies from the future allow

    def to_local(self, unix: float) -> float:
        """The moment of our clock at which the peers' clocks showed that Unix time (both in ms)."""
        return unix - self._offset

    def observe_event(self, unix: float) -> None:
        """The change log told of something that happened at that Unix time (ms)."""
        ahead = self.to_local(unix) - self._clock.now()
        if TOLERANCE < ahead < MOST_AHEAD:
            self._move(self._offset + ahead)

    def observe_copy(self, unix: float, sent: float, received: float) -> None:
        """The origin gave a copy out at that Unix time, for an attempt sent and answered then (all in ms)."""
        least, most = unix - received, unix - sent
        wall = self._clock.wall_offset()
        if least - TOLERANCE <= self._offset <= most + TOLERANCE:
            self._early.clear()
        elif least - TOLERANCE <= wall <= most + TOLERANCE:
            self._move(min(max(wall, least), most))
        elif least > self._offset:
            self._future.append(least)
            if len(self._future) == FEW:
                self._move(sorted(self._future)[-2])  # the furthest may be a mistake
        else:
            self._early.append(_Early(most, received))
            if recent := self._believed():
                self._move(sorted(early.most for early in recent)[-2])  # the freshest may be a mistake

    def _believed(self) -> list[_Early]:
        """The early copies in a row that show that we are ahead; empty if they don't."""
        few = list(self._early)[-FEW:]
        if len(few) == FEW and all(early.most < self._offset - LONGEST_FILL for early in few):
            return few
        span = self._early[-1].received - self._early[0].received
        return list(self._early) if len(self._early) == MANY and span >= MANY_SPAN else []

    def _move(self, offset: float) -> None:
        log("peer-clock-adjusted", by_ms=offset - self._offset, wall_ms=self._clock.wall_offset())
        self._offset = offset
        self._early.clear()
        self._future.clear()

"""Translates Unix times of the caches and the change log into moments of the local clock.

The local wall clock may be stepped, or may have been wrong at startup, so it is not trusted alone. The
translation starts from the wall clock at the router's start and is corrected by evidence:

- The change log reports only what has happened, so one reported moment in the future shows that the local
  clock is behind.
- The origin serves a copy for one of the router's attempts between the attempt's first byte and its
  response. If a copy contradicts the translation but agrees with the present wall clock, the translation
  follows the wall clock at once.
- A few copies that seem to come from the future, in a row or not, show that the local clock is behind.
- A copy served before its attempt need not show anything, as a parent may have joined an earlier fill. But a
  few in a row that are older than any fill, or many in a row, show that the local clock is ahead.

Of several copies, the second freshest gives the new offset, as the time of the freshest may be an error.

The operators allow a tolerance of 50 ms when they check time limits on sockets (the operators' page
`PROTOCOL-robinbeam.md`, section "The rules on sockets"); the same is allowed between the clocks here.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from edge_router.runtime.clock import Clock
from edge_router.runtime.event_log import log

TOLERANCE = 50.0  # ms by which the clocks of two machines may differ without a correction
MAX_FILL_DURATION = 10_000.0  # ms by which a copy may predate its attempt although all clocks are right
# Copies that suffice if no fill can explain them: from the future, in a row or not, or consecutive ones that
# are too old.
MIN_CLEAR_EVIDENCE = 3
MIN_WEAK_EVIDENCE = 24  # consecutive copies that suffice even if fills could explain their age,
MIN_WEAK_EVIDENCE_SPAN = 3000.0  # provided they arrived over at least this many ms
MAX_AHEAD = 86_400_000.0  # ms; an event further in the future is taken for an error


class _EarlyCopy(NamedTuple):
    """A copy that seems to have been served before its attempt (both fields in ms)."""

    max_offset: float  # largest offset of the peers' clocks that is consistent with the copy
    received_at: float


class PeerClock:
    """The offset between the Unix time of the peers and the local clock, in milliseconds."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._offset = 0.0  # the peers' Unix time minus the local clock
        self._early_copies: deque[_EarlyCopy] = deque(maxlen=MIN_WEAK_EVIDENCE)
        # For each copy from the future, the smallest offset that is consistent with it.
        self._future_offsets: deque[float] = deque(maxlen=MIN_CLEAR_EVIDENCE)

    def to_local(self, unix_time: float) -> float:
        """Returns the moment on the local clock when the peers' clocks showed that Unix time (both in ms)."""
        return unix_time - self._offset

    def observe_event(self, unix_time: float) -> None:
        """Considers an event that, by the change log, happened at that Unix time (ms)."""
        ahead = self.to_local(unix_time) - self._clock.now()
        if TOLERANCE < ahead < MAX_AHEAD:
            self._adjust(self._offset + ahead)

    def observe_copy(self, unix_time: float, sent_at: float, received_at: float) -> None:
        """Considers a copy that the origin served at that Unix time.

        `sent_at` and `received_at` are the local moments of the attempt and of its response (all in ms).
        """
        min_offset, max_offset = unix_time - received_at, unix_time - sent_at
        wall_offset = self._clock.wall_offset()
        if min_offset - TOLERANCE <= self._offset <= max_offset + TOLERANCE:
            self._early_copies.clear()
        elif min_offset - TOLERANCE <= wall_offset <= max_offset + TOLERANCE:
            self._adjust(min(max(wall_offset, min_offset), max_offset))
        elif min_offset > self._offset:
            self._future_offsets.append(min_offset)
            if len(self._future_offsets) == MIN_CLEAR_EVIDENCE:
                self._adjust(sorted(self._future_offsets)[-2])  # the furthest one may be an error
        else:
            self._early_copies.append(_EarlyCopy(max_offset, received_at))
            if evidence := self._early_evidence():
                # The freshest copy may be an error.
                self._adjust(sorted(copy.max_offset for copy in evidence)[-2])

    def _early_evidence(self) -> list[_EarlyCopy]:
        """Returns the consecutive early copies if they show that the local clock is ahead, else none."""
        copies = list(self._early_copies)
        recent = copies[-MIN_CLEAR_EVIDENCE:]
        min_explained_offset = self._offset - MAX_FILL_DURATION
        if len(recent) == MIN_CLEAR_EVIDENCE and all(
            copy.max_offset < min_explained_offset for copy in recent
        ):
            return recent
        span = copies[-1].received_at - copies[0].received_at
        return copies if len(copies) == MIN_WEAK_EVIDENCE and span >= MIN_WEAK_EVIDENCE_SPAN else []

    def _adjust(self, offset: float) -> None:
        log("peer-clock-adjusted", by_ms=offset - self._offset, wall_ms=self._clock.wall_offset())
        self._offset = offset
        self._early_copies.clear()
        self._future_offsets.clear()

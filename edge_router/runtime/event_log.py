"""One greppable line per event, on standard error. Writing never waits, whoever reads the log or does not."""

from __future__ import annotations

import os
import select
import stat
import time
from collections.abc import Callable

Sink = Callable[[str, dict[str, object]], None]

MOST_A_SECOND = 5  # lines of one event that peers can bring about as often as they like
MOST_LINE = select.PIPE_BUF  # bytes; a pipe that is writable at all takes so many without waiting
STANDARD_ERROR = 2
NONE = -1  # no descriptor: every write fails

_sink: Sink | None = None
_told: dict[str, tuple[int, int]] = {}  # by event: the second, and lines asked for in it


class LineWriter:
    """Writes lines to a descriptor; those for which there is no room are counted instead."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._poll: select.poll | None = None
        self.dropped = 0  # lines since the last one that was written
        try:
            waits = not stat.S_ISREG(os.fstat(descriptor).st_mode)
        except OSError:  # nobody gave us one, and its number may be that of a socket by and by
            waits, self._descriptor = False, NONE
        if waits:
            self._poll = select.poll()
            self._poll.register(descriptor, select.POLLOUT)

    def write(self, line: str) -> None:
        """Writes a line, or drops it where a write would wait or fails. Raises nothing."""
        if self.dropped:
            line = f"{time.time():.3f} log-dropped lines={self.dropped}\n{line}"
        data = line.encode(errors="backslashreplace")
        if len(data) >= MOST_LINE:
            data = data[: MOST_LINE - 1]
        try:
            if self._poll is not None and not self._writable():
                self.dropped += 1
                return
            os.write(self._descriptor, data + b"\n")
            self.dropped = 0
        except (OSError, ValueError):
            self.dropped += 1

    def _writable(self) -> bool:
        assert self._poll is not None
        return any(events & select.POLLOUT for _, events in self._poll.poll(0))


_writer = LineWriter(STANDARD_ERROR)


def set_sink(sink: Sink | None) -> None:
    """Hands each line, as event and fields, to somebody else; None: to standard error again."""
    global _sink
    _sink = sink


def log_rate_limited(event: str, **fields: object) -> None:
    """A line of an event that a bad peer could fill the log with: a few a second, `more` tells how many."""
    second = int(time.monotonic())
    last, count = _told.get(event, (second, 0))
    if last != second:
        if count > MOST_A_SECOND:
            fields["more"] = count - MOST_A_SECOND
        count = 0
    _told[event] = second, count + 1
    if count < MOST_A_SECOND:
        log(event, **fields)


def log(event: str, **fields: object) -> None:
    """Writes `time event name=value ...`, values with spaces quoted. A log that is gone stops nothing."""
    if _sink is not None:
        _sink(event, fields)
        return
    words = [f"{time.time():.3f}", event]
    for name, value in fields.items():
        text = f"{value:.1f}" if isinstance(value, float) else str(value)
        words.append(f"{name}={ascii(text) if ' ' in text or not text.isprintable() else text}")
    _writer.write(" ".join(words))

"""The structured log: one line per event on standard error. Writing never blocks, even if unread."""

from __future__ import annotations

import os
import select
import stat
import time
from collections.abc import Callable

Sink = Callable[[str, dict[str, object]], None]

MAX_LINES_PER_SECOND = 5  # of one rate-limited event
MAX_LINE_BYTES = select.PIPE_BUF  # a pipe that polls as writable accepts this many bytes without blocking
STANDARD_ERROR = 2
NO_DESCRIPTOR = -1  # every write to it fails

_sink: Sink | None = None
_line_counts: dict[str, tuple[int, int]] = {}  # by event: the latest second, and the lines requested in it


class LineWriter:
    """Writes lines to a file descriptor; drops and counts lines whose write would block or fails."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._poll: select.poll | None = None
        self.dropped = 0  # lines dropped since the last one that was written
        try:
            can_block = not stat.S_ISREG(os.fstat(descriptor).st_mode)
        except OSError:  # it is closed, and a socket may get its number later
            can_block, self._descriptor = False, NO_DESCRIPTOR
        if can_block:
            self._poll = select.poll()
            self._poll.register(descriptor, select.POLLOUT)

    def write(self, line: str) -> None:
        """Writes a line, truncated to `MAX_LINE_BYTES`, or drops it; never raises."""
        if self.dropped:
            line = f"{time.time():.3f} log-dropped lines={self.dropped}\n{line}"
        data = line.encode(errors="backslashreplace")
        if len(data) >= MAX_LINE_BYTES:
            data = data[: MAX_LINE_BYTES - 1]
        try:
            if self._poll is not None and not _is_writable(self._poll):
                self.dropped += 1
                return
            os.write(self._descriptor, data + b"\n")
            self.dropped = 0
        except (OSError, ValueError):
            self.dropped += 1


def _is_writable(poll: select.poll) -> bool:
    """Whether a registered descriptor can be written to without blocking."""
    return any(events & select.POLLOUT for _, events in poll.poll(0))


_writer = LineWriter(STANDARD_ERROR)


def set_sink(sink: Sink | None) -> None:
    """Passes each event and its fields to `sink` instead of standard error; None restores the latter."""
    global _sink
    _sink = sink


def log_rate_limited(event: str, **fields: object) -> None:
    """Logs an event that a faulty peer can cause at any rate.

    At most `MAX_LINES_PER_SECOND` lines of an event are written in a second. The first line
    of a later second has a field `more` with the number of lines left out.
    """
    second = int(time.monotonic())
    last_second, count = _line_counts.get(event, (second, 0))
    if last_second != second:
        if count > MAX_LINES_PER_SECOND:
            fields["more"] = count - MAX_LINES_PER_SECOND
        count = 0
    _line_counts[event] = second, count + 1
    if count < MAX_LINES_PER_SECOND:
        log(event, **fields)


def log(event: str, **fields: object) -> None:
    """Writes the line `time event name=value ...`; values that contain spaces are quoted. Never raises."""
    if _sink is not None:
        _sink(event, fields)
        return
    words = [f"{time.time():.3f}", event]
    for name, value in fields.items():
        text = f"{value:.1f}" if isinstance(value, float) else str(value)
        words.append(f"{name}={ascii(text) if ' ' in text or not text.isprintable() else text}")
    _writer.write(" ".join(words))

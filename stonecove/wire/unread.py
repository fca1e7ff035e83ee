"""How long what is read just now may have waited to be read.

A client's time counts from when it sent its request. What came in while the loop was busy or the process
stood still, or while the connection waited to be accepted, is older than its reading.
"""

from __future__ import annotations

import socket
import struct
import time

import trio

AT_ONCE = 0.001  # seconds; a poll that takes less found something that was there before
LATE = 0.02  # seconds by which a poll comes back late, or for which a turn lasts, if the process stood still
STILL_UNREAD = 0.2  # seconds after the process stood still for which what is read may have come meanwhile
_INFO = struct.Struct("=8x9I2I1I")  # the beginning of struct tcp_info
_LAST_SENT, _LAST_RECEIVED = 9, 11  # tcpi_last_data_sent and tcpi_last_data_recv, in milliseconds


def _info(sock: socket.socket, place: int) -> float | None:
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _INFO.size)
        return float(_INFO.unpack(info)[place])
    except (OSError, struct.error, AttributeError):
        return None


def last_received_ago(sock: socket.socket) -> float | None:
    """Milliseconds since the kernel took in the last bytes of a connection; None where it doesn't tell."""
    return _info(sock, _LAST_RECEIVED)


def age_at_accept(sock: socket.socket) -> float:
    """Milliseconds since a connection came up on which nothing was sent so far; 0 where none can tell."""
    return _info(sock, _LAST_SENT) or 0.0


class PollWatch(trio.abc.Instrument):
    """Notes when the event loop last asked for input. The moments are seconds of the monotonic clock."""

    def __init__(self) -> None:
        self._timeout = 0.0
        self._began = self._ended = self._ended_before = time.monotonic()
        self._stood_still = (0.0, 0.0)  # from when, and when it was found out

    def before_io_wait(self, timeout: float) -> None:
        """The loop is about to wait for input, for so many seconds at most."""
        self._timeout = timeout
        self._began = time.monotonic()
        if self._began - self._ended > LATE:
            self._stood_still = self._ended, self._began

    def after_io_wait(self, timeout: float) -> None:
        """Input, or the end of that time, has come."""
        self._ended_before = self._ended
        self._ended = time.monotonic()
        if self._ended - self._began > self._timeout + LATE:
            self._stood_still = self._began, self._ended

    def unread_for(self, received_ago: float | None) -> float:
        """Milliseconds for which input that is read now may have waited, at the most.

        `received_ago`: milliseconds since the last of it came, if the kernel tells; no less is returned.
        """
        now = time.monotonic()
        if self._ended - self._began < AT_ONCE:
            since = self._ended_before
        elif received_ago is not None and received_ago > LATE * 1000.0:
            since = self._began
        else:
            since = self._ended
        began, found_out = self._stood_still
        if now < found_out + STILL_UNREAD:
            since = min(since, began)
        return max(received_ago or 0.0, (now - since) * 1000.0)

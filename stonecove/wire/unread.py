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
STILL_UNREAD = 0.05  # seconds after the process stood still for which what is read may have come meanwhile
LATE = 0.02  # seconds by which a poll comes back late if the process stood still
_INFO_SIZE = 104
_LAST_RECEIVED = struct.Struct("=I")
_LAST_RECEIVED_AT = 52  # of struct tcp_info: tcpi_last_data_recv, in milliseconds


def last_received_ago(sock: socket.socket) -> float:
    """Milliseconds since the kernel took in the last bytes of a TCP connection; 0 where it doesn't tell."""
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _INFO_SIZE)
        return float(_LAST_RECEIVED.unpack_from(info, _LAST_RECEIVED_AT)[0])
    except (OSError, struct.error, AttributeError):
        return 0.0


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

    def after_io_wait(self, timeout: float) -> None:
        """Input, or the end of that time, has come."""
        self._ended_before = self._ended
        self._ended = time.monotonic()
        if self._ended - self._began > self._timeout + LATE:
            self._stood_still = self._began, self._ended

    def unread_for(self, received_ago: float) -> float:
        """Milliseconds for which input that was found by the last poll may have waited.

        `received_ago`: milliseconds since the last of it came, as the kernel tells; no less is returned.
        """
        now = time.monotonic()
        if self._ended - self._began < AT_ONCE:
            since = self._ended_before
        elif received_ago > LATE * 1000.0:
            since = self._began
        else:
            since = self._ended
        began, found_out = self._stood_still
        if now < found_out + STILL_UNREAD:
            since = min(since, began)
        return max(received_ago, (now - since) * 1000.0)

"""How long what is read just now has waited to be read, as far as the kernel tells.

A client's time counts from when it sent its request. What came in while the loop was busy or the process
stood still, or while the connection waited to be accepted, is older than its reading. For what came before
the last bytes the kernel tells nothing: there `Timers.stall_duration` is the measure.
"""

from __future__ import annotations

import socket
import struct

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

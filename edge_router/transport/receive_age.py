"""Measures how long received bytes waited to be read, from the kernel's TCP_INFO.

A client's deadline counts from when it sent its request. Input that arrived while the event loop was busy,
the process stalled, or the connection waited to be accepted, has waited before it is read. The kernel
reports the arrival time of the last bytes only. For earlier bytes the caller takes `Timers.stall_duration` as
the upper bound or, for the first bytes of a new connection, the time since it was established if that is
longer.
"""

from __future__ import annotations

import socket
import struct

_TCP_INFO_PREFIX = struct.Struct("=8x9I2I1I")  # the first fields of struct tcp_info
_LAST_SENT, _LAST_RECEIVED = 9, 11  # tcpi_last_data_sent and tcpi_last_data_recv, in milliseconds


def _read_tcp_info(sock: socket.socket, index: int) -> float | None:
    try:
        data = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_PREFIX.size)
        return float(_TCP_INFO_PREFIX.unpack(data)[index])
    except (OSError, struct.error, AttributeError):
        return None


def last_received_ago(sock: socket.socket) -> float | None:
    """Returns the milliseconds since the kernel received a connection's last bytes; None if unavailable."""
    return _read_tcp_info(sock, _LAST_RECEIVED)


def age_at_accept(sock: socket.socket) -> float:
    """Returns the ms since a connection was established, if nothing was sent on it yet; 0 if unavailable."""
    return _read_tcp_info(sock, _LAST_SENT) or 0.0

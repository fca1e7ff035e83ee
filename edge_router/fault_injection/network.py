"""Ports and connections on the loopback address."""

from __future__ import annotations

import random
import socket
import struct

import trio

LOOPBACK = "127.0.0.1"
# Below the system's range of ephemeral ports, so that no outgoing connection takes a port between the call of
# `free_port` and the use of the port.
PORT_RANGE = 10_000, 30_000
_LINGER_ZERO = struct.pack("ii", 1, 0)  # SO_LINGER of 0 seconds: closing sends a reset


def free_port(host: str = LOOPBACK) -> int:
    """Returns a port on which no process of the host listens."""
    while True:
        port = random.SystemRandom().randrange(*PORT_RANGE)
        try:
            with socket.create_server((host, port)):
                return port
        except OSError:
            continue


def reset_connection(stream: trio.SocketStream) -> None:
    """Closes a connection with a TCP reset."""
    stream.socket.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_LINGER, _LINGER_ZERO)
    stream.socket.close()

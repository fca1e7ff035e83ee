"""A fake change log, whose events the test sends."""

from __future__ import annotations

import contextlib
import queue
import socket
import struct

from tcp_endpoints import TcpListener
from waiting import wait_until

HEARTBEAT, FULL_LIST, ENDPOINT_CHANGES, OBJECT_PURGE, GROUP_PURGE = range(5)  # event kinds
UP, DRAINING, REMOVED = range(3)  # states in an endpoint record
LOCALHOST = 0x7F000001


def encode_endpoint(
    endpoint_id: int,
    port: int = 1,
    state: int = UP,
    zone: int = 0,
    machine_type: int = 1,
    weight: int = 9_000_000,
    started_at: int = 0,
) -> bytes:
    """Encodes the record of an endpoint on this machine, in cell 0; `started_at` is in Unix milliseconds."""
    fields = (endpoint_id, LOCALHOST, port, state, zone, machine_type, 0, weight, started_at)
    return struct.pack(">IIHBBBHIQ", *fields)


def encode_group_purge(group: int, purged_at: int) -> bytes:
    """Encodes the payload of a group purge; `purged_at` is in Unix milliseconds."""
    return struct.pack(">HQ", group, purged_at)


class FakeChangeLog:
    """Records the sequence number that each connection resumes from, and sends events when the test asks."""

    def __init__(self) -> None:
        self.resumed_from: queue.Queue[int] = queue.Queue()
        self.listener = TcpListener(self._serve)

    def _serve(self, sock: socket.socket) -> None:
        self.resumed_from.put(struct.unpack(">Q", sock.recv(8, socket.MSG_WAITALL))[0])
        sock.recv(1)

    def send_event(self, number: int, kind: int, payload: bytes = b"") -> None:
        """Sends one event on the newest connection; waits for a connection if there is none."""
        wait_until(lambda: self.listener.accepted, "a connection to the change log")
        sock = self.listener.accepted[-1]
        sock.sendall(struct.pack(">IQB", 9 + len(payload), number, kind) + payload)

    def send_partial_frame_byte(self) -> None:
        """Sends one byte on the newest connection, as part of a frame that is never completed."""
        with contextlib.suppress(OSError):
            self.listener.accepted[-1].send(b"\0")

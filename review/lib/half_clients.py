"""Bad clients: `half_clients.py PORT COUNT SECONDS`.

Each sends half of some requests at full speed: their bodies stop short, and the last record has a wrong
length, as fewer bytes follow than it says. It reads whatever is sent to it. When it is turned away, it sends
the same thing again on a new connection.
"""

from __future__ import annotations

import contextlib
import selectors
import socket
import struct
import sys
import time

from lib.fastcgi import BEGIN_REQUEST, PARAMS, STDIN, record

REQUESTS = 4  # begun on each connection
BODY = 60_000  # bytes of each body that are sent
WRONG_LENGTH, LAST_BYTES = 65_535, 65_400


def message() -> bytes:
    """Returns all that one client sends."""
    halves = [
        record(BEGIN_REQUEST, number, struct.pack(">HB5x", 1, 1))
        + record(PARAMS, number)
        + record(STDIN, number, b"x" * BODY)
        for number in range(1, REQUESTS + 1)
    ]
    return b"".join(halves) + struct.pack(">BBHHBB", 1, STDIN, 1, WRONG_LENGTH, 0, 0) + b"x" * LAST_BYTES


class BadClients:
    """A number of bad clients on one selector."""

    def __init__(self, port: int, count: int) -> None:
        self._port = port
        self._message = message()
        self._selector = selectors.DefaultSelector()
        self.turned_away = 0
        for _ in range(count):
            self._connect()

    def _connect(self) -> None:
        with contextlib.suppress(OSError):
            sock = socket.create_connection(("127.0.0.1", self._port), 1.0)
            sock.setblocking(False)
            events = selectors.EVENT_READ | selectors.EVENT_WRITE
            self._selector.register(sock, events, [memoryview(self._message)])

    def run(self, seconds: float) -> None:
        """Sends and reads until the time is over."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            for key, events in self._selector.select(0.1):
                sock = key.fileobj
                assert isinstance(sock, socket.socket)
                if not self._serve(sock, events, key.data):
                    self._selector.unregister(sock)
                    sock.close()
                    self.turned_away += 1
                    self._connect()

    def _serve(self, sock: socket.socket, events: int, pending: list[memoryview]) -> bool:
        """Reads and writes once; returns whether the connection is still open."""
        try:
            if events & selectors.EVENT_READ and not sock.recv(65_536):
                return False
            if events & selectors.EVENT_WRITE:
                pending[0] = pending[0][sock.send(pending[0]) :]
                if not pending[0]:
                    self._selector.modify(sock, selectors.EVENT_READ, pending)
        except OSError:
            return False
        return True


if __name__ == "__main__":
    clients = BadClients(int(sys.argv[1]), int(sys.argv[2]))
    clients.run(float(sys.argv[3]))
    print(f"turned away {clients.turned_away} times")

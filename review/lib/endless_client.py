"""A bad client: `endless_client.py PORT SECONDS`.

On one connection it sends a request with an id that is unknown to any cache, and then an endless message: a
second request whose body never stops. It sends at full speed and reads whatever is sent to it.
"""

from __future__ import annotations

import contextlib
import selectors
import socket
import struct
import sys
import time

from lib.fastcgi import BEGIN_REQUEST, PARAMS, STDIN, Request, record

UNKNOWN_ROW = "00000000000bad01"
PIECE = 64  # bytes of the body in one record


def main(port: int, seconds: float) -> None:
    """Sends until the time is over or the router closes the connection."""
    end = time.monotonic() + seconds
    first = Request("thumbs", UNKNOWN_ROW, 3000).encode(1)
    second = record(BEGIN_REQUEST, 2, struct.pack(">HB5x", 1, 1)) + record(PARAMS, 2)
    endless = record(STDIN, 2, b"x" * PIECE) * 2000
    pending = memoryview(first + second)
    sent = received = 0
    with socket.create_connection(("127.0.0.1", port)) as sock, selectors.DefaultSelector() as selector:
        sock.setblocking(False)
        selector.register(sock, selectors.EVENT_READ | selectors.EVENT_WRITE)
        with contextlib.suppress(OSError):
            while time.monotonic() < end:
                for _, events in selector.select(0.1):
                    if events & selectors.EVENT_READ:
                        data = sock.recv(65536)
                        received += len(data)
                        if not data:
                            raise ConnectionResetError
                    if events & selectors.EVENT_WRITE:
                        count = sock.send(pending)
                        sent += count
                        pending = pending[count:] or memoryview(endless)
    print(f"sent {sent} bytes, received {received} bytes, ended {end - time.monotonic():.1f} s early")


if __name__ == "__main__":
    main(int(sys.argv[1]), float(sys.argv[2]))

"""A bad client of `TERMS-robinbeam.md`: some requests at once, then a message without end, at full speed.

    python -m stand_ins.endless_client REQUESTS HOST PORT SECONDS

It has one connection, sends REQUESTS valid requests and then one more, whose parameters come in records of
one byte and never end. It reads whatever it is sent. Once turned away, it does the same again.
"""

from __future__ import annotations

import secrets
import select
import socket
import struct
import sys
import time

from stand_ins.wire import BEGIN, KEEP_CONN, PARAMS, record, whole_request

POLL_INTERVAL = 50  # ms
BEGIN_32 = record(BEGIN, 32, struct.pack(">HB5x", 1, KEEP_CONN))
PIECE = record(PARAMS, 32, b"a") * 33_000 + BEGIN_32  # it is refused after 32 KB, and then sent again


def _requests(count: int) -> bytes:
    fields = {"X-Ttl-Ms": "6000", "X-Seg": "0", "X-Bucket": "3", "X-Working-Set-Kb": "20.0"}
    return b"".join(
        whole_request(
            number,
            "/svc/full-media",
            {"X-Txn": secrets.token_hex(8), "X-Row": "000" + secrets.token_hex(8)[3:], **fields},
        )
        for number in range(1, count + 1)
    )


def _run_connection(address: tuple[str, int], requests: int, end: float) -> int:
    """Sends until the router ends the connection or the time is over; returns the bytes sent."""
    unsent, sent = memoryview(_requests(requests) + BEGIN_32), 0
    with socket.create_connection(address) as sock:
        sock.setblocking(False)
        poll = select.poll()
        poll.register(sock, select.POLLIN | select.POLLOUT)
        while time.monotonic() < end:
            for _, events in poll.poll(POLL_INTERVAL):
                try:
                    if events & ~select.POLLOUT and not sock.recv(1 << 16):
                        return sent
                    if events & select.POLLOUT:
                        unsent = unsent or memoryview(PIECE)
                        count = sock.send(unsent)
                        unsent, sent = unsent[count:], sent + count
                except BlockingIOError:
                    continue
    return sent


def main() -> None:
    """Runs the client for the given time and prints how much it sent."""
    requests, address, end = int(sys.argv[1]), (sys.argv[2], int(sys.argv[3])), time.monotonic()
    end += float(sys.argv[4])
    sent = connections = 0
    while time.monotonic() < end:
        connections += 1
        try:
            sent += _run_connection(address, requests, end)
        except OSError:
            time.sleep(POLL_INTERVAL / 1000.0)
    print(f"a bad client opened {connections} connections and sent {sent / 1e6:.1f} MB")


if __name__ == "__main__":
    main()

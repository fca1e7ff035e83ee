"""A bad client of `TERMS-robinbeam.md`: opens connections by the hundred, sends nothing and does nothing.

    python -m stand_ins.silent_clients COUNT HOST PORT SECONDS

It reads whatever is sent to it, and prints how many of its connections the router has closed and when.
"""

from __future__ import annotations

import select
import socket
import sys
import time

POLL_INTERVAL = 50  # ms


def main() -> None:
    """Opens the connections at once, holds them and prints what became of them."""
    count, address, seconds = int(sys.argv[1]), (sys.argv[2], int(sys.argv[3])), float(sys.argv[4])
    poll, open_sockets, held, ended_at = select.poll(), {}, [], []
    start = time.monotonic()
    for _ in range(count):
        sock = socket.socket()
        sock.setblocking(False)
        sock.connect_ex(address)
        poll.register(sock, select.POLLIN)
        open_sockets[sock.fileno()] = sock
        held.append(sock)
    while open_sockets and time.monotonic() < start + seconds:
        for descriptor, _ in poll.poll(POLL_INTERVAL):
            try:
                data = open_sockets[descriptor].recv(4096)
            except BlockingIOError:
                continue
            except OSError:
                data = b""
            if not data:  # the connection stays open on this side
                poll.unregister(descriptor)
                del open_sockets[descriptor]
                ended_at.append(time.monotonic() - start)
    late = sum(each > 3.0 for each in ended_at)
    print(f"{count} silent connections: {len(ended_at)} closed by the router, {late} of them after over 3 s")
    sys.stdout.flush()
    time.sleep(max(0.0, start + seconds - time.monotonic()))


if __name__ == "__main__":
    main()

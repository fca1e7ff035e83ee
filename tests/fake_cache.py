"""A fake cache: it passes received commands to the test, which replies to them."""

from __future__ import annotations

import queue
import socket
import time
from typing import NamedTuple

from tcp_endpoints import TcpListener


def resp_array(*items: bytes) -> bytes:
    """Encodes a RESP array of bulk strings."""
    return b"*%d\r\n" % len(items) + b"".join(b"$%d\r\n%b\r\n" % (len(item), item) for item in items)


class ReceivedCommand(NamedTuple):
    """A command that a cache received, with the connection for the reply."""

    cache: FakeCache
    sock: socket.socket
    command: str
    request_id: str
    fields: dict[str, str]
    body: bytes

    def reply(self, status: str = "200", body: bytes = b"", **fields: object) -> None:
        """Replies with the fields of a valid response, except for those given."""
        table = {"tell": "hit", "ver": "aa11", "born": int(time.time() * 1000), **fields}
        text = ",".join(f"{name}={value}" for name, value in table.items())
        self.sock.sendall(resp_array(self.request_id.encode(), status.encode(), text.encode(), body))


class FakeCache:
    """A cache that puts each received command into the test's queue."""

    def __init__(self, endpoint_id: int, commands: queue.Queue[ReceivedCommand]) -> None:
        self.endpoint_id, self.name = endpoint_id, f"s-{endpoint_id:08x}"
        self._commands = commands
        self.listener = TcpListener(self._serve)

    def _serve(self, sock: socket.socket) -> None:
        stream = sock.makefile("rb")
        while line := stream.readline():
            items = []
            for _ in range(int(line[1:])):
                size = int(stream.readline()[1:])
                items.append(stream.read(size + 2)[:-2])
            texts = [item.decode("latin-1") for item in items]
            pairs = texts[2].split(",") if len(items) > 2 and texts[2] != "-" else []
            fields = dict((name, value) for name, _, value in (pair.partition("=") for pair in pairs))
            self._commands.put(ReceivedCommand(self, sock, texts[0], texts[1], fields, items[-1]))

"""Local TCP addresses for the tests: a listener, an address that accepts no connection, a free address."""

from __future__ import annotations

import contextlib
import random
import socket
import struct
import threading
from collections.abc import Callable

from waiting import TEST_TIMEOUT


class TcpListener:
    """Listens on a free port and serves each accepted connection in a separate thread."""

    def __init__(self, serve: Callable[[socket.socket], None]) -> None:
        self._serve = serve
        self.sock = socket.create_server(("127.0.0.1", 0))
        self.port: int = self.sock.getsockname()[1]
        self.accepted: list[socket.socket] = []
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self.sock.accept()
            except OSError:
                return
            self.accepted.append(sock)
            threading.Thread(target=self._serve_connection, args=(sock,), daemon=True).start()

    def _serve_connection(self, sock: socket.socket) -> None:
        try:
            self._serve(sock)
        except (OSError, ValueError, struct.error):
            sock.close()

    def close(self) -> None:
        """Closes the listening socket and every accepted connection."""
        for sock in (self.sock, *self.accepted):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
            sock.close()


class UnresponsiveAddress:
    """An address whose accept queue is full: connections stay pending, as if the machine had vanished."""

    def __init__(self) -> None:
        self.sock = socket.socket()
        self.sock.bind(("127.0.0.1", 0))
        self.sock.listen(0)
        self.port: int = self.sock.getsockname()[1]
        # Two connections fill the queue. More would keep trying to connect, and could take the place that
        # `accept_connection` frees before the router's connection does.
        self._fillers = [socket.socket() for _ in range(2)]
        for filler in self._fillers:
            filler.setblocking(False)
            filler.connect_ex(("127.0.0.1", self.port))

    def accept_connection(self, timeout: float = TEST_TIMEOUT) -> socket.socket:
        """Accepts connections until one is not a filler, and returns that one.

        If the queue was full when the client completed the handshake, the kernel ignored that last step. Such
        a connection can only be accepted once its client sends data.
        """
        filler_addresses = [filler.getsockname() for filler in self._fillers]
        self.sock.settimeout(timeout)
        while (accepted := self.sock.accept())[1] in filler_addresses:
            accepted[0].close()
        return accepted[0]

    def close(self) -> None:
        """Closes the listening socket and the fillers."""
        for sock in (self.sock, *self._fillers):
            sock.close()


def free_address() -> tuple[str, int]:
    """Returns a free (host, port) for a program to listen on.

    The host is a random address in 127.0.0.0/8, because outgoing connections use ports of 127.0.0.1: a port
    that is free there now may become the local end of a connection before the program listens on it.
    """
    host = ".".join(("127", *(str(random.randint(1, 250)) for _ in range(3))))
    with socket.create_server((host, 0)) as free:
        port: int = free.getsockname()[1]
    return host, port

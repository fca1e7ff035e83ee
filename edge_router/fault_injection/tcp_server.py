"""A TCP server on a free loopback port, with one thread per connection."""

from __future__ import annotations

import contextlib
import socket
import struct
import threading
from collections.abc import Callable

from edge_router.fault_injection.network import LOOPBACK


class ThreadedTcpServer:
    """Accepts connections until it is closed, and calls `serve` for each in a new thread."""

    def __init__(self, serve: Callable[[socket.socket], None]) -> None:
        self._serve = serve
        self._listener = socket.create_server((LOOPBACK, 0))
        self.port: int = self._listener.getsockname()[1]
        self._connections: list[socket.socket] = []
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            self._connections.append(connection)
            threading.Thread(target=self._serve_connection, args=(connection,), daemon=True).start()

    def _serve_connection(self, connection: socket.socket) -> None:
        with contextlib.suppress(OSError, ValueError, struct.error), connection:
            self._serve(connection)

    def close(self) -> None:
        """Closes the listening socket and all connections."""
        for sock in (self._listener, *self._connections):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
            sock.close()

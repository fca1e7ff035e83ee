"""A stand-in for the change log (`PROTOCOL-robinbeam.md`, "The change log")."""

from __future__ import annotations

import asyncio
import contextlib

from stand_ins.wire import frame

HEARTBEAT = 1.0  # seconds


class ChangeLog:
    """Tells every later event to each connection, and an empty frame each second."""

    def __init__(self, first_number: int) -> None:
        self.last = self._first = first_number  # the events up to this one are in the configuration
        self.address = ("127.0.0.1", 0)
        self.connections = 0
        self._frames: list[bytes] = []
        self._news = asyncio.Event()
        self._server: asyncio.Server
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Starts to listen on a free port of 127.0.0.1."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = self._server.sockets[0].getsockname()

    def stop(self) -> None:
        """Closes the listener and all connections."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def add(self, kind: int, payload: bytes) -> int:
        """Adds an event, which counts as told from now on; returns its number."""
        self.last += 1
        self._frames.append(frame(self.last, kind, payload))
        news, self._news = self._news, asyncio.Event()
        news.set()
        return self.last

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self._writers.add(writer)
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            after = int.from_bytes(await reader.readexactly(8), "big")
            while True:
                news = self._news
                later = self._frames[max(0, after - self._first) :]
                writer.write(b"".join(later) if later else frame(self.last, 0))
                after = self.last
                await writer.drain()
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(news.wait(), HEARTBEAT)
        self._writers.discard(writer)
        writer.close()

"""A stand-in for a cache, a parent or the origin (`PROTOCOL-robinbeam.md`, "Edge routers to caches")."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from stand_ins.wire import array, field_list, fields_of, read_array, unix_ms


@dataclass
class Fetch:
    """One `fetch` that has reached a cache whole."""

    cache: Cache
    arrived: float
    txn: str
    fields: dict[str, str]
    body: bytes


@dataclass
class Answer:
    """The answer of a cache."""

    word: str
    fields: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


Behaviour = Callable[[Fetch], Awaitable[Answer | None]]


def served(body: bytes, note: str = "hit", age_ms: float = 0.0) -> Answer:
    """Returns the answer `200` with a copy that the origin gave out `age_ms` ago."""
    return Answer("200", {"ver": "v1", "born": str(int(unix_ms() - age_ms)), "tell": note}, body)


class Cache:
    """Listens on a free port of 127.0.0.1 and answers each request as `behaviour` says (None: never)."""

    def __init__(self, endpoint_id: int, behaviour: Behaviour) -> None:
        self.endpoint_id = endpoint_id
        self.behaviour = behaviour
        self.address = ("127.0.0.1", 0)
        self.fetches: list[Fetch] = []
        self._server: asyncio.Server
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Starts to listen, at the same address as before if it was stopped."""
        host, port = self.address
        self._server = await asyncio.start_server(self._serve, host, port, limit=1 << 20, backlog=512)
        self.address = self._server.sockets[0].getsockname()

    def stop(self) -> None:
        """Closes the listener and all connections, as a process that ends."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        tasks: dict[str, asyncio.Task[None]] = {}
        try:
            while True:
                items = await read_array(reader)
                if items[0] == b"alive":
                    writer.write(array(items[1], b"alive", b"-", b""))
                elif items[0] == b"abort":
                    if task := tasks.pop(items[1].decode(), None):
                        task.cancel()
                else:
                    fetch = Fetch(self, unix_ms(), items[1].decode(), fields_of(items[2]), items[3])
                    self.fetches.append(fetch)
                    task = asyncio.create_task(self._answer(fetch, writer))
                    tasks[fetch.txn] = task
                    task.add_done_callback(lambda done, txn=fetch.txn: _forget(tasks, txn, done))
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            for task in tasks.values():
                task.cancel()
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, fetch: Fetch, writer: asyncio.StreamWriter) -> None:
        answer = await self.behaviour(fetch)
        if answer is not None:
            with contextlib.suppress(ConnectionError):
                writer.write(
                    array(fetch.txn.encode(), answer.word.encode(), field_list(answer.fields), answer.body)
                )
                await writer.drain()


def _forget(tasks: dict[str, asyncio.Task[None]], txn: str, done: asyncio.Task[None]) -> None:
    if tasks.get(txn) is done:
        del tasks[txn]

"""A simulated cache as a process of its own, started with IDENT PORT SEED.

It fills from any source that a fetch names, keeps what it filled, and obeys `limit`, `oldest`, `seen` and
`abort`. What it saw goes to standard output, a line of JSON each; orders come in on standard input.
"""

from __future__ import annotations

import json
import os
import sys
import time
from dataclasses import dataclass, field
from functools import partial
from random import Random

import trio

from edge_router.fault_injection.observations import Answered, Fetched
from edge_router.fault_injection.protocol import (
    ProtocolError,
    Reader,
    fields_from,
    fields_to,
    resp_array,
    resp_arrays,
)
from edge_router.fault_injection.scenario import Trouble

IDLE_SECONDS = 4.0  # a connection at rest for so long is closed
FRESH_SECONDS = {"page": 10.0}
WRITES = ("order", "vote")
ERROR_WORDS = ("500", "503")


@dataclass(slots=True)
class Copy:
    """A copy that is kept."""

    born: int  # Unix ms at which the origin gave it out

    def tag(self) -> str:
        """Its tag."""
        return f"{self.born:x}"


def content(item: str, chunk: str, born: int) -> bytes:
    """The bytes of a copy; from them the oracle tells what they are."""
    head = f"{item}|{chunk}|{born}|".encode()
    return head * (1 + int(item[:4], 16) % 200)


@dataclass(slots=True)
class Cache:
    """The state of the process."""

    ident: int
    seed: int
    started: int = field(default_factory=lambda: int(time.time() * 1000))
    copies: dict[tuple[str, str], Copy] = field(default_factory=dict)
    troubles: dict[Trouble, float] = field(default_factory=dict)  # until when, in monotonic seconds
    connections: dict[trio.SocketStream, float] = field(default_factory=dict)  # last used

    writing: dict[trio.SocketStream, trio.Lock] = field(default_factory=dict)
    random: Random = field(init=False)

    def __post_init__(self) -> None:
        self.random = Random(self.seed)

    def in_trouble(self, trouble: Trouble) -> bool:
        """Whether the trouble is on now."""
        return time.monotonic() < self.troubles.get(trouble, 0.0)

    def report(self, what: Fetched | Answered) -> None:
        """Tells the harness."""
        print(what.line(), flush=True)

    async def orders(self) -> None:
        """Carries out what the harness orders; ends the process when the harness is gone."""
        reader = trio.wrap_file(sys.stdin)
        async for line in reader:
            order = json.loads(line)
            if "purge" in order:
                self.drop(order["purge"], order["before"])
            else:
                self.troubles[Trouble(order["trouble"])] = order["until"]
                if order["trouble"] == Trouble.FORGET:
                    await self.forget()
        os._exit(0)

    def drop(self, items: list[str], before: int) -> None:
        """Drops the copies of those objects that are older."""
        for name in [name for name, copy in self.copies.items() if name[0] in items and copy.born < before]:
            del self.copies[name]

    async def forget(self) -> None:
        """Resets the connections on which nothing is open."""
        for stream in list(self.connections):
            if self.connections[stream] < time.monotonic() - 0.1:
                linger = b"\1\0\0\0\0\0\0\0"
                stream.socket.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_LINGER, linger)
                self.connections.pop(stream, None)
                await trio.aclose_forcefully(stream)

    async def serve(self, stream: trio.SocketStream) -> None:
        """One connection."""
        self.connections[stream] = time.monotonic()
        running: dict[str, trio.CancelScope] = {}
        try:
            async with stream, trio.open_nursery() as nursery:
                nursery.start_soon(self._close_idle, stream, running, nursery.cancel_scope)
                async for items in resp_arrays(Reader(stream)):
                    self.connections[stream] = time.monotonic()
                    if items[0] == b"fetch":
                        nursery.start_soon(self._fetch, stream, running, items)
                    elif items[0] == b"abort" and (scope := running.get(items[1].decode())):
                        scope.cancel()
                    elif items[0] == b"alive":
                        await self._send(stream, resp_array(items[1], b"alive", b"-", b""))
                nursery.cancel_scope.cancel()
        except* (trio.BrokenResourceError, trio.ClosedResourceError, ProtocolError, ValueError):
            pass
        finally:
            self.connections.pop(stream, None)
            self.writing.pop(stream, None)

    async def _close_idle(
        self, stream: trio.SocketStream, running: dict[str, trio.CancelScope], scope: trio.CancelScope
    ) -> None:
        while running or time.monotonic() - self.connections.get(stream, 0.0) < IDLE_SECONDS:
            await trio.sleep(0.2)
        scope.cancel()

    async def _fetch(
        self, stream: trio.SocketStream, running: dict[str, trio.CancelScope], items: list[bytes]
    ) -> None:
        txn, fields = items[1].decode(), fields_from(items[2])
        self.report(Fetched(time.monotonic(), self.ident, txn, self.started))
        with trio.CancelScope() as scope:
            running[txn] = scope
            try:
                with trio.move_on_after(float(fields["limit"]) / 1000.0):
                    await self._answer(stream, txn, fields)
            finally:
                running.pop(txn, None)
                self.connections[stream] = time.monotonic()

    async def _answer(self, stream: trio.SocketStream, txn: str, fields: dict[str, str]) -> None:
        while self.in_trouble(Trouble.HANG):
            await trio.sleep(0.05)
        word, headers, body = await self._result(fields)
        data = resp_array(txn.encode(), word.encode(), fields_to(headers), body)
        born = int(str(headers.get("born", 0)))
        if self.in_trouble(Trouble.SPOILT) and word == "200" and self.random.random() < 0.5:
            await self._spoil(stream, txn, data, born)
            return
        self.report(Answered(time.monotonic(), self.ident, txn, word, born))
        await self._send(stream, data)

    async def _send(self, stream: trio.SocketStream, data: bytes) -> None:
        async with self.writing.setdefault(stream, trio.Lock()):
            await stream.send_all(data)

    async def _spoil(self, stream: trio.SocketStream, txn: str, data: bytes, born: int) -> None:
        way = self.random.randrange(4)
        twice = way == 2  # a good answer, and a second copy of it
        self.report(Answered(time.monotonic(), self.ident, txn, "200" if twice else "spoilt", born))
        if way == 0:
            await self._send(stream, b"*4\r\n$16\r\n" + self.random.randbytes(40))
        elif way == 1:
            await self._send(stream, data[: len(data) // 2])
            await trio.sleep(2.0)
        elif twice:
            await self._send(stream, data)
            await trio.sleep(self.random.choice((0.0, 0.004)))
            await self._send(stream, data)
        else:
            await trio.aclose_forcefully(stream)

    async def _result(self, fields: dict[str, str]) -> tuple[str, dict[str, object], bytes]:
        """The answer to a fetch: status word, fields, bytes."""
        await trio.sleep(self.random.uniform(0.002, 0.03))
        if self.in_trouble(Trouble.ERRORS) and self.random.random() < 0.6:
            return self.random.choice(ERROR_WORDS), {}, b""
        name = fields["item"], fields["chunk"]
        if fields["cls"] in WRITES:
            if "from" not in fields:
                return "404", {}, b""
            return "200", {"tell": "via_origin", "waited": 1}, content(*name, 0)
        copy, note = self.copies.get(name), "hit"
        default = FRESH_SECONDS.get(fields["cls"], 0.0) * 1000.0
        oldest = float(fields.get("oldest", 0)) or default or float("inf")
        if copy is None or time.time() * 1000.0 - copy.born > oldest:
            if "from" not in fields:
                return "404", {}, b""
            await trio.sleep(self.random.uniform(0.005, 0.08))
            copy, note = Copy(int(time.time() * 1000)), "via_origin"
            if "rank" in fields:
                self.copies[name] = copy
        headers = {"tell": note, "ver": copy.tag(), "born": copy.born, "waited": 5}
        if fields.get("seen") == copy.tag():
            return "304", headers, b""
        return "200", headers, content(*name, copy.born)


async def _main(ident: int, port: int, seed: int) -> None:
    cache = Cache(ident, seed)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(cache.orders)
        await nursery.start(partial(trio.serve_tcp, host="127.0.0.1"), cache.serve, port)
        print(json.dumps({"event": "ready", "started": cache.started}), flush=True)


if __name__ == "__main__":
    trio.run(_main, int(sys.argv[1]), int(sys.argv[2]), int(sys.argv[3]))

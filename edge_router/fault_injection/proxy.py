"""A fault proxy between routers and caches: `python -m edge_router.fault_injection.proxy SEED PAIRS`.

`PAIRS` is a JSON list of [port to listen at, port of the cache, id of the cache]. Orders come in on standard
input, a line of JSON each: which port, which trouble, until which moment of the monotonic clock. Every fetch
that begins to come in is reported on standard output with its time, whatever becomes of it behind the proxy.
"""

from __future__ import annotations

import json
import os
import random
import sys
import time
from collections import deque
from dataclasses import dataclass, field
from functools import partial

import trio

from edge_router.fault_injection.observations import Begun
from edge_router.fault_injection.protocol import CommandScanner, fields_from
from edge_router.fault_injection.scenario import Trouble

RESET = b"\1\0\0\0\0\0\0\0"  # SO_LINGER of 0 seconds: a close sends a reset
PIECE = 7  # bytes passed on at once where the way is slow
CHUNK = 65_536
LOOK_EVERY, LOOKS = 0.01, 100  # seconds between two measures of our own lateness, and how many count
SLOW_PIECES = 40  # pieces of a chunk that go slowly, the rest at once


def reset(stream: trio.SocketStream) -> None:
    """Ends a connection with a reset."""
    stream.socket.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_LINGER, RESET)
    stream.socket.close()


@dataclass(slots=True)
class Passage:
    """What one direction holds that has not been passed on."""

    chunks: deque[bytes] = field(default_factory=deque)
    more: trio.Event = field(default_factory=trio.Event)
    ended: bool = False

    def put(self, data: bytes) -> None:
        """Bytes came in; none at the end."""
        if data:
            self.chunks.append(data)
        else:
            self.ended = True
        self.more.set()


class Proxy:
    """All pairs of ports."""

    def __init__(self, seed: int, pairs: list[tuple[int, int, int]]) -> None:
        self._random = random.Random(seed)
        self._late: deque[float] = deque((0.0,), maxlen=LOOKS)
        self._troubles: dict[tuple[int, Trouble], float] = {}
        self._open: dict[int, set[trio.CancelScope]] = {port: set() for port, _, _ in pairs}

    async def watch_lateness(self) -> None:
        """Measures by how much this process runs late itself."""
        while True:
            due = trio.current_time() + LOOK_EVERY
            await trio.sleep_until(due)
            self._late.append(trio.current_time() - due)

    def _on(self, port: int, trouble: Trouble) -> bool:
        return time.monotonic() < self._troubles.get((port, trouble), 0.0)

    async def orders(self) -> None:
        """Carries out what the harness orders; ends the process when the harness is gone."""
        async for line in trio.wrap_file(sys.stdin):
            order = json.loads(line)
            port, trouble = order["port"], Trouble(order["trouble"])
            self._troubles[port, trouble] = order["until"]
            if trouble is Trouble.RESET:
                for scope in list(self._open[port]):
                    if self._random.random() < 0.7:
                        scope.cancel()
        os._exit(0)

    async def serve(self, port: int, behind: int, cache: int, near: trio.SocketStream) -> None:
        """One connection: both directions until one of them ends, or a reset."""
        with trio.CancelScope() as scope:
            self._open[port].add(scope)
            forth, back = Passage(), Passage()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._take_in, near, forth, CommandScanner(), cache)
                far = await self._connect(port, behind)
                if far is not None:
                    nursery.start_soon(self._take_in, far, back, None, cache)
                    nursery.start_soon(self._pass_on, port, forth, far, nursery.cancel_scope)
                    nursery.start_soon(self._pass_on, port, back, near, nursery.cancel_scope)
                else:
                    nursery.cancel_scope.cancel()
        self._open[port].discard(scope)
        reset(near)
        if far is not None:
            reset(far)

    async def _connect(self, port: int, behind: int) -> trio.SocketStream | None:
        if self._on(port, Trouble.LATE):
            await trio.sleep(self._random.uniform(0.1, 1.5))
        await self._wait_out(port, Trouble.PARTITION)
        try:
            return await trio.open_tcp_stream("127.0.0.1", behind)
        except OSError:
            return None

    async def _wait_out(self, port: int, trouble: Trouble) -> None:
        while self._on(port, trouble):
            await trio.sleep(0.02)

    async def _take_in(
        self, source: trio.SocketStream, passage: Passage, scanner: CommandScanner | None, cache: int
    ) -> None:
        """Reads at once, whatever happens behind: what a router has written has begun."""
        try:
            while data := await source.receive_some(CHUNK):
                now = time.monotonic()
                for begun_at, items in scanner.feed(now, data) if scanner else ():
                    if items[0] == b"fetch":
                        self._report(begun_at, cache, items)
                passage.put(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        passage.put(b"")

    def _report(self, at: float, cache: int, items: list[bytes]) -> None:
        fields = fields_from(items[2])
        source = int(fields.get("from", "s-0")[2:], 16)
        print(
            Begun(
                at, cache, items[1].decode(), fields["cls"], float(fields["limit"]), source, max(self._late)
            ).line(),
            flush=True,
        )

    async def _pass_on(
        self, port: int, passage: Passage, sink: trio.SocketStream, scope: trio.CancelScope
    ) -> None:
        """One direction. After a partition the connection is reset: nothing held back comes through later."""
        try:
            while passage.chunks or not passage.ended:
                if not passage.chunks:
                    passage.more = trio.Event()
                    await passage.more.wait()
                    continue
                if self._on(port, Trouble.PARTITION):
                    await self._wait_out(port, Trouble.PARTITION)
                    break
                await self._write(sink, passage.chunks.popleft(), self._on(port, Trouble.SLOW))
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        scope.cancel()

    @staticmethod
    async def _write(sink: trio.SocketStream, data: bytes, slowly: bool) -> None:
        slow = SLOW_PIECES * PIECE if slowly else 0
        for at in range(0, min(len(data), slow), PIECE):
            await sink.send_all(data[at : min(at + PIECE, slow)])
            await trio.sleep(0.001)
        if len(data) > slow:
            await sink.send_all(data[slow:])


async def _main(seed: int, pairs: list[tuple[int, int, int]]) -> None:
    proxy = Proxy(seed, pairs)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(proxy.orders)
        nursery.start_soon(proxy.watch_lateness)
        for port, behind, cache in pairs:
            await nursery.start(
                partial(trio.serve_tcp, host="127.0.0.1"), partial(proxy.serve, port, behind, cache), port
            )
        print(json.dumps({"event": "ready"}), flush=True)


if __name__ == "__main__":
    trio.run(_main, int(sys.argv[1]), [tuple(pair) for pair in json.loads(sys.argv[2])])

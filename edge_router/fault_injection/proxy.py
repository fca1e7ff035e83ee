"""A fault proxy between routers and caches: `python -m edge_router.fault_injection.proxy SEED ROUTES`.

`ROUTES` is a JSON list of [port to listen on, port of the cache, id of the cache]. Commands come in on
standard input (see `messages`). Every fetch is reported on standard output with the time at which it started
to arrive, whether or not the proxy forwards it.
"""

from __future__ import annotations

import json
import random
import sys
import time
from collections import deque
from dataclasses import dataclass, field
from functools import partial
from typing import NamedTuple

import trio

from edge_router.fault_injection.messages import (
    InjectFault,
    ProcessReady,
    read_harness_commands,
    send_to_harness,
)
from edge_router.fault_injection.network import LOOPBACK, reset_connection
from edge_router.fault_injection.observations import AttemptStarted
from edge_router.fault_injection.protocol import ArrayDecoder, decode_fields
from edge_router.fault_injection.scenario import FaultKind

RECEIVE_SIZE = 65_536
SLOW_PIECE_SIZE = 7  # bytes sent at once on a slow link
SLOW_PIECES = 40  # pieces of each received chunk that are sent slowly; the rest is sent at once
SLOW_PIECE_INTERVAL = 0.001  # seconds
RESET_SHARE = 0.7  # fraction of the open connections that FaultKind.RESET ends
DELAY_SAMPLE_INTERVAL, DELAY_SAMPLES = 0.01, 100  # seconds between two samples, number of samples kept


class Route(NamedTuple):
    """One port of the proxy and the cache behind it."""

    port: int
    cache_port: int
    cache_id: int


@dataclass(slots=True)
class ForwardBuffer:
    """Received bytes of one direction that are not forwarded yet."""

    chunks: deque[bytes] = field(default_factory=deque)
    changed: trio.Event = field(default_factory=trio.Event)
    ended: bool = False

    def put(self, data: bytes) -> None:
        """Appends received bytes; empty `data` marks the end of the stream."""
        if data:
            self.chunks.append(data)
        else:
            self.ended = True
        self.changed.set()

    async def wait(self) -> None:
        """Waits for the next `put`."""
        self.changed = trio.Event()
        await self.changed.wait()


class FaultProxy:
    """Forwards all routes; keeps their active faults and open connections."""

    def __init__(self, seed: int, routes: list[Route]) -> None:
        self._random = random.Random(seed)
        self._delay_samples: deque[float] = deque((0.0,), maxlen=DELAY_SAMPLES)
        self._fault_until: dict[tuple[int, FaultKind], float] = {}  # by port, monotonic seconds
        self._connections: dict[int, set[trio.CancelScope]] = {route.port: set() for route in routes}

    async def sample_own_delay(self) -> None:
        """Measures the scheduling delay of this process, which the oracle adds to its time limits."""
        while True:
            due = trio.current_time() + DELAY_SAMPLE_INTERVAL
            await trio.sleep_until(due)
            self._delay_samples.append(trio.current_time() - due)

    def _has_fault(self, port: int, kind: FaultKind) -> bool:
        return time.monotonic() < self._fault_until.get((port, kind), 0.0)

    async def _wait_while(self, port: int, kind: FaultKind) -> None:
        while self._has_fault(port, kind):
            await trio.sleep(0.02)

    async def execute_harness_commands(self) -> None:
        """Executes the harness's commands until the harness ends."""
        async for command in read_harness_commands():
            if not isinstance(command, InjectFault) or command.port is None:
                continue
            self._fault_until[command.port, command.kind] = command.until
            if command.kind is FaultKind.RESET:
                self._reset_connections(command.port)

    def _reset_connections(self, port: int) -> None:
        for scope in list(self._connections[port]):
            if self._random.random() < RESET_SHARE:
                scope.cancel()

    async def serve(self, route: Route, router: trio.SocketStream) -> None:
        """Forwards a router's connection in both directions until one ends, then resets both connections."""
        cache: trio.SocketStream | None = None
        with trio.CancelScope() as scope:
            self._connections[route.port].add(scope)
            to_cache, to_router = ForwardBuffer(), ForwardBuffer()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._receive, router, to_cache, route.cache_id)
                cache = await self._connect(route)
                if cache is not None:
                    nursery.start_soon(self._receive, cache, to_router, None)
                    nursery.start_soon(self._forward, route.port, to_cache, cache, nursery.cancel_scope)
                    nursery.start_soon(self._forward, route.port, to_router, router, nursery.cancel_scope)
                else:
                    nursery.cancel_scope.cancel()
        self._connections[route.port].discard(scope)
        reset_connection(router)
        if cache is not None:
            reset_connection(cache)

    async def _connect(self, route: Route) -> trio.SocketStream | None:
        if self._has_fault(route.port, FaultKind.SLOW_CONNECT):
            await trio.sleep(self._random.uniform(0.1, 1.5))
        await self._wait_while(route.port, FaultKind.PARTITION)
        try:
            return await trio.open_tcp_stream(LOOPBACK, route.cache_port)
        except OSError:
            return None

    async def _receive(self, source: trio.SocketStream, buffer: ForwardBuffer, cache_id: int | None) -> None:
        """Receives without waiting for the forwarding: an attempt has started once a router has written it.

        With a cache id, the bytes are commands to that cache, and the fetches among them are reported.
        """
        decoder = ArrayDecoder()
        try:
            while data := await source.receive_some(RECEIVE_SIZE):
                if cache_id is not None:
                    for started_at, items in decoder.feed(time.monotonic(), data):
                        self._report(started_at, cache_id, items)
                buffer.put(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        buffer.put(b"")

    def _report(self, started_at: float, cache_id: int, items: list[bytes]) -> None:
        if items[0] != b"fetch":
            return
        fields = decode_fields(items[2])
        report = AttemptStarted(
            at=started_at,
            cache_id=cache_id,
            request_id=items[1].decode(),
            class_name=fields["cls"],
            limit_ms=float(fields["limit"]),
            source_id=int(fields.get("from", "s-0").removeprefix("s-"), 16),
            proxy_delay=max(self._delay_samples),
        )
        send_to_harness(report)

    async def _forward(
        self, port: int, buffer: ForwardBuffer, sink: trio.SocketStream, scope: trio.CancelScope
    ) -> None:
        """Forwards one direction. After a partition it resets, so that the held bytes never arrive."""
        try:
            while buffer.chunks or not buffer.ended:
                if not buffer.chunks:
                    await buffer.wait()
                    continue
                if self._has_fault(port, FaultKind.PARTITION):
                    await self._wait_while(port, FaultKind.PARTITION)
                    break
                slow = self._has_fault(port, FaultKind.SLOW_LINK)
                await self._send(sink, buffer.chunks.popleft(), slow)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        scope.cancel()

    @staticmethod
    async def _send(sink: trio.SocketStream, data: bytes, slow: bool) -> None:
        slow_size = SLOW_PIECES * SLOW_PIECE_SIZE if slow else 0
        for start in range(0, min(len(data), slow_size), SLOW_PIECE_SIZE):
            await sink.send_all(data[start : min(start + SLOW_PIECE_SIZE, slow_size)])
            await trio.sleep(SLOW_PIECE_INTERVAL)
        if len(data) > slow_size:
            await sink.send_all(data[slow_size:])


async def _main(seed: int, routes: list[Route]) -> None:
    proxy = FaultProxy(seed, routes)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(proxy.execute_harness_commands)
        nursery.start_soon(proxy.sample_own_delay)
        for route in routes:
            serve = partial(proxy.serve, route)
            await nursery.start(partial(trio.serve_tcp, host=LOOPBACK), serve, route.port)
        send_to_harness(ProcessReady(int(time.time() * 1000)))


if __name__ == "__main__":
    trio.run(_main, int(sys.argv[1]), [Route(*route) for route in json.loads(sys.argv[2])])
